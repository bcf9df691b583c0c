package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// sentRequest is the result of a request for the judgement.
type sentRequest struct {
	at     time.Time
	served bool
}

// traffic sends requests to the gateways.
type traffic struct {
	stop    chan struct{}
	clients sync.WaitGroup

	mu      sync.Mutex
	results []sentRequest
}

func newTraffic(w *world, gateways []*process, rate int, next func() request) *traffic {
	t := &traffic{stop: make(chan struct{})}
	t.clients.Go(func() {
		for {
			select {
			case <-t.stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / float64(rate))):
			}
			q := next()
			front := gateways[rand.IntN(len(gateways))].front()
			t.clients.Go(func() {
				a := send(front, q)
				w.logf("client %s %s %s: %s after %d ms", q.method, q.path, q.id, a.result(), a.took().Milliseconds())
				t.mu.Lock()
				defer t.mu.Unlock()
				t.results = append(t.results, sentRequest{at: a.sent, served: a.status == 200 && a.err == nil})
			})
		}
	})
	return t
}

func (t *traffic) end() []sentRequest {
	close(t.stop)
	t.clients.Wait()
	return t.results
}

// judgeRecover applies RECOVER: of the requests sent later than recoveryS after the machines are back,
// less than a quarter is served, though a quarter or more was before the final fault.
func judgeRecover(w *world, results []sentRequest, first, recovered time.Time) bool {
	var before, beforeServed, after, afterServed int
	for _, r := range results {
		switch {
		case r.at.Before(first):
			before++
			if r.served {
				beforeServed++
			}
		case r.at.After(recovered):
			after++
			if r.served {
				afterServed++
			}
		}
	}
	w.logf("before the first disruption: %d of %d requests served; later than recoveryS after it: %d of %d", beforeServed, before, afterServed, after)
	return 4*beforeServed >= before && 4*afterServed < after
}
