package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// requestTable contains the requests whose responses have not been sent yet.
type requestTable struct {
	mu       sync.Mutex
	requests map[*exchange]struct{}
}

func newRequestTable() *requestTable { return &requestTable{requests: make(map[*exchange]struct{})} }

func (t *requestTable) add(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[x] = struct{}{}
}

func (t *requestTable) remove(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, x)
}

// all returns the requests, the oldest first.
func (t *requestTable) all() []*exchange {
	t.mu.Lock()
	requests := slices.Collect(maps.Keys(t.requests))
	t.mu.Unlock()
	slices.SortFunc(requests, func(a, b *exchange) int { return a.arrived.Compare(b.arrived) })
	return requests
}

// progress is what other goroutines may read of a request that is being handled.
type progress struct {
	mu          sync.Mutex
	id, route   string
	target      string
	attempts    int
	lastEvent   int64
	lastEventAt time.Time
	// handled is true once the response is complete or broken off, and only its bytes are left to send.
	handled bool
}

// update changes the progress under its lock.
func (p *progress) update(change func(p *progress)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// logUnfinished writes a line for each request whose response has not been sent when the process ends.
func (g *Gateway) logUnfinished() {
	for _, x := range g.requests.all() {
		x.progress.update(func(p *progress) {
			line := g.opts.Logger.Warn().Str("event", "unfinished").Str("request", p.id).Str("route", p.route).
				Str("target", p.target).Int("attempts", p.attempts).Int64("age_ms", time.Since(x.arrived).Milliseconds()).
				Int64("stop_ms", g.timeSinceSignal().Milliseconds()).Bool("handled", p.handled).
				Bool("read_ahead", x.readAhead.Load())
			if !p.lastEventAt.IsZero() {
				line = line.Int64("last_event", p.lastEvent).Int64("last_event_ms_ago", time.Since(p.lastEventAt).Milliseconds())
			}
			line.Msg("")
		})
	}
}
