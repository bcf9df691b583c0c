// Package priority decides which requests a service admits when it cannot serve all of
// them. It does no I/O and reads no clock: time and random numbers are passed in.
//
// The policy is trunk reservation: a request of a level is admitted while the load of the
// service is below its limit minus a reserve for more important levels. That is optimal
// for loss systems whose classes have equal service times and different rewards (Miller
// 1969), and needs no coordinator.
package priority

import "time"

const (
	// reserveTime is the time of arrivals of more important levels that is kept free. Within
	// it a gateway learns of the work of other gateways.
	reserveTime = 500 * time.Millisecond
	// maxReserveShare bounds the reserve as a fraction of the limit.
	maxReserveShare = 0.5
	// minShare is the lowest ratio of admitted to arrived requests of a level, as a fraction
	// of the same ratio of all levels together. It is above the 0.3 that each level is promised, as
	// the rates follow the requests with a delay.
	minShare = 0.35
	// minArrivals is the lowest rate of arrivals, per second, from which the ratio of admitted
	// to arrived requests follows; below it, the ratio is 1.
	minArrivals = 1e-3
)

// Level is the demand of one level of a service.
type Level struct {
	// Priority identifies the level; 0 is the most important.
	Priority int
	Rates
}

// Rates are the rates of a level's requests, per second.
type Rates struct{ Arrivals, Admissions float64 }

// ratio returns the share of the arrived requests that are admitted.
func (r Rates) ratio() float64 {
	if r.Arrivals < minArrivals {
		return 1
	}
	return r.Admissions / r.Arrivals
}

// Levels is the demand of a service by level, most important first.
type Levels []Level

// Add adds rates to those of a level.
func (l Levels) Add(priority int, r Rates) Levels {
	i := 0
	for i < len(l) && l[i].Priority < priority {
		i++
	}
	if i == len(l) || l[i].Priority != priority {
		l = append(l, Level{})
		copy(l[i+1:], l[i:])
		l[i] = Level{Priority: priority}
	}
	l[i].Arrivals += r.Arrivals
	l[i].Admissions += r.Admissions
	return l
}

// Scale multiplies all rates by a factor.
func (l Levels) Scale(factor float64) {
	for i := range l {
		l[i].Arrivals *= factor
		l[i].Admissions *= factor
	}
}

// Reserve returns the part of the limit that is kept free for the levels that are more
// important than the priority.
func (l Levels) Reserve(priority int, limit float64) float64 {
	arrivals := 0.0
	for _, level := range l {
		if level.Priority >= priority {
			break
		}
		arrivals += level.Arrivals
	}
	return min(arrivals*reserveTime.Seconds(), maxReserveShare*limit)
}

// MaxHeadroomShare bounds the headroom of a level as a fraction of the limit.
const MaxHeadroomShare = 0.2

// Headroom returns how far above the limit requests of a level may go, in requests: the arrivals of
// less important levels within reserveTime, which are refused instead. Without it, requests that
// were admitted before would keep out the most important ones whenever the limit falls.
func (l Levels) Headroom(level int, limit float64) float64 {
	arrivals := 0.0
	for _, other := range l {
		if other.Priority > level {
			arrivals += other.Arrivals
		}
	}
	return min(arrivals*reserveTime.Seconds(), MaxHeadroomShare*limit)
}

// Deprived reports whether the admitted share of a level is below its minimum.
func (l Levels) Deprived(priority int) bool {
	var own, all Rates
	for _, level := range l {
		if level.Priority == priority {
			own = level.Rates
		}
		all.Arrivals += level.Arrivals
		all.Admissions += level.Admissions
	}
	return own.ratio() < minShare*all.ratio()
}

// Check is a request that is checked against its level's part of a service.
type Check struct {
	Priority int
	// Load is the number of the service's requests and Limit their highest number.
	Load, Limit float64
	// Reserve is the part of the limit that is kept free for more important levels.
	Reserve float64
	// Headroom is the part above the limit that the level may use.
	Headroom float64
	// Deprived is true if the level's admitted share is below its minimum, so that there is
	// no reserve and the largest headroom: it competes with the most important level.
	Deprived bool
}

// NewCheck returns the check of a request of a service with the given demand.
func NewCheck(demand Levels, priority int, load, limit float64) Check {
	c := Check{Priority: priority, Load: load, Limit: limit, Deprived: demand.Deprived(priority)}
	if c.Deprived {
		c.Headroom = MaxHeadroomShare * limit
	} else {
		c.Reserve, c.Headroom = demand.Reserve(priority, limit), demand.Headroom(priority, limit)
	}
	return c
}

// Admitted reports whether the request is admitted.
func (c Check) Admitted() bool { return c.Load < c.Limit+c.Headroom-c.Reserve }
