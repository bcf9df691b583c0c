package quarantine

import "time"

// Answered remembers the time of the last answer to each of the last maxAnswered keys or more. Keys
// move from the older to the newer generation with each answer.
type Answered[K comparable] struct {
	newer, older map[K]time.Duration
}

// Record records an answer at a time.
func (a *Answered[K]) Record(at time.Duration, key K) {
	if a.newer == nil || len(a.newer) >= maxAnswered/2 {
		a.newer, a.older = make(map[K]time.Duration, maxAnswered/2), a.newer
	}
	last, ok := a.Time(key)
	if ok {
		at = max(last, at)
	}
	a.newer[key] = at
}

// Time returns the time of the last answer to a key that is remembered.
func (a *Answered[K]) Time(key K) (time.Duration, bool) {
	if at, ok := a.newer[key]; ok {
		return at, true
	}
	at, ok := a.older[key]
	return at, ok
}
