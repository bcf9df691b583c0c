package agent

import (
	"context"
	"sync"
)

// window counts the body bytes that the receiver still accepts.
type window struct {
	mu    sync.Mutex
	bytes int
	more  chan struct{}
}

func newWindow(bytes int) *window {
	return &window{bytes: bytes, more: make(chan struct{}, 1)}
}

// add grants n more bytes.
func (w *window) add(n int) {
	w.mu.Lock()
	w.bytes += n
	w.mu.Unlock()
	select {
	case w.more <- struct{}{}:
	default:
	}
}

// take waits until at least one byte is allowed and returns at most want bytes.
func (w *window) take(ctx context.Context, want int) (int, error) {
	for {
		w.mu.Lock()
		n := min(want, w.bytes)
		if n > 0 {
			w.bytes -= n
		}
		w.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		select {
		case <-w.more:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}
