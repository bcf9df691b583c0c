package placement

import "time"

const (
	// silenceTimeout is the time without any sign of life after which a target with requests
	// counts as silent, if its instance reports regularly: two of its reports may be lost or
	// late. unreportedSilenceTimeout applies without reports, since a request may wait in a
	// target's queue for that long.
	silenceTimeout           = 600 * time.Millisecond
	unreportedSilenceTimeout = 1300 * time.Millisecond
	// silenceHold is how long after its last request was given up a silent target gets no
	// new work, unless it is heard before.
	silenceHold = 2 * time.Second
)

// silence detects targets from which nothing is heard although they have requests: their
// instance stands still, or the path to it is cut. The other ranks of their group may go on.
type silence struct {
	// heardAt is the time of the last sign of life: an event, an answer, or a report from
	// the target's instance.
	heardAt time.Duration
	// reports is true if the target's instance reports frequently.
	reports bool
	// busySince is the time since which this process has had requests at the target.
	busySince time.Duration
	// holdUntil is the time until which the target counts as silent without requests.
	holdUntil time.Duration
}

// hear records a sign of life.
func (s *silence) hear(now time.Duration) { s.heardAt, s.holdUntil = now, 0 }

// isSilent reports whether a target that has the given number of requests is silent.
func (s *silence) isSilent(now time.Duration, inFlight int) bool {
	if now < s.holdUntil {
		return true
	}
	limit := unreportedSilenceTimeout
	if s.reports {
		limit = silenceTimeout
	}
	return inFlight > 0 && now-max(s.heardAt, s.busySince) >= limit
}

// isSilent reports whether the target is silent. Only members of lock-step groups are
// judged: their events and reports follow each other closely.
func (s *targetState) isSilent(now time.Duration) bool {
	return s.Lockstep && s.silence.isSilent(now, s.inFlight)
}

// recordEnd records that one of the target's requests has ended. If the target was silent
// then, it stays so for silenceHold.
func (s *targetState) recordEnd(now time.Duration, heard bool) {
	switch {
	case heard:
		s.hear(now)
	case s.isSilent(now):
		s.holdUntil = now + silenceHold
	}
	s.inFlight = max(0, s.inFlight-1)
}

// TargetSilence returns whether a target is silent and how long ago it was heard.
func (b *Balancer) TargetSilence(now time.Duration, id string) (silent bool, unheard time.Duration) {
	s := b.targets[id]
	if s == nil {
		return false, 0
	}
	return s.isSilent(now), now - s.heardAt
}

// ReportsRarely records that the instance of a target does not report frequently now, so that its
// silence shows late.
func (b *Balancer) ReportsRarely(id string) {
	if s := b.targets[id]; s != nil {
		s.reports = false
	}
}

// IsBusy reports whether this process has requests at the target.
func (b *Balancer) IsBusy(id string) bool {
	s := b.targets[id]
	return s != nil && s.inFlight > 0
}
