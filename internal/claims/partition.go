package claims

import (
	"math/rand/v2"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// phase identifies the store call of a partition that is in flight.
type phase uint8

const (
	phaseIdle phase = iota
	phaseReadHead
	phaseReadSegment
	phaseReadSummary
	phaseSeal
	phaseReadSeal
	phaseWrite
	phaseSummary
	phaseDelete
)

// pending is a claim without an answer, or an abandoned claim whose write may still take
// effect.
type pending struct {
	id       uint64
	key      KeyHash
	digest   Digest
	seq      uint64
	arrived  time.Duration
	deadline time.Duration
	// composedAt is the time at which the first write with the claim was composed, or zero
	// if there was none.
	composedAt time.Duration
	// inFlight is true while a write that contains the claim is in flight.
	inFlight bool
	// indeterminate is true while the outcome of a write that contains the claim is
	// unknown; the write may still take effect.
	indeterminate bool
	// abandoned is true once the claim was answered as not claimed. If an indeterminate
	// write takes effect nevertheless, the claim is released.
	abandoned bool
}

// outcome is a reported outcome that is not known to be durable yet.
type outcome struct {
	key   KeyHash
	seq   uint64
	since time.Duration
	state *claimState
}

// dueAt returns the time at which the outcome must be written. A release is due early,
// because the caller may repeat the request at another process.
func (o *outcome) dueAt(cfg Config) time.Duration {
	if o.state.local != nil && !o.state.local.Ran {
		return o.since + cfg.BatchDelay
	}
	return o.since + cfg.OutcomeDelay
}

// Partition is the state machine of one partition in one process. It performs no I/O
// and reads no clock: Step takes an event and the time and returns effects. Times are
// monotonic durations since the start of the process.
type Partition struct {
	cfg    Config
	name   string
	owner  Owner
	random *rand.Rand

	now     time.Duration
	effects []Effect
	phase   phase

	log      logView
	queue    []*pending
	outcomes []outcome
	nextSeq  uint64
	batch    batch
	sentAt   time.Duration

	loading *loading
	// unreferenced lists the segments that have been written but are not part of the
	// head yet.
	unreferenced []segmentInfo
	// deletes lists the keys of expired objects; summaries lists the summaries to write.
	deletes   []string
	summaries []summary

	bucket    bucket
	failures  int
	conflicts int
	retryAt   time.Duration
	// broken is the reason why the log is inconsistent, or empty. While it is set, claims
	// that the view does not decide are refused.
	broken string
}

// NewPartition returns the partition with the given name, SERVICE/INDEX, for owner. The
// seed randomises the retry times.
func NewPartition(cfg Config, name string, owner Owner, seed uint64) *Partition {
	cfg = cfg.WithDefaults()
	return &Partition{
		cfg:    cfg,
		name:   name,
		owner:  owner,
		random: rand.New(rand.NewPCG(seed, 0)),
		log:    logView{index: newIndex(cfg.AnswerMemory)},
		bucket: bucket{tokens: cfg.WriteBurst},
	}
}

// Step handles one event at now and returns its effects.
func (p *Partition) Step(now time.Duration, e Event) []Effect {
	p.now, p.effects = now, nil
	switch e := e.(type) {
	case ClaimEvent:
		p.onClaim(e)
	case CancelEvent:
		p.onCancel(e.ID)
	case OutcomeEvent:
		p.onOutcome(e)
	case StoreEvent:
		p.onStore(e)
	case TickEvent:
	}
	p.abandonExpired()
	p.advance()
	return p.effects
}

// Unsettled returns the number of pending claims, including abandoned ones whose write may
// still take effect, plus the number of outcomes that are not durable yet.
func (p *Partition) Unsettled() int { return len(p.queue) + len(p.outcomes) }

func (p *Partition) onClaim(e ClaimEvent) {
	if len(p.queue) >= p.cfg.MaxPending {
		p.refuse(e.ID, "too many claims wait")
		return
	}
	p.nextSeq++
	p.queue = append(p.queue, &pending{
		id: e.ID, key: e.Key, digest: e.Digest, seq: p.nextSeq,
		arrived: p.now, deadline: min(e.Deadline, p.now+p.cfg.MaxWait),
	})
}

func (p *Partition) onCancel(id uint64) {
	for _, q := range p.queue {
		if q.id == id && !q.abandoned {
			q.deadline = p.now
		}
	}
}

func (p *Partition) onOutcome(e OutcomeEvent) {
	s := p.log.index.claims[e.Key]
	if s == nil || !s.ownedBy(p.owner, e.Seq) || s.status != recordClaim || s.local != nil {
		return
	}
	o := e.Outcome
	if o.Answer.size() > p.cfg.MaxAnswer {
		o.Answer = nil
	}
	p.queueOutcome(s, e.Key, o)
}

// queueOutcome queues the outcome of a claim of this process for writing. Repeats at
// this process see it immediately.
func (p *Partition) queueOutcome(s *claimState, key KeyHash, o Outcome) {
	s.local = &o
	p.outcomes = append(p.outcomes, outcome{key: key, seq: s.seq, since: p.now, state: s})
}

func (p *Partition) refuse(id uint64, detail string) {
	err := apierr.New(apierr.KindClaimUnavailable, detail)
	p.effects = append(p.effects, AnswerEffect{ID: id, Err: err})
}

// abandonExpired abandons the claims whose deadline has passed.
func (p *Partition) abandonExpired() {
	for _, q := range p.queue {
		if !q.abandoned && q.deadline <= p.now {
			p.abandon(q, "deadline passed")
		}
	}
}

// abandon answers q as not claimed. From then on, this process never runs the request.
func (p *Partition) abandon(q *pending, detail string) {
	p.refuse(q.id, detail)
	q.abandoned = true
}

// scheduleRetry counts a failed call and schedules the next one, with backoff.
func (p *Partition) scheduleRetry() {
	p.failures++
	backoff := min(minBackoff<<min(p.failures-1, 16), maxBackoff)
	p.retryAt = p.now + backoff/2 + time.Duration(p.random.Int64N(int64(backoff)))
}

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
	// failFastAfter is the number of consecutive failures after which claims are refused
	// instead of waiting for a retry.
	failFastAfter = 5
	// conflictJitter is the upper bound of the random wait after a first conflict.
	conflictJitter = 2 * time.Millisecond
)
