package callers

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Balancer simulates the platform's load balancer: it distributes requests over the
// entries that are in service, in turn.
type Balancer struct {
	mu      sync.Mutex
	entries []string
	next    int
}

// NewBalancer returns a Balancer for the given entry addresses.
func NewBalancer(entries ...string) *Balancer { return &Balancer{entries: entries} }

// Set replaces the addresses of the entries in service.
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

// ResultLog collects results; it is safe for concurrent use.
type ResultLog struct {
	mu      sync.Mutex
	results []Result
}

// Add appends a result.
func (l *ResultLog) Add(r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// Results returns the results of requests that were sent in [from, to). A zero time
// leaves its side unbounded.
func (l *ResultLog) Results(from, to time.Time) []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	var selected []Result
	for _, r := range l.results {
		if r.SentAt.Before(from) || (!to.IsZero() && !r.SentAt.Before(to)) {
			continue
		}
		selected = append(selected, r)
	}
	return selected
}

// Generator sends requests built from a template, each with a unique mark.
type Generator struct {
	// Name is the prefix of every mark.
	Name string
	// Template is the request to send; its Mark is ignored.
	Template Request
	// UseIdempotencyKeys gives each request a unique idempotency key.
	UseIdempotencyKeys bool
	// Repeats is the maximum number of times that a request without a complete answer
	// is resent, with the same mark and key.
	Repeats int
	// Copies is the number of copies of each attempt that are sent at the same time,
	// to entries in turn; zero means one.
	Copies int
	// Workers is the number of workers; each sends one request at a time.
	Workers int
	// Interval is the time from the start of one request of a worker to the start of
	// its next.
	Interval time.Duration
	// Balancer selects the entry of each request.
	Balancer *Balancer
	// Caller sends the requests.
	Caller *Caller
	// Results is the log of the results.
	Results *ResultLog

	sequence atomic.Uint64
}

// Run sends requests until ctx ends, then waits for the outstanding answers.
func (g *Generator) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range g.Workers {
		wg.Go(func() { g.runWorker(ctx) })
	}
	wg.Wait()
}

func (g *Generator) runWorker(ctx context.Context) {
	ticker := time.NewTicker(max(g.Interval, time.Microsecond))
	defer ticker.Stop()
	for ctx.Err() == nil {
		g.sendUntilComplete()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// sendUntilComplete sends a new request and, like a caller that retries, resends it
// until an answer is complete or Repeats is used up. It stores the result of every
// attempt.
func (g *Generator) sendUntilComplete() {
	r := g.Template
	r.Mark = fmt.Sprintf("%s-%d", g.Name, g.sequence.Add(1))
	if g.UseIdempotencyKeys {
		r.IdempotencyKey = "key-" + r.Mark
	}
	for range 1 + g.Repeats {
		if g.sendCopies(r) {
			return
		}
	}
}

// sendCopies sends all copies of an attempt and reports whether one of them received a
// complete answer.
func (g *Generator) sendCopies(r Request) bool {
	var complete atomic.Bool
	var wg sync.WaitGroup
	for range max(g.Copies, 1) {
		wg.Go(func() {
			res := g.Caller.DoVia(context.Background(), g.Balancer, r)
			g.Results.Add(res)
			if res.Verdict == Complete {
				complete.Store(true)
			}
		})
	}
	wg.Wait()
	return complete.Load()
}
