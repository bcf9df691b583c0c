package placement

import "time"

// stallAfter is how long all streams of a lock-step group must be silent before the
// group counts as stalled. Passes take a few tens of milliseconds.
const stallAfter = 500 * time.Millisecond

// stallHold is how long a group that stalled gets no new work unless it moves again.
const stallHold = 3 * time.Second

// group is what is known of a lock-step group.
type group struct {
	producing int
	lastEvent time.Duration
	// stalledAt is when a stall was last noticed; zero if none.
	stalledAt time.Duration
}

// SetGroup names the lock-step group of a target.
func (b *Balancer) SetGroup(id, name string) {
	s := b.targets[id]
	if s == nil || s.group == name {
		return
	}
	if g := b.groups[s.group]; g != nil {
		g.producing -= s.producing
	}
	s.group = name
	if name == "" {
		return
	}
	g := b.groups[name]
	if g == nil {
		g = &group{}
		b.groups[name] = g
	}
	g.producing += s.producing
	g.lastEvent = max(g.lastEvent, s.lastEvent)
}

// Group returns the lock-step group of a target, or the empty string.
func (b *Balancer) Group(id string) string {
	if s := b.targets[id]; s != nil {
		return s.group
	}
	return ""
}

// Producing notes a stream's first event, or with n = -1 the end of such a stream.
func (b *Balancer) Producing(now time.Duration, id string, n int) {
	s := b.targets[id]
	if s == nil {
		return
	}
	s.producing = max(0, s.producing+n)
	if g := b.groups[s.group]; g != nil {
		g.producing = max(0, g.producing+n)
	}
	if n > 0 {
		b.Event(now, id)
	}
}

// Event notes an event of a stream at a target.
func (b *Balancer) Event(now time.Duration, id string) {
	s := b.targets[id]
	if s == nil {
		return
	}
	s.lastEvent = now
	if g := b.groups[s.group]; g != nil {
		g.lastEvent, g.stalledAt = now, 0
	}
}

// Stalled notes that a stream at the target was silent for too long.
func (b *Balancer) Stalled(now time.Duration, id string) {
	if s := b.targets[id]; s != nil {
		if g := b.groups[s.group]; g != nil && now-g.lastEvent >= stallAfter {
			g.stalledAt = now
		}
	}
}

// stalled reports whether the target's group shows no progress.
func (b *Balancer) stalled(now time.Duration, s *state) bool {
	g := b.groups[s.group]
	if g == nil {
		return false
	}
	if g.producing > 0 && now-g.lastEvent >= stallAfter {
		return true
	}
	return g.stalledAt > 0 && now-g.stalledAt < stallHold
}

// IsStalled reports whether the target's lock-step group shows no progress.
func (b *Balancer) IsStalled(now time.Duration, id string) bool {
	s := b.targets[id]
	return s != nil && b.stalled(now, s)
}
