package placement

import (
	"math"
	"time"
)

const (
	// queueShare is the work that a target may have beyond its slots, in parts of them.
	queueShare = 0.25
	// urgentShare is the further part that urgent requests may use.
	urgentShare = 0.1
	// failureHalfLife is the time in which a failure loses half of its weight.
	failureHalfLife = 2 * time.Second
	// failurePrior stands for attempts that went well, so that one failure isn't a rate of 1.
	failurePrior = 3.0
	// firstBlock and maxBlock bound the time for which an unreachable target gets nothing.
	firstBlock = 500 * time.Millisecond
	maxBlock   = 2 * time.Second
	// replacedBlock is the time for which a target whose address another one has gets
	// nothing: its entry is removed within a few seconds.
	replacedBlock = 5 * time.Second
	// reportTrust is the age up to which a target's report of others' work counts.
	reportTrust = 1500 * time.Millisecond
	// startRing bounds the starts that are remembered for one target.
	startRing = 64
)

// state is what is known of one target.
type state struct {
	Target
	// key is the Key of the target's id.
	key uint32
	// inFlight counts the requests that this process has at the target.
	inFlight int
	// others is the work of other processes by the last report, taken in at reportedAt.
	others     int
	reportedAt time.Duration
	reported   bool
	// starts holds the times of the last starts, as a ring.
	starts    [startRing]time.Duration
	nextStart int
	nStarts   int
	// failed and ended are decayed counts as of failedAt.
	failed, ended float64
	failedAt      time.Duration
	blockedUntil  time.Duration
	blockFor      time.Duration
	// group is the name of the lock-step group, once known.
	group string
	// producing counts the streams of this process that have had an event.
	producing int
}

// limit is the most work that a target should have.
func (b *Balancer) limit(s *state, urgent bool) int {
	share := 1 + queueShare
	if g := b.groupOf(s); g != nil {
		share = g.share()
	}
	if urgent {
		share += urgentShare
	}
	// A fraction of a request is a chance, so that the mean is right.
	return max(1, int(math.Floor(share*float64(s.Slots)+b.rng.Float64())))
}

// load is the work believed to be at the target.
func (s *state) load(now time.Duration, b *Balancer) int {
	if shared, ok := b.workOfPeers(now, s.key); ok {
		return s.inFlight + shared
	}
	if !s.reported || now-s.reportedAt > reportTrust {
		return s.inFlight
	}
	return s.inFlight + s.others
}

func (s *state) reportAge(now time.Duration) time.Duration {
	if !s.reported {
		return -1
	}
	return now - s.reportedAt
}

func (s *state) report(now time.Duration, work int) {
	s.others = max(0, work-s.inFlight)
	s.reportedAt, s.reported = now, true
}

func (s *state) start(now time.Duration) {
	s.inFlight++
	s.starts[s.nextStart] = now
	s.nextStart = (s.nextStart + 1) % startRing
	s.nStarts = min(s.nStarts+1, startRing)
}

// startsWithin counts the starts in the last span.
func (s *state) startsWithin(now, span time.Duration) int {
	n := 0
	for i := 1; i <= s.nStarts; i++ {
		if now-s.starts[(s.nextStart-i+startRing)%startRing] >= span {
			break
		}
		n++
	}
	return n
}

func (s *state) end(now time.Duration, result Result) {
	s.inFlight = max(0, s.inFlight-1)
	if result == Abandoned {
		return
	}
	s.decay(now)
	s.ended++
	switch result {
	case Unreached:
		s.failed++
		s.blockFor = min(max(firstBlock, 2*s.blockFor), maxBlock)
		s.blockedUntil = now + s.blockFor
	case Replaced:
		s.blockedUntil = now + replacedBlock
	case Failed:
		s.failed++
	default:
		s.blockFor = 0
	}
}

// decay ages the counts of failures.
func (s *state) decay(now time.Duration) {
	f := math.Exp2(-float64(now-s.failedAt) / float64(failureHalfLife))
	s.failed, s.ended, s.failedAt = s.failed*f, s.ended*f, now
}

// failureRate is the share of recent attempts that failed.
func (s *state) failureRate(now time.Duration) float64 {
	f := math.Exp2(-float64(now-s.failedAt) / float64(failureHalfLife))
	return s.failed * f / (s.ended*f + failurePrior)
}
