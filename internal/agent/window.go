package agent

import (
	"context"
	"sync"
)

// window is a flow-control window: the number of body bytes that the receiver accepts.
type window struct {
	mu        sync.Mutex
	available int
	extended  chan struct{}
}

func newWindow(bytes int) *window {
	return &window{available: bytes, extended: make(chan struct{}, 1)}
}

// add grants n more bytes.
func (w *window) add(n int) {
	w.mu.Lock()
	w.available += n
	w.mu.Unlock()
	select {
	case w.extended <- struct{}{}:
	default:
	}
}

// take waits until the window is not empty, takes at most limit bytes from it and returns
// their number.
func (w *window) take(ctx context.Context, limit int) (int, error) {
	for {
		w.mu.Lock()
		n := min(limit, w.available)
		if n > 0 {
			w.available -= n
		}
		w.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		select {
		case <-w.extended:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}
