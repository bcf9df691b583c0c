package gateway

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// sendTimeout is how long the end of a response waits for a caller that takes none of its bytes.
const sendTimeout = 15 * time.Second

// sendProgress tells a caller that reads slowly from one that does not read. The time for the whole response is not
// bounded: a stop ends without it, and its memory counts in the callers' budget.
type sendProgress struct {
	// mu is needed since ticks do not run on the event loop.
	mu sync.Mutex
	// left is the number of bytes that the caller had not taken at since, when it last took some.
	left  int
	since time.Time
}

// stalled records the number of bytes left and reports whether the caller has taken none for sendTimeout.
func (p *sendProgress) stalled(left int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.since.IsZero() || left < p.left {
		p.left, p.since = left, now
	}
	return now.Sub(p.since) > sendTimeout
}

// untaken returns the number of bytes that the caller's system has not confirmed. Those that the system holds count
// too: it takes no more of them from the event loop until a third of its buffer is free. It runs on the event loop.
func (cc *callerConn) untaken() int { return cc.conn.OutboundBuffered() + cc.unacknowledged() }

// unacknowledged returns the same number without the bytes that the system does not hold. It is called on the event
// loop or while server.mu is held, so that the descriptor is not closed meanwhile.
func (cc *callerConn) unacknowledged() int {
	n, err := unix.IoctlGetInt(cc.conn.Fd(), unix.TIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}
