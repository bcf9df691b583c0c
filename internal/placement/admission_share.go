package placement

import (
	"math"
	"time"
)

// The passes of a group take longer the more requests its ranks run. While the longest
// recent pass is close to the objective for the gap between events, every further stream
// makes all others late, so the group is given less work than it has slots for.
const (
	// maxShare is the fraction of their slots that ranks get work for while passes are
	// short.
	maxShare = 1.1
	// minShare is the lowest value of the share.
	minShare = 0.5
	// adjustInterval is the least time between two changes of the share.
	adjustInterval = 250 * time.Millisecond
	// decreaseAbove and increaseBelow are ratios of the longest recent pass to the
	// objective. The share is decreased above decreaseAbove and increased below
	// increaseBelow.
	decreaseAbove = 0.97
	increaseBelow = 0.86
	// decreaseStep and increaseStep are the sizes of one change of the share. It grows
	// slowly, since one pass that is too long makes every stream of the group late.
	decreaseStep = 0.06
	increaseStep = 0.02
	// slowRankRatio is the ratio of the mean gap to the objective above which less work
	// would not help: a rank is slow, and late answers are better than none.
	slowRankRatio = 1.5
	// longestGapHalfLife is the time in which the excess of the longest recent gap over
	// the mean gap decays by half.
	longestGapHalfLife = time.Second
)

// admissionShare is the fraction of its ranks' slots that a group gets work for.
type admissionShare struct {
	// reduction is the difference between maxShare and the current share.
	reduction float64
	// longestGap is the longest recent gap between two events of a stream, as of
	// longestGapAt.
	longestGap   time.Duration
	longestGapAt time.Duration
	adjustedAt   time.Duration
}

// observe adjusts the share to a new gap; mean is the mean gap of the group. load returns
// the current load of the group's ranks as a fraction of their slots.
func (s *admissionShare) observe(now, gap, mean, objective time.Duration, load func() float64) {
	if objective <= 0 {
		return
	}
	decay := math.Exp2(-float64(now-s.longestGapAt) / float64(longestGapHalfLife))
	decayed := mean + time.Duration(decay*float64(max(0, s.longestGap-mean)))
	s.longestGap, s.longestGapAt = max(gap, decayed), now
	if now-s.adjustedAt < adjustInterval {
		return
	}
	s.adjustedAt = now
	switch longest := float64(s.longestGap) / float64(objective); {
	case float64(mean) > slowRankRatio*float64(objective):
		s.reduction = 0
	case longest > decreaseAbove:
		// The current load is too high, even where the share would allow more.
		s.reduction = min(max(s.reduction, maxShare-load())+decreaseStep, maxShare-minShare)
	case longest < increaseBelow:
		s.reduction = max(s.reduction-increaseStep, 0)
	}
}

// share returns the fraction of their slots that the group's ranks get work for now.
func (s *admissionShare) share() float64 { return maxShare - s.reduction }
