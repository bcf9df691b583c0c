package claims

import "time"

// refreshAge is the age of the view up to which another owner's claim counts as in
// progress without reading again.
const refreshAge = 100 * time.Millisecond

// verdict is what the view says about a waiting claim.
type verdict uint8

const (
	verdictWrite   verdict = iota // must be appended to the log
	verdictRefresh                // the view is too old to tell
	verdictOwned                  // the claim is durable
	verdictExists                 // another claim has the key
	verdictReused                 // the key belongs to another request
)

// judge compares q with the durable log and the local outcomes.
func (p *Partition) judge(q *pending) verdict {
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
	case s.owner != p.owner && s.status == recordClaim && p.log.viewAt+refreshAge < q.arrived && p.failures == 0:
		return verdictRefresh
	default:
		return verdictExists
	}
}

// resolve answers the waiting claims that the view decides, and settles the abandoned ones.
func (p *Partition) resolve() {
	kept := p.queue[:0]
	for _, q := range p.queue {
		if p.settle(q) {
			continue
		}
		kept = append(kept, q)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	p.dropDurable()
}

// settle reports whether q is finished, and answers it.
func (p *Partition) settle(q *pending) bool {
	v := p.judge(q)
	if q.abandoned {
		return p.settleAbandoned(q, v)
	}
	s := p.log.index.claims[q.key]
	answer := AnswerEffect{ID: q.id}
	switch {
	case v == verdictOwned:
		answer.Result.Status, answer.Seq = Claimed, q.seq
		answer.RunBefore = q.composedAt + p.cfg.Window - p.cfg.Window/runMargin
	case v == verdictExists:
		answer.Result = s.result()
	case v == verdictReused:
		answer.Result.Status = KeyReused
	case p.refusing() && !q.doubt:
		p.refuse(q.id, "platform unavailable")
		return true
	default:
		return false
	}
	if q.doubt && v != verdictOwned {
		return false // the write in doubt decides first
	}
	p.effects = append(p.effects, answer)
	return true
}

// settleAbandoned releases an abandoned claim that took effect after all.
func (p *Partition) settleAbandoned(q *pending, v verdict) bool {
	if v == verdictOwned {
		p.report(p.log.index.claims[q.key], q.key, Outcome{})
		return true
	}
	return !q.doubt
}

// refusing reports whether the platform has failed so often that claims do not wait for it.
func (p *Partition) refusing() bool {
	return p.broken != "" || p.failures >= failFast && p.now < p.retryAt
}

// dropDurable removes the outcomes that the log contains or that concern no claim any more.
func (p *Partition) dropDurable() {
	kept := p.outcomes[:0]
	for _, o := range p.outcomes {
		if o.state.status == recordClaim && p.log.index.claims[o.key] == o.state {
			kept = append(kept, o)
		}
	}
	clear(p.outcomes[len(kept):])
	p.outcomes = kept
}
