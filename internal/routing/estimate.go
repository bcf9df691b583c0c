package routing

import "time"

// estimate is the estimated load of one candidate.
type estimate struct {
	// load is the estimated number of requests that run or wait.
	load int
	// limit is the number of requests that can run at once, at least one.
	limit int
	// service is the reported mean service time of one request.
	service time.Duration
}

// newEstimate returns the reported load, corrected by the change since the report in the
// number of requests that this entry has in flight. Without a report the load is that number
// and the limit is one.
func newEstimate(r *Report, requests *Counter) estimate {
	inFlight := requests.InFlight()
	if !r.Known {
		return estimate{load: inFlight, limit: 1}
	}
	load := r.Load.Running + r.Load.Queued + inFlight - r.InFlightAtReport
	return estimate{
		load:    max(load, inFlight, 0),
		limit:   max(r.Load.Limit, 1),
		service: r.Load.ServiceTime,
	}
}

// hasCapacity reports whether one more request would run without waiting.
func (e estimate) hasCapacity() bool { return e.load < e.limit }

// expectedWait returns the expected wait of one more request.
func (e estimate) expectedWait() time.Duration {
	ahead := e.load + 1 - e.limit
	if ahead <= 0 {
		return 0
	}
	return e.service * time.Duration(ahead) / time.Duration(e.limit)
}

// utilisation returns the utilisation with one more request.
func (e estimate) utilisation() float64 { return float64(e.load+1) / float64(e.limit) }

// lateness returns the time by which one more request would miss its deadline, which is
// remaining away. It is zero or negative if the request would meet the deadline.
func (e estimate) lateness(remaining time.Duration) time.Duration {
	return e.expectedWait() + e.service - remaining
}
