package placement

import (
	"slices"
	"time"
)

const (
	// targetGapRatio is the ratio of the longest gap to the objective at which the model sets
	// the share. The rest is for passes that read many prompts.
	targetGapRatio = 0.93
	// idleShare is the share of a group of which no gaps are known, and the one to which the
	// share grows again once none have been seen for gapMaxAge.
	idleShare = 1.0
	// passWindow is the time over which the longest gap is taken.
	passWindow = time.Second
	// samePassSpan is the time within which gaps end that are caused by the same pass: all
	// streams of a group observe a pass at once, and networks deliver its events at slightly
	// different times.
	samePassSpan = 20 * time.Millisecond
	// pauseRatio is the ratio to the mean gap above which a gap is a pause that is not caused
	// by load, such as a pass that waits for a change of the expert map, unless there are
	// minLoadPauses of them within passWindow.
	pauseRatio    = 1.6
	minLoadPauses = 3
	// minPasses is the number of passes that the model needs. With fewer of them a pause can't
	// be told from an ordinary gap.
	minPasses = 3
	// meanPassWeight is the weight of the newest pass in the mean gap.
	meanPassWeight = 0.1
)

// stepTimes are the published parameters of the time of a group's pass.
type stepTimes struct {
	// base is the time of a pass without requests, perLoad the time that a load of all slots
	// adds to it. Only their ratio is used.
	base, perLoad time.Duration
}

// stepTimes returns the parameters for the target's group.
func (s *targetState) stepTimes() stepTimes {
	return stepTimes{base: s.StepTime, perLoad: s.StepTimePerRequest * time.Duration(s.Slots)}
}

func (t stepTimes) known() bool { return t.base > 0 && t.perLoad > 0 }

// at returns the time of a pass at a load, in units of its own.
func (t stepTimes) at(load float64) float64 { return float64(t.base) + load*float64(t.perLoad) }

// loadAt is the inverse of at.
func (t stepTimes) loadAt(passTime float64) float64 {
	return (passTime - float64(t.base)) / float64(t.perLoad)
}

// pass is one pass of a group, as the streams of this process show it.
type pass struct {
	// end is the time of the first gap that ended with the pass.
	end time.Duration
	// gap is the longest gap that is not a pause, or zero; longest includes pauses.
	gap, longest time.Duration
	// objective is the least objective of the streams, or zero if none has one.
	objective time.Duration
}

// passModel sets the share of its slots that a group gets work for, so that its longest gap
// meets the objective: it scales the published time of a pass to the gaps that are observed.
type passModel struct {
	// reduction is the difference between idleShare and the share as of adjustedAt.
	reduction  float64
	adjustedAt time.Duration
	// passes are those within passWindow, the newest one last.
	passes []pass
	// known is the number of passes, up to minPasses, since gaps were last missing for gapMaxAge.
	known int
	// mean is the mean gap of the passes before the newest one.
	mean time.Duration
}

// observe adjusts the share to a gap that has just ended. Its cost is that of a comparison for
// most streams of a pass, since only gaps longer than those before them matter.
func (m *passModel) observe(now, gap, objective time.Duration, t stepTimes, loads *loadMeter) {
	n := len(m.passes)
	if n == 0 || now-m.passes[n-1].end >= samePassSpan {
		m.beginPass(now)
	} else if gap <= m.passes[n-1].longest {
		m.passes[n-1].addObjective(objective)
		return
	}
	last := &m.passes[len(m.passes)-1]
	last.addObjective(objective)
	last.longest = max(last.longest, gap)
	if !m.isPause(gap) {
		last.gap = max(last.gap, gap)
	}
	m.adjust(now, t, loads)
}

func (p *pass) addObjective(objective time.Duration) {
	if objective > 0 && (p.objective == 0 || objective < p.objective) {
		p.objective = objective
	}
}

// beginPass adds a pass after it has included the previous one in the mean gap.
func (m *passModel) beginPass(now time.Duration) {
	if n := len(m.passes); n > 0 {
		m.addToMean(m.passes[n-1])
		if !m.recent(now) {
			m.reduction, m.adjustedAt = m.reductionAt(now), now
			m.passes, m.known, m.mean = m.passes[:0], 0, 0
		}
	}
	m.passes = slices.DeleteFunc(m.passes, func(p pass) bool { return now-p.end >= passWindow })
	m.passes = append(m.passes, pass{end: now})
	m.known = min(m.known+1, minPasses)
}

// recent reports whether there was a gap within gapMaxAge.
func (m *passModel) recent(now time.Duration) bool {
	n := len(m.passes)
	return n > 0 && now-m.passes[n-1].end <= gapMaxAge
}

// addToMean includes a pass in the mean gap. The mean of the first passes is the least of them,
// since one of them may be a pause.
func (m *passModel) addToMean(p pass) {
	gap := p.gap
	if m.loadPauses() {
		gap = p.longest
	}
	switch {
	case gap == 0:
	case m.mean == 0 || m.known < minPasses:
		m.mean = gap
		for _, p := range m.passes {
			m.mean = min(m.mean, p.longest)
		}
	default:
		m.mean += time.Duration(meanPassWeight * float64(gap-m.mean))
	}
}

// isPause reports whether a gap is too long to be caused by load.
func (m *passModel) isPause(gap time.Duration) bool {
	return m.mean > 0 && float64(gap) > pauseRatio*float64(m.mean)
}

// loadPauses reports whether so many gaps of the last passWindow are pauses that load does cause
// them. A pass that is held ends gaps of streams in several steps if the streams get an event
// only every few passes: gaps that began before the end of a counted one are the same pause.
func (m *passModel) loadPauses() bool {
	n, end := 0, time.Duration(0)
	for _, p := range m.passes {
		if m.isPause(p.longest) && p.end-p.longest >= end-samePassSpan {
			n, end = n+1, p.end
		}
	}
	return n >= minLoadPauses
}

// longestGap returns the longest gap of the last passWindow that load has caused. The pass after a
// pause does not count either: it reads all prompts that have come during the pause.
func (m *passModel) longestGap() time.Duration {
	longest, withPauses, afterPause := time.Duration(0), m.loadPauses(), false
	for _, p := range m.passes {
		switch {
		case withPauses:
			longest = max(longest, p.longest)
		case !afterPause && !m.isPause(p.gap):
			longest = max(longest, p.gap)
		}
		afterPause = m.isPause(p.longest)
	}
	return longest
}

// objective returns the least objective of the streams of the last passWindow, or zero.
func (m *passModel) objective() time.Duration {
	var all pass
	for _, p := range m.passes {
		all.addObjective(p.objective)
	}
	return all.objective
}

// adjust sets the share to the one at which the longest gap is targetGapRatio of the objective.
// The share decreases at once and increases by a step each adjustInterval.
func (m *passModel) adjust(now time.Duration, t stepTimes, loads *loadMeter) {
	objective, longest := m.objective(), m.longestGap()
	if objective == 0 || longest == 0 || m.known < minPasses {
		return
	}
	if float64(m.mean) > slowRankRatio*float64(objective) {
		m.reduction, m.adjustedAt = idleShare-maxShare, now
		return
	}
	share := t.loadAt(targetGapRatio * float64(objective) / float64(longest) * t.at(loads.meanRunning()))
	reduction := idleShare - min(max(share, minShare), maxShare)
	switch {
	case reduction > m.reduction:
		m.reduction, m.adjustedAt = reduction, now
	case now-m.adjustedAt >= adjustInterval:
		m.reduction, m.adjustedAt = max(reduction, m.reduction-increaseStep), now
	}
}

// reductionAt returns the reduction now. Without gaps it decreases with the time, since a
// gateway that gets no request because of the share would never see that it can grow.
func (m *passModel) reductionAt(now time.Duration) float64 {
	if len(m.passes) == 0 {
		return m.reduction
	}
	silent := now - m.passes[len(m.passes)-1].end - gapMaxAge
	if silent <= 0 {
		return m.reduction
	}
	return max(0, m.reduction-increaseStep*float64(silent/adjustInterval))
}

// share returns the fraction of their slots that the group's ranks get work for now.
func (m *passModel) share(now time.Duration) float64 { return idleShare - m.reductionAt(now) }
