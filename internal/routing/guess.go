package routing

import "time"

// guess is the estimated load of one candidate.
type guess struct {
	// load is the estimated number of requests that run or wait.
	load int
	// limit is the number of requests that run at once, at least one.
	limit int
	// service is the mean time of one request.
	service time.Duration
}

// newGuess corrects a report by what this entry sent and saw end since.
func newGuess(r *Report, sent *Counter) guess {
	own := sent.InFlight()
	if !r.Known {
		return guess{load: own, limit: 1}
	}
	load := r.Load.Running + r.Load.Queued + own - r.SentAtReport
	return guess{
		load:    max(load, own, 0),
		limit:   max(r.Load.Limit, 1),
		service: r.Load.ServiceTime,
	}
}

// room reports whether one more request would run at once.
func (g guess) room() bool { return g.load < g.limit }

// wait returns the expected wait of one more request.
func (g guess) wait() time.Duration {
	places := g.load + 1 - g.limit
	if places <= 0 {
		return 0
	}
	return g.service * time.Duration(places) / time.Duration(g.limit)
}

// ratio returns the utilisation with one more request.
func (g guess) ratio() float64 { return float64(g.load+1) / float64(g.limit) }

// late returns by how much one more request would miss its deadline; zero or less if it would not.
func (g guess) late(remaining time.Duration) time.Duration {
	return g.wait() + g.service - remaining
}
