package fleet

import (
	"context"
	"sync"
)

// eraTracker keeps the highest era of the store that its answers have had.
type eraTracker struct {
	parent context.Context

	mu     sync.Mutex
	era    int64
	scope  context.Context
	cancel context.CancelFunc
}

func newEraTracker(ctx context.Context) *eraTracker {
	t := &eraTracker{parent: ctx}
	t.scope, t.cancel = context.WithCancel(ctx)
	return t
}

// observe records the era of an answer. A higher era than before ends the scope of the one
// before.
func (t *eraTracker) observe(era int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.era {
		return
	}
	t.cancel()
	t.era = era
	t.scope, t.cancel = context.WithCancel(t.parent)
}

// current returns the highest era and a context that ends with it.
func (t *eraTracker) current() (int64, context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era, t.scope
}
