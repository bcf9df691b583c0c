package agent

import "time"

// settledRetention is how long the agent remembers the fate of a request. It is
// longer than the longest timeout a service may allow, so that no sender can
// still ask about a forgotten request.
const settledRetention = 15 * time.Minute

// settled remembers which requests ran and which never will.
type settled struct {
	fate map[jobID]fate
	// order holds the keys oldest first.
	order []settledAt
}

type fate struct {
	notRun bool
}

type settledAt struct {
	key jobID
	at  time.Time
}

func newSettled() *settled { return &settled{fate: make(map[jobID]fate)} }

// add records the fate of key; the first record stands.
func (s *settled) add(now time.Time, key jobID, notRun bool) {
	if _, known := s.fate[key]; known {
		return
	}
	s.fate[key] = fate{notRun: notRun}
	s.order = append(s.order, settledAt{key: key, at: now})
}

// get returns the fate of key.
func (s *settled) get(key jobID) (f fate, known bool) {
	f, known = s.fate[key]
	return f, known
}

// expire forgets records older than settledRetention.
func (s *settled) expire(now time.Time) {
	n := 0
	for n < len(s.order) && now.Sub(s.order[n].at) > settledRetention {
		delete(s.fate, s.order[n].key)
		n++
	}
	s.order = s.order[n:]
}
