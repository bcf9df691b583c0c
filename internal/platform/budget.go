package platform

import (
	"context"
	"sync"
	"time"
)

// bucket is a token bucket that limits the rate of one process's calls.
type bucket struct {
	mu         sync.Mutex
	rate       float64 // tokens per second
	burst      float64
	tokens     float64
	lastRefill time.Time
}

func newBucket(rate float64, burst int) *bucket {
	return &bucket{rate: rate, burst: float64(burst), tokens: float64(burst), lastRefill: time.Now()}
}

// reserve takes one token and returns how long to wait until it is available; zero
// means at once.
func (b *bucket) reserve(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.lastRefill).Seconds()*b.rate)
	b.lastRefill = now
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

// refund puts back a reserved token that was not used.
func (b *bucket) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
}

// take waits for a token. It returns ErrUnavailable if ctx ends first or its deadline
// is before the token is available.
func (b *bucket) take(ctx context.Context) error {
	wait := b.reserve(time.Now())
	if wait == 0 {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		b.refund()
		return ErrUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		b.refund()
		return ErrUnavailable
	}
}
