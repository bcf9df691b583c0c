package fleet

import (
	"context"
	"sync"
	"time"
)

const (
	// outageSpacing is the least time between two calls of a process to a failing store,
	// over all topics: every call costs the store something, even if it is refused.
	outageSpacing = 800 * time.Millisecond
	// outagePollInterval is the interval at which a topic checks whether it may try again.
	outagePollInterval = 50 * time.Millisecond
)

// outageBackoff spaces the calls of a process's topics while the store fails. The first
// successful call ends the wait of all topics.
type outageBackoff struct {
	mu          sync.Mutex
	lastTry     time.Time
	lastSuccess time.Time
	lastFailure time.Time
}

// failing reports whether the last call to the store failed. A closed watch counts as failed.
func (o *outageBackoff) failing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastFailure.After(o.lastSuccess)
}

// recordSuccess records that a call to the store succeeded.
func (o *outageBackoff) recordSuccess(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastSuccess = now
}

func (o *outageBackoff) recordFailure(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastFailure = now
}

// wait blocks until a topic whose call has failed should try again: once pause has passed
// and no other topic has just tried, or once a call of another topic has succeeded since
// the failed one began.
func (o *outageBackoff) wait(ctx context.Context, began time.Time, pause time.Duration) {
	failed := time.Now()
	o.recordFailure(failed)
	for ctx.Err() == nil {
		sleep(ctx, outagePollInterval)
		if now := time.Now(); o.mayTry(now, began, now.Sub(failed) >= pause) {
			return
		}
	}
}

func (o *outageBackoff) mayTry(now, began time.Time, pauseOver bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lastSuccess.After(began) {
		return true
	}
	if !pauseOver || now.Sub(o.lastTry) < outageSpacing {
		return false
	}
	o.lastTry = now
	return true
}
