package claims

import "time"

// refreshAge is the maximum age of the view at which a claim of another owner counts as
// in progress without a new read.
const refreshAge = 100 * time.Millisecond

// verdict is the state of a waiting claim according to the view.
type verdict uint8

const (
	verdictWrite   verdict = iota // must be appended to the log
	verdictRefresh                // the view is too old to decide
	verdictOwned                  // the claim is durable
	verdictExists                 // another claim has the key
	verdictReused                 // the key belongs to another request
)

// classify compares q with the durable log and the local outcomes.
func (p *Partition) classify(q *pending) verdict {
	s := p.log.index.claims[q.key]
	switch {
	case !p.log.loaded:
		return verdictRefresh
	case s == nil:
		return verdictWrite
	case s.ownedBy(p.owner, q.seq):
		return verdictOwned
	case s.digest != q.digest:
		return verdictReused
	case s.released(), s.local != nil && !s.local.Ran:
		return verdictWrite
	case s.owner != p.owner && s.status == recordClaim && p.log.currentAt+refreshAge < q.arrived && p.failures == 0:
		return verdictRefresh
	default:
		return verdictExists
	}
}

// resolve answers the waiting claims that the view decides, and settles abandoned ones.
func (p *Partition) resolve() {
	kept := p.queue[:0]
	for _, q := range p.queue {
		if p.resolveClaim(q) {
			continue
		}
		kept = append(kept, q)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	p.dropDurableOutcomes()
}

// resolveClaim answers q if it can be decided. It reports whether q is finished.
func (p *Partition) resolveClaim(q *pending) bool {
	v := p.classify(q)
	if q.abandoned {
		return p.resolveAbandoned(q, v)
	}
	s := p.log.index.claims[q.key]
	answer := AnswerEffect{ID: q.id}
	switch {
	case v == verdictOwned:
		answer.Result.Status, answer.Seq = Claimed, q.seq
		answer.RunBefore = q.composedAt + p.cfg.Window - p.cfg.Window/runMarginDivisor
	case v == verdictExists:
		answer.Result = s.result()
	case v == verdictReused:
		answer.Result.Status = KeyReused
	case p.failingFast() && !q.indeterminate:
		p.refuse(q.id, "platform unavailable")
		return true
	default:
		return false
	}
	if q.indeterminate && v != verdictOwned {
		return false // wait for the outcome of the indeterminate write
	}
	p.effects = append(p.effects, answer)
	return true
}

// resolveAbandoned releases the abandoned claim q if its write took effect. It reports
// whether q is finished.
func (p *Partition) resolveAbandoned(q *pending, v verdict) bool {
	if v == verdictOwned {
		p.queueOutcome(p.log.index.claims[q.key], q.key, Outcome{})
		return true
	}
	return !q.indeterminate
}

// failingFast reports whether claims are refused immediately, because the log is
// inconsistent or the platform has failed too often in a row.
func (p *Partition) failingFast() bool {
	return p.broken != "" || p.failures >= failFastAfter && p.now < p.retryAt
}

// dropDurableOutcomes removes the outcomes that the log contains and those whose claim
// no longer exists.
func (p *Partition) dropDurableOutcomes() {
	kept := p.outcomes[:0]
	for _, o := range p.outcomes {
		if o.state.status == recordClaim && p.log.index.claims[o.key] == o.state {
			kept = append(kept, o)
		}
	}
	clear(p.outcomes[len(kept):])
	p.outcomes = kept
}
