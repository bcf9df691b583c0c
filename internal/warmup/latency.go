package warmup

import (
	"math"
	"time"
)

const (
	// minSamples and maxSamples bound the requests that judge a limit.
	minSamples, maxSamples = 4, 48
	// precision is the wanted standard error of an epoch's mean logarithm.
	precision = 0.08
	// probeRatio is the highest latency, against the confirmed limit's, at which a step is kept.
	probeRatio = 1.2
	// creepRatio is the highest latency, against the best epoch's, at which a step is kept.
	creepRatio = 1.4
	// strainRatio is the latency, against the best epoch's, from which a confirmed limit is lowered.
	strainRatio = 1.6
	// coldRatio is the latency, against the best epoch's, from which the target counts as cold.
	coldRatio = 2.5
	// smoothing is the weight of a new request in the baseline and the noise.
	smoothing = 1.0 / 32
	// epochSmoothing is the weight of a new epoch in the level.
	epochSmoothing = 0.25
	// firstNoise is the standard deviation of logarithms assumed at first.
	firstNoise = 0.2
)

// epoch gathers the requests that started after the present limit was set and
// at a time when it was fully used. Latencies are averaged as logarithms, so that
// a few long requests do not hide the rest.
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

// logarithm returns the natural logarithm of a latency in seconds.
func logarithm(latency float64) float64 { return math.Log(max(latency, 1e-9)) }

// latency is what is known about a target's latency, all in logarithms.
type latency struct {
	// baseline and variance describe single requests.
	baseline, variance float64
	seen               bool
	// level is the smoothed latency of good epochs, best the lowest since the last drop.
	level, best float64
	judged      bool
}

// add takes in one request.
func (l *latency) add(seconds float64) {
	x := logarithm(seconds)
	if !l.seen {
		l.baseline, l.variance, l.seen = x, firstNoise*firstNoise, true
		return
	}
	off := x - l.baseline
	l.baseline += smoothing * off
	l.variance += smoothing * (off*off - l.variance)
}

// unusual reports whether one request was far slower than the target's requests are.
func (l *latency) unusual(seconds float64) bool {
	margin := max(math.Log(slowRatio), slowDeviations*math.Sqrt(l.variance))
	return l.seen && logarithm(seconds) > l.baseline+margin
}

// samplesNeeded returns the number of requests whose mean is precise enough.
func (l *latency) samplesNeeded() int {
	n := int(math.Ceil(l.variance / (precision * precision)))
	return min(max(n, minSamples), maxSamples)
}

// judgement is what an epoch says about a limit.
type judgement uint8

const (
	good judgement = iota
	strained
	turnedCold
)

// judge compares an epoch's mean with what the target showed before.
func (l *latency) judge(mean float64, probing bool) judgement {
	if !l.judged {
		l.level, l.best, l.judged = mean, mean, true
		return good
	}
	over := mean - l.best
	strain := over > math.Log(strainRatio)
	if probing {
		strain = mean-l.level > math.Log(probeRatio) || over > math.Log(creepRatio)
	}
	switch {
	case over > math.Log(coldRatio):
		return turnedCold
	case strain:
		return strained
	}
	l.level += epochSmoothing * (mean - l.level)
	l.best = min(l.best, mean)
	return good
}

// forget lets the next epoch set the best anew. The baseline of single requests stays.
func (l *latency) forget() { l.judged = false }
