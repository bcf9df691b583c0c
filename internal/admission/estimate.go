package admission

import (
	"math"
	"time"
)

const (
	// meanGain is the weight of a new service time in the mean.
	meanGain = 0.05
	// highQuantile is the quantile of service times that is estimated.
	highQuantile = 0.99
	// quantileStep is the relative step size of the quantile estimate.
	quantileStep = 0.05
)

// estimate is a smoothed mean and a high quantile of service times.
type estimate struct {
	// assumed is the mean before the first service time is added.
	assumed time.Duration
	// smoothed is the mean, or zero before the first service time is added.
	smoothed time.Duration
	// quantile is the estimated highQuantile quantile, in nanoseconds.
	quantile float64
}

// add adds a service time. A service time above the estimated quantile raises the
// estimate by highQuantile steps, one below lowers it by 1-highQuantile steps. The
// estimate is stable where the share of service times below it is highQuantile.
func (e *estimate) add(d time.Duration) {
	if e.smoothed == 0 {
		e.smoothed = d
		e.quantile = float64(d)
		return
	}
	e.smoothed += time.Duration(meanGain * float64(d-e.smoothed))
	if float64(d) > e.quantile {
		e.quantile *= math.Exp(quantileStep * highQuantile)
	} else {
		e.quantile *= math.Exp(-quantileStep * (1 - highQuantile))
	}
}

// mean returns the mean service time, or the assumed one before the first request.
func (e *estimate) mean() time.Duration {
	if e.smoothed == 0 {
		return e.assumed
	}
	return e.smoothed
}

// high returns the estimated highQuantile quantile of the service times, but at least the
// mean.
func (e *estimate) high() time.Duration { return max(time.Duration(e.quantile), e.mean()) }
