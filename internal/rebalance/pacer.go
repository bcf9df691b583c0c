package rebalance

import "time"

// Pacer spreads loads of weights so that they never exceed a rate. Each agent of
// a group of n ranks uses one with an n-th of the weight store's rate.
type Pacer struct {
	// Rate is the allowed rate in bytes a second.
	Rate int64
	free time.Duration
}

// Reserve returns the time at which a load of size bytes may start if it is asked
// for at now, and reserves the rate until it has ended. A load must not be faster
// than Rate.
func (p *Pacer) Reserve(now time.Duration, size int64) time.Duration {
	start := max(now, p.free)
	p.free = start + p.Time(size)
	return start
}

// Time returns the least time that size bytes may take, rounded up.
func (p *Pacer) Time(size int64) time.Duration {
	seconds := size / p.Rate
	rest := size % p.Rate
	return time.Duration(seconds)*time.Second + time.Duration((float64(rest)/float64(p.Rate))*float64(time.Second)) + 1
}
