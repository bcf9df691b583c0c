package admission

import (
	"math"
	"time"
)

const (
	// meanGain is the weight of a new service time in the mean.
	meanGain = 0.05
	// highQuantile is the quantile that high estimates.
	highQuantile = 0.99
	// quantileStep is the relative step size of the quantile estimate.
	quantileStep = 0.05
)

// estimate is a smoothed mean and a high quantile of service times.
type estimate struct {
	assumed  time.Duration
	value    time.Duration
	quantile float64
}

// add adds a service time. A service time above the estimated quantile raises the
// estimate by highQuantile steps, one below lowers it by 1-highQuantile steps. The
// estimate is stable where the share of service times below it is highQuantile.
func (e *estimate) add(d time.Duration) {
	if e.value == 0 {
		e.value = d
		e.quantile = float64(d)
		return
	}
	e.value += time.Duration(meanGain * float64(d-e.value))
	if float64(d) > e.quantile {
		e.quantile *= math.Exp(quantileStep * highQuantile)
	} else {
		e.quantile *= math.Exp(-quantileStep * (1 - highQuantile))
	}
}

// mean returns the mean service time, or the assumed one before the first request.
func (e *estimate) mean() time.Duration {
	if e.value == 0 {
		return e.assumed
	}
	return e.value
}

// high returns a service time that few requests exceed.
func (e *estimate) high() time.Duration { return max(time.Duration(e.quantile), e.mean()) }
