package observe

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// maxLinesPerSecond bounds the log volume of a process.
	maxLinesPerSecond = 400
	// queuedLines is the largest number of lines that wait for a slow reader of the log.
	queuedLines = 2048
	// closeTimeout bounds how long Close waits for the reader of the log: a process must end
	// although nobody reads its log.
	closeTimeout = time.Second
)

// BoundedLogger is a logger that never blocks: lines above its rate limit, and lines for
// which the queue has no room because the reader is slow, are dropped and counted.
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

// Close writes the queued lines and stops the logger. It gives up the lines that the reader of
// the log has not taken after closeTimeout.
func (l *BoundedLogger) Close() error {
	l.writer.stopOnce.Do(func() { close(l.writer.stopped) })
	select {
	case <-l.writer.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

// boundedWriter passes lines through a queue to a goroutine that writes them.
type boundedWriter struct {
	out      io.Writer
	lines    chan []byte
	stopOnce sync.Once
	stopped  chan struct{}
	done     chan struct{}
	dropped  atomic.Int64
	// currentSecond is a Unix time in seconds; writtenInSecond counts the lines of that
	// second.
	currentSecond   atomic.Int64
	writtenInSecond atomic.Int64
}

// Write implements io.Writer for one line; it never blocks and never fails.
func (b *boundedWriter) Write(line []byte) (int, error) {
	if now := time.Now().Unix(); b.currentSecond.Swap(now) != now {
		b.writtenInSecond.Store(0)
	}
	if b.writtenInSecond.Add(1) > maxLinesPerSecond {
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

// batchBytes is the size in bytes at which a batch takes no further lines.
const batchBytes = 16 << 10

func (b *boundedWriter) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.flush(line)
		case <-b.stopped:
			for len(b.lines) > 0 {
				b.flush(nil)
			}
			return
		}
	}
}

// flush writes batch and the lines queued behind it, up to about batchBytes.
func (b *boundedWriter) flush(batch []byte) {
	for len(b.lines) > 0 && len(batch) < batchBytes {
		batch = append(batch, <-b.lines...)
	}
	_, _ = b.out.Write(batch) // there is nowhere to report a failed write of the log
}
