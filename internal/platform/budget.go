package platform

import (
	"context"
	"sync"
	"time"
)

// bucket is a token bucket that bounds the calls of one process.
type bucket struct {
	mu     sync.Mutex
	rate   float64 // tokens per second
	burst  float64
	tokens float64
	last   time.Time
}

func newBucket(rate float64, burst int) *bucket {
	return &bucket{rate: rate, burst: float64(burst), tokens: float64(burst), last: time.Now()}
}

// reserve takes one token and returns how long to wait until it is there.
func (b *bucket) reserve(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

// giveBack returns a token that was not used.
func (b *bucket) giveBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
}

// take waits for a token. It returns ErrUnavailable if ctx ends first.
func (b *bucket) take(ctx context.Context) error {
	wait := b.reserve(time.Now())
	if wait == 0 {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		b.giveBack()
		return ErrUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		b.giveBack()
		return ErrUnavailable
	}
}
