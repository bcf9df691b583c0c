package quarantine

import (
	"slices"
	"time"
)

const (
	// maxRetrialCrashes is the number of crashes under a quarantined subject from which it is
	// not tried again.
	maxRetrialCrashes = 5
	// recentRefusal is the time after a refused request in which this gateway expects another
	// one, which it could let through.
	recentRefusal = 30 * time.Second
)

// retrial is the state of the trials of a quarantined subject that was never answered. A target
// ends under each trial of a subject that is rightly quarantined, so the gateways together have a
// few of them in all: each needs a grant, which one gateway gets from the store.
type retrial struct {
	// granted is true if this gateway may let one request through.
	granted bool
	// openUntil is the time until which the request that was let through is not refused.
	openUntil time.Duration
	// refusedAt is the time of the last refused request.
	refusedAt time.Duration
	// nextGrant is the earliest time at which this gateway asks for another grant.
	nextGrant time.Duration
}

// beginTrial uses up a grant, if there is one.
func (r *retrial) beginTrial(now time.Duration) {
	r.openUntil = 0
	if r.granted {
		r.granted, r.openUntil = false, now+trialTime
	}
}

// returnTrial takes back a trial in which no target got the request.
func (r *retrial) returnTrial() {
	r.granted = r.granted || r.openUntil > 0
	r.openUntil = 0
}

// endTrial ends a trial in which a target crashed.
func (r *retrial) endTrial() { r.openUntil = 0 }

// retrialWait returns the time after which a subject without an answer may be tried again, or zero
// if it is being tried.
func (t *Tracker) retrialWait(now time.Duration, s *suspect) time.Duration {
	switch {
	case s.granted || now < s.openUntil:
		return 0
	case len(s.crashes) >= maxRetrialCrashes:
		return t.evidenceTime
	default:
		return max(trialTime, s.last+t.evidenceTime-now)
	}
}

// TrialsDue returns the quarantined subjects for a trial of which this gateway should ask the
// store for a grant: requests with them keep coming here, and the last crash is long ago. Of
// those that are refused together it returns one.
func (t *Tracker) TrialsDue(now time.Duration) []string {
	t.expire(now)
	var due []string
	for subject, s := range t.suspects {
		if s.tied == nil || s.answeredBefore || s.granted || subject != slices.Min(s.tied) || len(s.crashes) >= maxRetrialCrashes {
			continue
		}
		refused := s.refusedAt > 0 && now-s.refusedAt <= recentRefusal
		if refused && now >= max(s.last+t.evidenceTime, s.nextGrant) {
			s.nextGrant = now + t.evidenceTime
			due = append(due, subject)
		}
	}
	return due
}

// GrantTrial lets one request with a quarantined subject through.
func (t *Tracker) GrantTrial(subject string) {
	s := t.suspects[subject]
	if s == nil {
		return
	}
	for _, subject := range s.tied {
		if o := t.suspects[subject]; o != nil {
			o.granted = true
		}
	}
}
