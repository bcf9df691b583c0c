package warmup

import (
	"math"
	"time"
)

// judge ends the epoch of the present limit; it returns true if the limit fell back.
func (l *Limiter) judge(now time.Duration) bool {
	mean := l.epoch.mean()
	l.epoch = epoch{start: now}
	if l.checking {
		l.endCheck(mean)
		return false
	}
	probing := l.limit > l.confirmed
	switch l.latency.judge(mean, probing || l.limit < smallLimit) {
	case good:
		if probing && l.failed {
			l.startCheck(mean)
			return true
		}
		l.confirm()
		l.stepUp(now)
		return false
	case strained:
		return l.stepBack()
	default:
		l.drop(now)
		return true
	}
}

// startCheck lowers a limit that was reached only after failed steps for one
// epoch. While a target warms, its own progress can hide the strain of a limit
// that grows along with it; the contrast to a lower limit shows it.
func (l *Limiter) startCheck(mean float64) {
	l.checking = true
	l.atLimit = mean
	l.checked = l.limit
	l.limit = max(l.limit*checkShare/100, l.cfg.ColdLimit)
}

// endCheck goes back to the checked limit, or stays if it was strained.
func (l *Limiter) endCheck(mean float64) {
	l.checking = false
	if l.atLimit-mean <= math.Log(contrastRatio) {
		l.limit = min(l.checked, l.cfg.Limit)
		l.confirm()
		return
	}
	l.confirmed = l.limit
	l.settled = true
	l.pace = l.since + max(l.since/4, firstPace)
}

// confirm notes that the present limit is good. The next step waits for about as
// many completions as this one took.
func (l *Limiter) confirm() {
	l.settled = true
	if l.limit <= l.confirmed {
		return
	}
	l.confirmed = l.limit
	needed := l.probed
	if l.failed || l.limit < smallLimit {
		needed = l.since
	}
	l.pace = min(max(int(paceGain*float64(needed)), minPace), maxPace)
	l.since, l.failed = 0, false
}

// held tells that the engine's own report keeps the limit at the cold limit.
func (l *Limiter) held() bool { return l.cold && !l.cfg.ProbeWhileCold }

// stepUp raises a limit that was judged good when enough requests have completed.
func (l *Limiter) stepUp(now time.Duration) {
	if l.held() || !l.settled || l.checking || l.since < l.pace || l.limit >= l.cfg.Limit {
		return
	}
	l.limit = min(l.limit+l.step(), l.cfg.Limit)
	l.settled = false
	l.probed = 0
	l.epoch = epoch{start: now}
}

// stepBack lowers the limit by one step and puts off the next one. At the cold
// limit the strain is learned as normal instead, so that a lasting change of the
// workload cannot hold the limit down for good.
func (l *Limiter) stepBack() bool {
	if l.limit == l.cfg.ColdLimit {
		l.latency.forget()
		return false
	}
	if l.limit > l.confirmed {
		l.limit = l.confirmed
	} else {
		l.limit = max(l.limit-l.step(), l.cfg.ColdLimit)
		l.confirmed = l.limit
	}
	l.settled, l.failed = true, true
	l.pace = l.since + max(l.since/4, firstPace)
	return true
}

func (l *Limiter) step() int { return max(1, l.limit/growthDivisor) }
