package agent

import "time"

// settledRetention is the time for which the agent keeps the record of whether a request
// ran. It is longer than the longest timeout that a service may have, so that no sender
// can still ask about a request whose record has expired.
const settledRetention = 15 * time.Minute

// settledRequests records which requests have run and which never will.
type settledRequests struct {
	notRun map[jobID]bool
	// order contains the keys, oldest first.
	order []settledRecord
}

type settledRecord struct {
	key jobID
	at  time.Time
}

func newSettledRequests() *settledRequests { return &settledRequests{notRun: make(map[jobID]bool)} }

// add records whether the request of key never runs. It does not change an existing record.
func (s *settledRequests) add(now time.Time, key jobID, notRun bool) {
	if _, known := s.notRun[key]; known {
		return
	}
	s.notRun[key] = notRun
	s.order = append(s.order, settledRecord{key: key, at: now})
}

// get reports whether the request of key never runs, and whether it has a record at all.
func (s *settledRequests) get(key jobID) (notRun, known bool) {
	notRun, known = s.notRun[key]
	return notRun, known
}

// expire deletes records older than settledRetention.
func (s *settledRequests) expire(now time.Time) {
	n := 0
	for n < len(s.order) && now.Sub(s.order[n].at) > settledRetention {
		delete(s.notRun, s.order[n].key)
		n++
	}
	s.order = s.order[n:]
}
