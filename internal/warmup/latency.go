package warmup

import (
	"math"
	"time"
)

const (
	// minSamples and maxSamples are the minimum and the maximum number of requests in
	// an epoch.
	minSamples, maxSamples = 4, 48
	// precision is the target for the standard error of an epoch's mean logarithm.
	precision = 0.08
	// maxRatioToConfirmed is the highest ratio of an epoch's latency to that of the
	// confirmed limit at which a step is kept.
	maxRatioToConfirmed = 1.2
	// maxRatioToBest is the highest ratio of an epoch's latency to that of the best epoch
	// at which a step is kept.
	maxRatioToBest = 1.4
	// overloadRatio is the ratio of an epoch's latency to that of the best epoch above
	// which a confirmed limit is lowered.
	overloadRatio = 1.6
	// coldRatio is the ratio of an epoch's latency to that of the best epoch above
	// which the target counts as cold.
	coldRatio = 2.5
	// requestSmoothing is the weight of a new request in the baseline and the variance.
	requestSmoothing = 1.0 / 32
	// epochSmoothing is the weight of a new epoch in the smoothed level.
	epochSmoothing = 0.25
	// initialNoise is the initial standard deviation of the logarithms of latencies.
	initialNoise = 0.2
)

// epoch collects the latencies of requests that started after the current limit was
// set and while it was fully used. It averages the logarithms, so that a few long
// requests do not dominate the mean.
type epoch struct {
	start   time.Duration
	samples int
	sum     float64
}

func (e *epoch) add(latency float64) {
	e.samples++
	e.sum += logarithm(latency)
}

func (e *epoch) mean() float64 { return e.sum / float64(e.samples) }

// logarithm returns the natural logarithm of a latency in seconds, which it takes to
// be at least 1e-9 s.
func logarithm(latency float64) float64 { return math.Log(max(latency, 1e-9)) }

// latencyStats contains statistics of a target's latency, all of them on logarithms
// of seconds per unit of work.
type latencyStats struct {
	// baseline and variance are the smoothed mean and variance of single requests.
	baseline, variance float64
	hasBaseline        bool
	// level is the smoothed latency of good epochs, and best the lowest since the
	// last reset.
	level, best float64
	hasLevel    bool
}

// add updates the baseline and the variance with one request.
func (l *latencyStats) add(seconds float64) {
	x := logarithm(seconds)
	if !l.hasBaseline {
		l.baseline, l.variance, l.hasBaseline = x, initialNoise*initialNoise, true
		return
	}
	deviation := x - l.baseline
	l.baseline += requestSmoothing * deviation
	l.variance += requestSmoothing * (deviation*deviation - l.variance)
}

// isOutlier reports whether a request was far slower than the target's usual requests.
func (l *latencyStats) isOutlier(seconds float64) bool {
	margin := max(math.Log(slowRatio), slowDeviations*math.Sqrt(l.variance))
	return l.hasBaseline && logarithm(seconds) > l.baseline+margin
}

// samplesNeeded returns the number of requests that an epoch needs for the precision
// of its mean, within minSamples and maxSamples.
func (l *latencyStats) samplesNeeded() int {
	n := int(math.Ceil(l.variance / (precision * precision)))
	return min(max(n, minSamples), maxSamples)
}

// epochResult is the evaluation of the limit that an epoch ran at.
type epochResult uint8

const (
	epochGood epochResult = iota
	epochOverloaded
	epochCold
)

// evaluate compares an epoch's mean with the target's earlier epochs. The first
// epoch after a reset is good and sets the reference.
func (l *latencyStats) evaluate(mean float64, probing bool) epochResult {
	if !l.hasLevel {
		l.level, l.best, l.hasLevel = mean, mean, true
		return epochGood
	}
	over := mean - l.best
	overloaded := over > math.Log(overloadRatio)
	if probing {
		overloaded = mean-l.level > math.Log(maxRatioToConfirmed) || over > math.Log(maxRatioToBest)
	}
	switch {
	case over > math.Log(coldRatio):
		return epochCold
	case overloaded:
		return epochOverloaded
	}
	l.level += epochSmoothing * (mean - l.level)
	l.best = min(l.best, mean)
	return epochGood
}

// resetLevel makes the next epoch set a new level and best. The baseline of single
// requests is kept.
func (l *latencyStats) resetLevel() { l.hasLevel = false }
