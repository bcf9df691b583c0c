package rebalance

import "time"

// Pacer schedules loads of weights so that they never exceed a rate. In a group of n ranks
// each agent uses a Pacer with 1/n of the weight store's rate.
type Pacer struct {
	// Rate is the allowed rate in bytes per second.
	Rate   int64
	freeAt time.Duration
}

// Reserve returns the time at which a load of size bytes that is requested at now may
// start, and reserves the rate until the load has ended. A load must not be faster than
// Rate.
func (p *Pacer) Reserve(now time.Duration, size int64) time.Duration {
	start := max(now, p.freeAt)
	p.freeAt = start + p.MinDuration(size)
	return start
}

// MinDuration returns the least duration of a load of size bytes, rounded up.
func (p *Pacer) MinDuration(size int64) time.Duration {
	seconds := size / p.Rate
	rest := size % p.Rate
	return time.Duration(seconds)*time.Second + time.Duration((float64(rest)/float64(p.Rate))*float64(time.Second)) + 1
}
