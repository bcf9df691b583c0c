package observe

import (
	"bytes"
	"strings"
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

// heldBuffer is a buffer whose first write waits until it is released.
type heldBuffer struct {
	lockedBuffer
	release chan struct{}
}

func (w *heldBuffer) Write(p []byte) (int, error) {
	<-w.release
	return w.lockedBuffer.Write(p)
}

// TestBoundedLoggerCloseWritesQueuedLines guards against the loss of a process's last lines, when more
// than one batch is queued at its end.
func TestBoundedLoggerCloseWritesQueuedLines(t *testing.T) {
	const lines = maxLinesPerSecond / 2
	w := heldBuffer{release: make(chan struct{})}
	l := NewBoundedLogger(&w, "info", "p", "i")
	for range lines {
		l.Info().Str("event", "x").Str("detail", strings.Repeat("x", 20*batchBytes/lines)).Msg("")
	}
	time.AfterFunc(100*time.Millisecond, func() { close(w.release) }) // during Close
	assert.NilError(t, l.Close())
	assert.Equal(t, bytes.Count(w.b.Bytes(), []byte("\n")), lines)
	assert.NilError(t, l.Close()) // a second Close has no effect
}

// TestBoundedLoggerCloseDoesNotWaitForever guards against a process that never ends because nobody reads its log.
func TestBoundedLoggerCloseDoesNotWaitForever(t *testing.T) {
	w := stuckWriter{release: make(chan struct{})}
	defer close(w.release)
	l := NewBoundedLogger(w, "info", "p", "i")
	l.Info().Str("event", "x").Msg("")
	closed := make(chan error, 1)
	go func() { closed <- l.Close() }()
	select {
	case err := <-closed:
		assert.NilError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("Close waits for a reader that does not read")
	}
}
