package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// departedMemory is the time for which the state of a departed target is kept: its pauses end
	// within it.
	departedMemory = maxPause
	// maxDeparted bounds the departed targets whose state is kept.
	maxDeparted = 1024
)

// departedTarget is the state of a target that has left the set of targets.
type departedTarget struct {
	*targetState
	at time.Duration
}

// departedTargets contains departed targets by their ids. What a target has said of itself, such as
// that it leaves, holds for its lifetime, while its entry may lapse and return.
type departedTargets map[string]departedTarget

// take removes and returns the state of a target, or returns nil.
func (d departedTargets) take(id string) *targetState {
	s := d[id].targetState
	delete(d, id)
	return s
}

// prune forgets the targets that departed too long ago, and the earliest ones if there are too many.
func (d departedTargets) prune(now time.Duration) {
	maps.DeleteFunc(d, func(_ string, t departedTarget) bool { return now-t.at > departedMemory })
	ids := slices.SortedFunc(maps.Keys(d), func(a, b string) int { return cmp.Compare(d[a].at, d[b].at) })
	for _, id := range ids[:max(0, len(ids)-maxDeparted)] {
		delete(d, id)
	}
}

// depart keeps the state of a target without requests that is no longer in the set.
func (b *Balancer) depart(now time.Duration, s *targetState) {
	b.addActiveStreams(s, -s.activeStreams)
	b.departed[s.ID] = departedTarget{targetState: s, at: now}
}
