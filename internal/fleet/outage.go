package fleet

import (
	"context"
	"sync"
	"time"
)

const (
	// outageSpacing is the least time between two calls of a process to a store that
	// fails, over all topics: every call has its price, also one that is refused.
	outageSpacing = 800 * time.Millisecond
	// outageCheck is the period in which topics look whether it is their turn.
	outageCheck = 50 * time.Millisecond
)

// outage spaces the calls of a process's topics while the store fails. The first call
// that works ends the wait of all.
type outage struct {
	mu      sync.Mutex
	tried   time.Time
	success time.Time
}

// worked notes a call that the store has answered.
func (o *outage) worked(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.success = now
}

// wait returns when a topic whose call has failed should try again: once pause has
// passed and no other topic has just tried, or once the store answers another topic.
func (o *outage) wait(ctx context.Context, pause time.Duration) {
	failed := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, outageCheck)
		if now := time.Now(); o.turn(now, failed, now.Sub(failed) >= pause) {
			return
		}
	}
}

func (o *outage) turn(now, failed time.Time, rested bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.success.After(failed) {
		return true
	}
	if !rested || now.Sub(o.tried) < outageSpacing {
		return false
	}
	o.tried = now
	return true
}
