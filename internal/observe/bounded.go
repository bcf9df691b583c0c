package observe

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// maxLinesPerSecond bounds a process's log volume.
	maxLinesPerSecond = 400
	// queuedLines is the number of lines that wait for a slow reader of the log.
	queuedLines = 2048
)

// BoundedLogger is a logger that never blocks: lines above its rate, and those that
// its reader is too slow for, are dropped and counted.
type BoundedLogger struct {
	*log.Logger
	writer *boundedWriter
}

// NewBoundedLogger returns a logger of key=value lines that writes to w in the
// background.
func NewBoundedLogger(w io.Writer, level, program, instance string) *BoundedLogger {
	b := &boundedWriter{lines: make(chan []byte, queuedLines), stopped: make(chan struct{}), done: make(chan struct{}), out: w}
	go b.run()
	return &BoundedLogger{Logger: NewLogger(b, level, program, instance), writer: b}
}

// Dropped returns the number of lines that were not written.
func (l *BoundedLogger) Dropped() int64 { return l.writer.dropped.Load() }

// Close writes what is queued.
func (l *BoundedLogger) Close() error {
	l.writer.stop.Do(func() { close(l.writer.stopped) })
	<-l.writer.done
	return nil
}

// boundedWriter hands lines to a goroutine that writes them.
type boundedWriter struct {
	out     io.Writer
	lines   chan []byte
	stop    sync.Once
	stopped chan struct{}
	done    chan struct{}
	dropped atomic.Int64
	// second and written count the lines of the present second.
	second  atomic.Int64
	written atomic.Int64
}

// Write implements io.Writer for one line; it never blocks and never fails.
func (b *boundedWriter) Write(line []byte) (int, error) {
	if now := time.Now().Unix(); b.second.Swap(now) != now {
		b.written.Store(0)
	}
	if b.written.Add(1) > maxLinesPerSecond {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// batchBytes is the size from which waiting lines are written together, in bytes.
const batchBytes = 16 << 10

func (b *boundedWriter) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.flush(line)
		case <-b.stopped:
			b.flush(nil)
			return
		}
	}
}

// flush writes a line and those that wait behind it.
func (b *boundedWriter) flush(batch []byte) {
	for len(b.lines) > 0 && len(batch) < batchBytes {
		batch = append(batch, <-b.lines...)
	}
	_, _ = b.out.Write(batch) // nowhere to report a log that can't be written
}
