package callers

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Balancer stands for the platform's balancer: it spreads requests over the
// entries that are in service.
type Balancer struct {
	mu      sync.Mutex
	entries []string
	next    int
}

// NewBalancer returns a Balancer over the addresses of entries.
func NewBalancer(entries ...string) *Balancer { return &Balancer{entries: entries} }

// Set replaces the entries in service.
func (b *Balancer) Set(entries ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = entries
}

// order returns the entries in the order in which the next request tries them.
func (b *Balancer) order() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.entries) == 0 {
		return nil
	}
	b.next = (b.next + 1) % len(b.entries)
	return slices.Concat(b.entries[b.next:], b.entries[:b.next])
}

// Ledger collects results; it is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	results []Result
}

// Add appends a result.
func (l *Ledger) Add(r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// Results returns the results of requests that were sent in [from, to); zero
// times leave that side open.
func (l *Ledger) Results(from, to time.Time) []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	var part []Result
	for _, r := range l.results {
		if r.Sent.Before(from) || (!to.IsZero() && !r.Sent.Before(to)) {
			continue
		}
		part = append(part, r)
	}
	return part
}

// Generator sends requests made after a template, each with a mark of its own.
type Generator struct {
	// Name begins every mark.
	Name string
	// Template is the request; its Mark is ignored.
	Template Request
	// Keyed gives each request an idempotency key of its own.
	Keyed bool
	// Repeats is how often a request without a complete answer is sent again at most,
	// with the same mark and key.
	Repeats int
	// Copies is how often each attempt is sent at the same time, through entries in
	// turn; zero means once.
	Copies int
	// Workers is the number of requests in flight at most.
	Workers int
	// Interval is the time between two requests of one worker, start to start.
	Interval time.Duration
	// Balancer picks the entry, Caller sends and Ledger keeps the results.
	Balancer *Balancer
	Caller   *Caller
	Ledger   *Ledger

	sequence atomic.Uint64
}

// Run sends requests until ctx ends, then waits for the answers in flight.
func (g *Generator) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range g.Workers {
		wg.Go(func() { g.work(ctx) })
	}
	wg.Wait()
}

func (g *Generator) work(ctx context.Context) {
	ticker := time.NewTicker(max(g.Interval, time.Microsecond))
	defer ticker.Stop()
	for ctx.Err() == nil {
		g.exchange()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// exchange sends a new request, and again as a caller does that got no whole
// answer. Every attempt goes into the ledger.
func (g *Generator) exchange() {
	r := g.Template
	r.Mark = fmt.Sprintf("%s-%d", g.Name, g.sequence.Add(1))
	if g.Keyed {
		r.IdempotencyKey = "key-" + r.Mark
	}
	for range 1 + g.Repeats {
		if g.attempt(r) {
			return
		}
	}
}

// attempt sends all copies and reports whether one of them got the whole answer.
func (g *Generator) attempt(r Request) bool {
	var complete atomic.Bool
	var wg sync.WaitGroup
	for range max(g.Copies, 1) {
		wg.Go(func() {
			res := g.Caller.DoVia(context.Background(), g.Balancer, r)
			g.Ledger.Add(res)
			if res.Verdict == Complete {
				complete.Store(true)
			}
		})
	}
	wg.Wait()
	return complete.Load()
}
