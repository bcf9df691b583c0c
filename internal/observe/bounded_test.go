package observe

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stuckWriter blocks until it is released.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// A log reader that has stopped reading must not block the process; lines that do not fit
// in the queue are dropped and counted.
func TestBoundedLoggerNeverBlocks(t *testing.T) {
	w := stuckWriter{release: make(chan struct{})}
	l := NewBoundedLogger(w, "info", "p", "i")
	start := time.Now()
	for range 3 * queuedLines {
		l.Info().Str("event", "x").Msg("")
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	assert.Assert(t, l.Dropped() > 0)
	close(w.release)
	assert.NilError(t, l.Close())
}

// lockedBuffer is a buffer that the logger's goroutine and the test share.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (w *lockedBuffer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

func TestBoundedLoggerCloseWritesQueuedLines(t *testing.T) {
	var w lockedBuffer
	l := NewBoundedLogger(&w, "info", "p", "i")
	for range 100 {
		l.Info().Str("event", "x").Msg("")
	}
	assert.NilError(t, l.Close())
	assert.Equal(t, bytes.Count(w.b.Bytes(), []byte("\n")), 100)
	assert.NilError(t, l.Close()) // a second Close has no effect
}
