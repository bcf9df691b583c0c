package agent

import "time"

// settledRetention is how long the agent remembers whether a request ran. It is
// longer than the longest timeout a service may allow, so that no sender can
// still ask about a forgotten request.
const settledRetention = 15 * time.Minute

// settled remembers which requests ran and which never will.
type settled struct {
	notRun map[jobID]bool
	// order holds the keys oldest first.
	order []settledAt
}

type settledAt struct {
	key jobID
	at  time.Time
}

func newSettled() *settled { return &settled{notRun: make(map[jobID]bool)} }

// add records whether the request of key never runs; the first record stands.
func (s *settled) add(now time.Time, key jobID, notRun bool) {
	if _, known := s.notRun[key]; known {
		return
	}
	s.notRun[key] = notRun
	s.order = append(s.order, settledAt{key: key, at: now})
}

// get reports whether the request of key is settled, and whether it never runs.
func (s *settled) get(key jobID) (notRun, known bool) {
	notRun, known = s.notRun[key]
	return notRun, known
}

// expire forgets records older than settledRetention.
func (s *settled) expire(now time.Time) {
	n := 0
	for n < len(s.order) && now.Sub(s.order[n].at) > settledRetention {
		delete(s.notRun, s.order[n].key)
		n++
	}
	s.order = s.order[n:]
}
