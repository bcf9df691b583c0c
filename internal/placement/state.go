package placement

import (
	"math"
	"time"
)

const (
	// queueShare is the work that a target may have beyond its slots, as a fraction of
	// them.
	queueShare = 0.25
	// urgentShare is the further fraction that only urgent requests may use.
	urgentShare = 0.1
	// failureHalfLife is the time in which a failure loses half of its weight.
	failureHalfLife = 2 * time.Second
	// failurePrior is a number of assumed successful attempts, so that a single failure
	// does not give a failure rate of 1.
	failurePrior = 3.0
	// minBlockTime and maxBlockTime bound the time for which an unreachable target gets no
	// requests.
	minBlockTime = 500 * time.Millisecond
	maxBlockTime = 2 * time.Second
	// replacedBlockTime is the time for which a target gets no requests once another
	// target has its address: its entry is removed within a few seconds.
	replacedBlockTime = 5 * time.Second
	// reportMaxAge is the age up to which a target's report of other processes' work is
	// used.
	reportMaxAge = 1500 * time.Millisecond
	// startSpan is the time to which a target's StartRate applies.
	startSpan = time.Second
)

// targetState is the state of one target.
type targetState struct {
	Target
	// key is the TargetKey of the target's id.
	key uint32
	// removed is true if the target is no longer in the set of targets and is kept only
	// until its requests end.
	removed bool
	// leaving is true once the target has said in an answer that it leaves. It gets no more work
	// in this lifetime.
	leaving bool
	// passedOver is true if failures or a slow group keep the target from being preferred, and
	// zoneIndex is the index of its zone, both as of its service's last plan.
	passedOver bool
	zoneIndex  int32
	// pausedUntil is the time until which the target has asked this process for no requests.
	pausedUntil time.Duration
	// inFlight counts this process's requests at the target.
	inFlight int
	// otherWork is the work of other processes by the target's last report, received at
	// reportedAt.
	otherWork  int
	reportedAt time.Duration
	hasReport  bool
	startTimes
	limit limitState
	// rank is the number of gateways that precede this one in the target's order, as of
	// rankVersion.
	rank, rankVersion int
	// failedCount and endedCount are exponentially decayed counts of failed and of all
	// ended attempts, as of decayedAt.
	failedCount, endedCount float64
	decayedAt               time.Duration
	blockedUntil            time.Duration
	blockTime               time.Duration
	// group is the name of the lock-step group; empty while it is not known.
	group string
	// activeStreams counts this process's open streams that have had an event.
	activeStreams int
	silence
}

// sameLifetime reports whether t is the target as it has run so far.
func (s *targetState) sameLifetime(t *Target) bool {
	restarted := s.Lifetime != t.Lifetime && s.Lifetime != 0 && t.Lifetime != 0
	return s.Address == t.Address && !restarted
}

// HandleLeaving records that a target has said in an answer that it leaves. It reports whether
// this is new.
func (b *Balancer) HandleLeaving(id string) bool {
	s := b.targets[id]
	if s == nil || s.leaving {
		return false
	}
	s.leaving = true
	return true
}

// maxPause bounds the time for which a target may ask for no requests.
const maxPause = 10 * time.Minute

// HandlePause handles a target's request to get nothing from this process for a time.
func (b *Balancer) HandlePause(now time.Duration, id string, pause time.Duration) {
	if s := b.targets[id]; s != nil {
		s.pausedUntil = max(s.pausedUntil, now+min(pause, maxPause))
	}
}

// workShare returns the number of requests that a target should have at most, as a fraction of its
// slots.
func (b *Balancer) workShare(now time.Duration, s *targetState, g *group, urgent bool) float64 {
	share := 1 + queueShare
	switch {
	case g != nil && s.stepTimes().known():
		b.sampleLoad(now, s.group, g)
		share = g.model.share(now)
	case g != nil:
		share = g.share()
	}
	if urgent {
		share += urgentShare
	}
	return share
}

// workLimit returns the number of requests that a target should have at most.
func (b *Balancer) workLimit(now time.Duration, s *targetState, share float64) int {
	if s.stepTimes().known() {
		return max(1, int(share*float64(s.Slots)+roundingOf(now, s.key)))
	}
	// The fractional part is rounded up with that probability, so that the mean is exact.
	return max(1, int(math.Floor(share*float64(s.Slots)+b.rng.Float64())))
}

// load returns the estimated number of requests at the target.
func (s *targetState) load(now time.Duration, b *Balancer) int {
	if peerTotal, ok := b.peerWorkAt(now, s.key); ok {
		return s.inFlight + peerTotal
	}
	if !s.hasReport || now-s.reportedAt > reportMaxAge {
		return s.inFlight
	}
	return s.inFlight + s.otherWork
}

func (s *targetState) reportAge(now time.Duration) time.Duration {
	if !s.hasReport {
		return -1
	}
	return now - s.reportedAt
}

func (s *targetState) recordReport(now time.Duration, work int) {
	s.otherWork = max(0, work-s.inFlight)
	s.reportedAt, s.hasReport = now, true
}

func (s *targetState) recordStart(now time.Duration) {
	if s.inFlight == 0 {
		s.busySince = now
	}
	s.inFlight++
	s.add(now)
}

func (s *targetState) recordResult(now time.Duration, result Result) {
	s.recordEnd(now, result == Answered || result == Refused || result == Replaced)
	if result == Inconclusive {
		return
	}
	s.decay(now)
	s.endedCount++
	switch result {
	case ConnectFailed:
		s.failedCount++
		s.blockTime = min(max(minBlockTime, 2*s.blockTime), maxBlockTime)
		s.blockedUntil = now + s.blockTime
	case Replaced:
		s.blockedUntil = now + replacedBlockTime
	case Failed:
		s.failedCount++
	default:
		s.blockTime = 0
	}
}

// decay applies the decay of the counts since decayedAt.
func (s *targetState) decay(now time.Duration) {
	f := math.Exp2(-float64(now-s.decayedAt) / float64(failureHalfLife))
	s.failedCount, s.endedCount, s.decayedAt = s.failedCount*f, s.endedCount*f, now
}

// failureRate returns the share of recent attempts that failed.
func (s *targetState) failureRate(now time.Duration) float64 {
	f := math.Exp2(-float64(now-s.decayedAt) / float64(failureHalfLife))
	return s.failedCount * f / (s.endedCount*f + failurePrior)
}
