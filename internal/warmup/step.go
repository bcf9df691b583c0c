package warmup

import (
	"math"
	"time"
)

// endEpoch ends the epoch of the current limit and acts on its result. It returns
// true if the limit was lowered.
func (l *Limiter) endEpoch(now time.Duration) bool {
	mean := l.epoch.mean()
	l.epoch = epoch{start: now}
	if l.checking {
		l.endCheck(mean)
		return false
	}
	probing := l.limit > l.confirmed
	switch l.latency.evaluate(mean, probing || l.limit < smallLimit) {
	case epochGood:
		if probing && l.stepFailed {
			l.startCheck(mean)
			return true
		}
		l.confirm()
		l.stepUp(now)
		return false
	case epochOverloaded:
		return l.stepBack()
	default:
		l.resetToCold(now)
		return true
	}
}

// startCheck lowers, for one epoch, a limit that was reached only after failed
// steps. While a target warms up, its increasing speed can hide the overload at a
// limit that rises at the same time; the comparison with a lower limit reveals it.
func (l *Limiter) startCheck(mean float64) {
	l.checking = true
	l.checkedMean = mean
	l.checkedLimit = l.limit
	l.limit = max(l.limit*checkPercent/100, l.cfg.ColdLimit)
}

// endCheck returns to the checked limit, or keeps the lowered limit if the checked
// one was overloaded.
func (l *Limiter) endCheck(mean float64) {
	l.checking = false
	if l.checkedMean-mean <= math.Log(checkOverloadRatio) {
		l.limit = min(l.checkedLimit, l.cfg.Limit)
		l.confirm()
		return
	}
	l.confirmed = l.limit
	l.limitIsGood = true
	l.nextStepAfter = l.completionsSinceConfirmed + max(l.completionsSinceConfirmed/4, firstStepCompletions)
}

// confirm records that the current limit is good. The next step waits for about as
// many completions as this one needed, scaled by completionsGain.
func (l *Limiter) confirm() {
	l.limitIsGood = true
	if l.limit <= l.confirmed {
		return
	}
	l.confirmed = l.limit
	needed := l.completionsSinceStep
	if l.stepFailed || l.limit < smallLimit {
		needed = l.completionsSinceConfirmed
	}
	l.nextStepAfter = min(max(int(completionsGain*float64(needed)), minStepCompletions), maxStepCompletions)
	l.completionsSinceConfirmed, l.stepFailed = 0, false
}

// mustStayCold reports whether the limit must stay at the cold limit because the engine
// reports that it is cold.
func (l *Limiter) mustStayCold() bool { return l.cold && !l.cfg.ProbeWhileCold }

// stepUp raises the limit by one step if the current one was found good and enough
// requests have completed.
func (l *Limiter) stepUp(now time.Duration) {
	if l.mustStayCold() || !l.limitIsGood || l.checking || l.completionsSinceConfirmed < l.nextStepAfter || l.limit >= l.cfg.Limit {
		return
	}
	l.limit = min(l.limit+l.stepSize(), l.cfg.Limit)
	l.limitIsGood = false
	l.completionsSinceStep = 0
	l.epoch = epoch{start: now}
}

// stepBack lowers the limit by one step and delays the next step up. At the cold
// limit it instead accepts the higher latency as normal, so that a lasting change
// of the workload does not keep the limit low permanently. It returns true if the
// limit was lowered.
func (l *Limiter) stepBack() bool {
	if l.limit == l.cfg.ColdLimit {
		l.latency.resetLevel()
		return false
	}
	if l.limit > l.confirmed {
		l.limit = l.confirmed
	} else {
		l.limit = max(l.limit-l.stepSize(), l.cfg.ColdLimit)
		l.confirmed = l.limit
	}
	l.limitIsGood, l.stepFailed = true, true
	l.nextStepAfter = l.completionsSinceConfirmed + max(l.completionsSinceConfirmed/4, firstStepCompletions)
	return true
}

func (l *Limiter) stepSize() int { return max(1, l.limit/growthDivisor) }
