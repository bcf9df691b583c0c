package admission

import (
	"math"
	"time"
)

const (
	// serviceShare is the weight of a new service time in the mean.
	serviceShare = 0.05
	// highQuantile is the quantile that high returns.
	highQuantile = 0.99
	// quantileStep is the relative step by which the quantile estimate moves.
	quantileStep = 0.05
)

// estimate is a smoothed mean and high quantile of service times.
type estimate struct {
	assumed  time.Duration
	value    time.Duration
	quantile float64
}

// add takes in a service time. The quantile moves up by highQuantile steps at a
// longer one and down by 1-highQuantile steps at a shorter one, so that it rests
// where the shares balance.
func (e *estimate) add(d time.Duration) {
	if e.value == 0 {
		e.value = d
		e.quantile = float64(d)
		return
	}
	e.value += time.Duration(serviceShare * float64(d-e.value))
	if float64(d) > e.quantile {
		e.quantile *= math.Exp(quantileStep * highQuantile)
	} else {
		e.quantile *= math.Exp(-quantileStep * (1 - highQuantile))
	}
}

// mean returns the mean service time.
func (e *estimate) mean() time.Duration {
	if e.value == 0 {
		return e.assumed
	}
	return e.value
}

// high returns a service time that few requests exceed.
func (e *estimate) high() time.Duration { return max(time.Duration(e.quantile), e.mean()) }
