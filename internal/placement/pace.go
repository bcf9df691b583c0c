package placement

import (
	"math"
	"time"
)

// A group's passes take longer the more its ranks run. While the longest of them comes
// near the pause between events that callers aim at, each further stream makes all the
// others late, so that the group gets less work than it has slots for.
const (
	// fullShare is the part of their slots that ranks get while passes are short.
	fullShare = 1.1
	// leastShare bounds how far the part is lowered.
	leastShare = 0.5
	// paceInterval is the least time between two changes of the part.
	paceInterval = 250 * time.Millisecond
	// lowerFrom and raiseTo are the longest recent pass, in parts of the objective, from
	// which the part is lowered and up to which it is raised.
	lowerFrom = 0.97
	raiseTo   = 0.86
	// lowerStep and raiseStep are the changes of the part. Raising is slow, since one
	// pass that is too long makes every stream of the group late.
	lowerStep = 0.06
	raiseStep = 0.02
	// hopeless is the mean gap, in parts of the objective, beyond which less work would
	// not help: a rank is slow, and late answers are worth more than none.
	hopeless = 1.5
	// longestHalfLife is the time in which the longest recent pass loses half of what is
	// above the mean.
	longestHalfLife = time.Second
)

// pace holds the part of its ranks' slots that a group gets.
type pace struct {
	// lowered is what the part is below fullShare.
	lowered float64
	// longest is the longest recent gap between a stream's events, as of longestAt.
	longest   time.Duration
	longestAt time.Duration
	adjusted  time.Duration
}

// observe takes in a gap; mean is the mean gap of the group. load returns the part of
// their slots that the group's ranks have now.
func (p *pace) observe(now, gap, mean, objective time.Duration, load func() float64) {
	if objective <= 0 {
		return
	}
	fade := math.Exp2(-float64(now-p.longestAt) / float64(longestHalfLife))
	faded := mean + time.Duration(fade*float64(max(0, p.longest-mean)))
	p.longest, p.longestAt = max(gap, faded), now
	if now-p.adjusted < paceInterval {
		return
	}
	p.adjusted = now
	switch longest := float64(p.longest) / float64(objective); {
	case float64(mean) > hopeless*float64(objective):
		p.lowered = 0
	case longest > lowerFrom:
		// What the group has now is too much, whatever it might have.
		p.lowered = min(max(p.lowered, fullShare-load())+lowerStep, fullShare-leastShare)
	case longest < raiseTo:
		p.lowered = max(p.lowered-raiseStep, 0)
	}
}

// share is the part of their slots that the group's ranks get now.
func (p *pace) share() float64 { return fullShare - p.lowered }
