package placement

import "time"

const (
	// minSilence and maxSilence bound the silence after which a lock-step group counts
	// as stalled. Passes take a few tens of milliseconds when all is well; callers
	// abandon a stream after two seconds, and another target has to read the prompt first.
	minSilence = 500 * time.Millisecond
	maxSilence = 1300 * time.Millisecond
	// silentPasses is the silence in the group's own recent gaps between events.
	silentPasses = 5
	// stallHold is how long a group that stalled gets no new work unless it moves again:
	// work cut off by a rank's loss ends after half of it, and then the group forms anew.
	stallHold = 3 * time.Second
	// firstDown and maxDown bound the time for which a group that refuses work gets none.
	firstDown = 300 * time.Millisecond
	maxDown   = 600 * time.Millisecond
	// closedTrust is the age up to which the word that a group does not run counts.
	closedTrust = 1500 * time.Millisecond
	// gapWeight is the weight of the newest gap in the mean.
	gapWeight = 0.1
	// gapTrust is the age up to which the mean gap counts.
	gapTrust = 2 * time.Second
	// slowFrom and slowTo are the parts of the objective between which a group's gap
	// adds up to slowWeight to the cost of its targets.
	slowFrom   = 0.8
	slowTo     = 1.2
	slowWeight = 1.0
)

// group is what is known of a lock-step group. Its ranks run every pass together, so
// that one rank's trouble is the trouble of all.
type group struct {
	// producing counts the streams of this process that have had an event.
	producing int
	lastEvent time.Duration
	// gap is the mean time between two events of a stream.
	gap time.Duration
	pace
	// stalledAt is when a stall was last noticed; zero if none.
	stalledAt time.Duration
	// closedEpoch is the epoch in which the group was last reported not to run, at
	// closedAt; openEpoch the newest one in which it ran.
	closedEpoch, openEpoch int64
	closedAt               time.Duration
	// downUntil and downFor say until when the group gets nothing since it refuses work.
	downUntil, downFor time.Duration
}

// silence is the time without an event after which the group counts as stalled.
func (g *group) silence() time.Duration {
	return min(max(silentPasses*g.gap, minSilence), maxSilence)
}

// stalled reports whether the group shows no progress.
func (g *group) stalled(now time.Duration) bool {
	if g.producing > 0 && now-g.lastEvent >= g.silence() || g.closed(now) {
		return true
	}
	return g.stalledAt > 0 && now-g.stalledAt < stallHold
}

// event notes progress; gap is the time since the stream's event before, or zero.
func (g *group) event(now, gap, objective time.Duration, load func() float64) {
	switch {
	case gap <= 0:
	case g.gap == 0 || now-g.lastEvent > gapTrust:
		g.gap = gap
	default:
		g.gap += time.Duration(gapWeight * float64(gap-g.gap))
	}
	if gap > 0 {
		g.observe(now, gap, g.gap, objective, load)
	}
	g.lastEvent, g.stalledAt = now, 0
	g.downUntil, g.downFor = 0, 0
}

// refused notes that a rank refuses work although it has room.
func (g *group) refused(now time.Duration) {
	if now < g.downUntil {
		return
	}
	g.downFor = min(max(firstDown, 2*g.downFor), maxDown)
	g.downUntil = now + g.downFor
}

// slowness is what the group's gap adds to the cost of its targets.
func (g *group) slowness(now, objective time.Duration) float64 {
	if objective <= 0 || now-g.lastEvent > gapTrust {
		return 0
	}
	share := (float64(g.gap)/float64(objective) - slowFrom) / (slowTo - slowFrom)
	return slowWeight * min(max(share, 0), 1)
}

// closed reports whether the group is said not to run.
func (g *group) closed(now time.Duration) bool {
	return g.closedEpoch > 0 && g.closedEpoch >= g.openEpoch && now-g.closedAt < closedTrust
}

// GroupReported takes in what a target's instance says of the target's group. It
// returns what has changed, or the empty string.
func (b *Balancer) GroupReported(now time.Duration, id, name string, epoch int64, open bool) string {
	b.SetGroup(id, name)
	g := b.groupOf(b.targets[id])
	if g == nil {
		return ""
	}
	if !open {
		if epoch < g.openEpoch {
			return ""
		}
		was := g.closed(now)
		g.closedEpoch, g.closedAt = epoch, now
		if was {
			return ""
		}
		return "closed"
	}
	if epoch <= g.openEpoch {
		return ""
	}
	g.openEpoch = epoch
	g.stalledAt, g.downUntil, g.downFor = 0, 0, 0
	return "open"
}

// groupOf returns the group of a target, or nil if it is in none that is known.
func (b *Balancer) groupOf(s *state) *group {
	if s == nil || s.group == "" {
		return nil
	}
	return b.groups[s.group]
}

// SetGroup names the lock-step group of a target.
func (b *Balancer) SetGroup(id, name string) {
	s := b.targets[id]
	if s == nil || s.group == name {
		return
	}
	if g := b.groupOf(s); g != nil {
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
	if g := b.groupOf(s); g != nil {
		g.producing = max(0, g.producing+n)
		if n > 0 {
			g.event(now, 0, 0, nil)
		}
	}
}

// Event notes an event of a stream at a target, gap after the stream's event before;
// objective is the longest gap that the stream should have. It returns the silence
// after which the stream should go on elsewhere.
func (b *Balancer) Event(now time.Duration, id string, gap, objective time.Duration) time.Duration {
	g := b.groupOf(b.targets[id])
	if g == nil {
		return maxSilence
	}
	g.event(now, gap, objective, func() float64 { return b.groupLoad(now, g) })
	return g.silence()
}

// groupLoad returns the part of their slots that a group's ranks have work for.
func (b *Balancer) groupLoad(now time.Duration, g *group) float64 {
	load, slots := 0, 0
	for _, s := range b.targets {
		if b.groupOf(s) == g {
			load += s.load(now, b)
			slots += s.Slots
		}
	}
	return float64(load) / float64(max(1, slots))
}

// Stalled notes that a stream at the target was silent for too long.
func (b *Balancer) Stalled(now time.Duration, id string) {
	if g := b.groupOf(b.targets[id]); g != nil && now-g.lastEvent >= minSilence {
		g.stalledAt = now
	}
}

// IsStalled reports whether the target's lock-step group shows no progress.
func (b *Balancer) IsStalled(now time.Duration, id string) bool {
	g := b.groupOf(b.targets[id])
	return g != nil && g.stalled(now)
}
