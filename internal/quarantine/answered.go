package quarantine

import "time"

// answered remembers the time of the last answer to each of the last maxParts parts or more.
// Parts move from the older to the newer generation with each answer.
type answered struct {
	newer, older map[string]time.Duration
}

func (a *answered) record(at time.Duration, p string) {
	if a.newer == nil || len(a.newer) >= maxParts/2 {
		a.newer, a.older = make(map[string]time.Duration, maxParts/2), a.newer
	}
	last, _ := a.time(p)
	a.newer[p] = max(last, at)
}

// time returns the time of the last answer to a part that is remembered.
func (a *answered) time(p string) (time.Duration, bool) {
	if at, ok := a.newer[p]; ok {
		return at, true
	}
	at, ok := a.older[p]
	return at, ok
}
