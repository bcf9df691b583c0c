package admission

import "time"

// serviceShare is the weight of a new service time in the mean.
const serviceShare = 0.1

// estimate is a smoothed service time.
type estimate struct {
	assumed time.Duration
	value   time.Duration
}

func (e *estimate) add(d time.Duration) {
	if e.value == 0 {
		e.value = d
		return
	}
	e.value += time.Duration(serviceShare * float64(d-e.value))
}

func (e *estimate) mean() time.Duration {
	if e.value == 0 {
		return e.assumed
	}
	return e.value
}
