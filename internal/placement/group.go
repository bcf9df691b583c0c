package placement

import "time"

const (
	// minStallTimeout and maxStallTimeout bound the time without an event after which a
	// lock-step group counts as stalled. Passes of a healthy group take a few tens of
	// milliseconds. Callers abandon a stalled stream after two seconds, and within that
	// time another target has to read the prompt first.
	minStallTimeout = 500 * time.Millisecond
	maxStallTimeout = 1300 * time.Millisecond
	// stallGapFactor is the stall timeout as a multiple of the group's recent mean gap
	// between events.
	stallGapFactor = 5
	// stallHold is how long a stalled group gets no new work unless it produces another
	// event. Work cut off by the loss of a rank ends after half of this time, and then the
	// group forms again.
	stallHold = 3 * time.Second
	// minDownTime and maxDownTime bound the time for which a group that refuses work gets
	// none.
	minDownTime = 300 * time.Millisecond
	maxDownTime = 600 * time.Millisecond
	// closedReportMaxAge is the age up to which a report that a group is not running is
	// used.
	closedReportMaxAge = 1500 * time.Millisecond
	// gapWeight is the weight of the newest gap in the moving average.
	gapWeight = 0.1
	// gapMaxAge is the time since the last event up to which the mean gap is used.
	gapMaxAge = 2 * time.Second
	// A group's mean gap adds between 0 and slowWeight to the cost of its targets as its
	// ratio to the objective grows from slowRatioMin to slowRatioMax.
	slowRatioMin = 0.8
	slowRatioMax = 1.2
	slowWeight   = 1.0
)

// group is the state of a lock-step group. Its ranks run every pass together, so that a
// fault of one rank affects all of them.
type group struct {
	// activeStreams counts this process's open streams that have had an event.
	activeStreams int
	lastEvent     time.Duration
	// gap is the moving average of the time between two events of a stream.
	gap time.Duration
	admissionShare
	// model replaces admissionShare for targets with known step times. It uses loads, the load
	// of the group's ranks.
	model passModel
	loads loadMeter
	// inFlight is the sum of inFlight of the group's targets.
	inFlight int
	// stalledAt is the time at which a stall was last detected; zero if there is none.
	stalledAt time.Duration
	// closedEpoch is the epoch for which the group was last reported not running, at
	// time closedAt. openEpoch is the newest epoch in which it was reported running.
	closedEpoch, openEpoch int64
	closedAt               time.Duration
	// The group gets no work until downUntil because it refused some; downTime is the
	// length of that period.
	downUntil, downTime time.Duration
}

// stallTimeout returns the time without an event after which the group counts as stalled.
func (g *group) stallTimeout() time.Duration {
	return min(max(stallGapFactor*g.gap, minStallTimeout), maxStallTimeout)
}

// stalled reports whether the group shows no progress.
func (g *group) stalled(now time.Duration) bool {
	if g.activeStreams > 0 && now-g.lastEvent >= g.stallTimeout() || g.reportedClosed(now) {
		return true
	}
	return g.stalledAt > 0 && now-g.stalledAt < stallHold
}

// recordEvent records an event of one of the group's streams. gap is the time since the
// stream's previous event, or zero.
func (g *group) recordEvent(now, gap time.Duration) {
	switch {
	case gap <= 0:
	case g.gap == 0 || now-g.lastEvent > gapMaxAge:
		g.gap = gap
	default:
		g.gap += time.Duration(gapWeight * float64(gap-g.gap))
	}
	g.lastEvent, g.stalledAt = now, 0
	g.downUntil, g.downTime = 0, 0
}

// recordRefusal records that a rank refused work although it had free slots.
func (g *group) recordRefusal(now time.Duration) {
	if now < g.downUntil {
		return
	}
	g.downTime = min(max(minDownTime, 2*g.downTime), maxDownTime)
	g.downUntil = now + g.downTime
}

// slownessCost returns the amount that the group's mean gap adds to the cost of its
// targets.
func (g *group) slownessCost(now, objective time.Duration) float64 {
	if objective <= 0 || now-g.lastEvent > gapMaxAge {
		return 0
	}
	share := (float64(g.gap)/float64(objective) - slowRatioMin) / (slowRatioMax - slowRatioMin)
	return slowWeight * min(max(share, 0), 1)
}

// reportedClosed reports whether a recent report says that the group is not running.
func (g *group) reportedClosed(now time.Duration) bool {
	return g.closedEpoch > 0 && g.closedEpoch >= g.openEpoch && now-g.closedAt < closedReportMaxAge
}

// HandleGroupReport handles a report on a target's lock-step group from the target's
// instance. It returns the change, "open" or "closed", or the empty string if there is
// none.
func (b *Balancer) HandleGroupReport(now time.Duration, id, name string, epoch int64, open bool) string {
	b.SetGroup(id, name)
	if s := b.targets[id]; s != nil {
		s.hear(now)
		s.reports = true
	}
	g := b.groupOf(b.targets[id])
	if g == nil {
		return ""
	}
	if !open {
		if epoch < g.openEpoch {
			return ""
		}
		wasClosed := g.reportedClosed(now)
		g.closedEpoch, g.closedAt = epoch, now
		if wasClosed {
			return ""
		}
		return "closed"
	}
	if epoch <= g.openEpoch {
		return ""
	}
	g.openEpoch = epoch
	g.stalledAt, g.downUntil, g.downTime = 0, 0, 0
	return "open"
}

// groupOf returns the group of a target, or nil if none is known.
func (b *Balancer) groupOf(s *targetState) *group {
	if s == nil || s.group == "" {
		return nil
	}
	return b.groups[s.group]
}

// SetGroup sets the name of a target's lock-step group.
func (b *Balancer) SetGroup(id, name string) {
	s := b.targets[id]
	if s == nil || s.group == name {
		return
	}
	if g := b.groupOf(s); g != nil {
		g.activeStreams -= s.activeStreams
		g.inFlight -= s.inFlight
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
	g.activeStreams += s.activeStreams
	g.inFlight += s.inFlight
}

// Group returns the name of a target's lock-step group, or the empty string.
func (b *Balancer) Group(id string) string {
	if s := b.targets[id]; s != nil {
		return s.group
	}
	return ""
}

// AddActiveStreams adds n to the active streams of a target: 1 records a stream's first
// event, and -1 the end of a stream that has had an event.
func (b *Balancer) AddActiveStreams(now time.Duration, id string, n int) {
	s := b.targets[id]
	if s == nil {
		return
	}
	b.addActiveStreams(s, n)
	if n > 0 {
		s.hear(now)
	}
	if g := b.groupOf(s); g != nil && n > 0 {
		g.recordEvent(now, 0)
	}
}

// addActiveStreams adds n to the active streams of a target and of its group. The count of
// a target is never negative: a stream may have begun at an earlier lifetime of it.
func (b *Balancer) addActiveStreams(s *targetState, n int) {
	n = max(n, -s.activeStreams)
	s.activeStreams += n
	if g := b.groupOf(s); g != nil {
		g.activeStreams += n
	}
}

// addInFlight adds n to the requests of a target's group.
func (b *Balancer) addInFlight(s *targetState, n int) {
	if g := b.groupOf(s); g != nil {
		g.inFlight += n
	}
}

// RecordEvent records an event of a stream at a target. gap is the time since the stream's
// previous event, and objective the longest gap that the stream should have.
// RecordEvent returns the time without a further event after which the stream should move
// to another target.
func (b *Balancer) RecordEvent(now time.Duration, id string, gap, objective time.Duration) time.Duration {
	s := b.targets[id]
	if s != nil {
		s.hear(now)
	}
	g := b.groupOf(s)
	if g == nil {
		return maxStallTimeout
	}
	g.recordEvent(now, gap)
	if gap > 0 {
		b.adjustShare(now, s, g, gap, objective)
	}
	return g.stallTimeout()
}

// adjustShare adjusts the share of the group of a target to a gap between two events.
func (b *Balancer) adjustShare(now time.Duration, s *targetState, g *group, gap, objective time.Duration) {
	if t := s.stepTimes(); t.known() {
		b.sampleLoad(now, s.group, g)
		g.model.observe(now, gap, objective, t, &g.loads)
		return
	}
	g.observe(now, gap, g.gap, objective, func() float64 { return b.groupLoad(now, g) })
}

// groupLoad returns the load of a group's ranks as a fraction of their slots.
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

// RecordStall records that a stream at the target had no event for too long. It returns the
// name of the lock-step group that the stream must avoid, or the empty string if the other
// ranks of the target's group go on.
func (b *Balancer) RecordStall(now time.Duration, id string) (avoidGroup string) {
	s := b.targets[id]
	if g := b.groupOf(s); g != nil && now-g.lastEvent >= minStallTimeout {
		g.stalledAt = now
	}
	return b.groupToAvoid(now, s)
}

// groupToAvoid returns the name of the group of a target that shows no progress, or the
// empty string if other ranks of the group have just produced events.
func (b *Balancer) groupToAvoid(now time.Duration, s *targetState) string {
	if g := b.groupOf(s); g != nil && now-g.lastEvent >= minStallTimeout/2 {
		return s.group
	}
	return ""
}

// IsStalled reports whether the target is silent or its lock-step group shows no progress.
func (b *Balancer) IsStalled(now time.Duration, id string) bool {
	s := b.targets[id]
	g := b.groupOf(s)
	return s != nil && s.isSilent(now) || g != nil && g.stalled(now)
}
