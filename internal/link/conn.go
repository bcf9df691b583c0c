package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// maxSpareBuffer is the capacity of the largest write buffer that a link keeps for reuse,
// in bytes.
const maxSpareBuffer = 256 << 10

// link is one connection and implements Peer. Fields that are neither atomic, constant nor
// guarded by mu are used only on the event loop of conn.
type link struct {
	node    *Node
	dialled bool
	addr    string // remote address for logs
	conn    gnet.Conn
	ended   chan struct{} // closed when the connection has ended

	upgraded    bool
	bytesNeeded int // inbound bytes to wait for before parsing again
	hello       *message.Hello
	welcome     *message.Welcome
	identity    message.Identity // constant once authenticated is true
	closeCause  error            // why this side closes the link
	outputEnded bool             // the peer reads the end of this side's output

	authenticated atomic.Bool  // the handshake is complete
	closed        atomic.Bool  // no more output is accepted
	openTicks     atomic.Int32 // keepalive ticks since the connection was opened
	silentTicks   atomic.Int32 // keepalive ticks since the last inbound byte
	quietTicks    atomic.Int32 // keepalive ticks since the last frame was queued

	mu             sync.Mutex
	pending        []byte       // framed output that the event loop has not taken; guarded by mu
	spare          []byte       // buffer for the next pending; guarded by mu
	flushScheduled bool         // a flush is queued on the event loop; guarded by mu
	connBuffered   atomic.Int64 // output bytes passed to conn that the socket has not accepted
}

func newLink(n *Node, dialled bool, addr net.Addr) *link {
	return &link{node: n, dialled: dialled, addr: addr.String(), ended: make(chan struct{})}
}

// Identity implements Peer.
func (l *link) Identity() message.Identity { return l.identity }

// Dialled implements Peer.
func (l *link) Dialled() bool { return l.dialled }

// Queued implements Peer.
func (l *link) Queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) + int(l.connBuffered.Load())
}

// Send implements Peer.
func (l *link) Send(m message.Message) error {
	if !l.authenticated.Load() {
		return ErrClosed
	}
	return l.enqueue(m)
}

// Close implements Peer.
func (l *link) Close() { l.closeWith(ErrClosed) }

// enqueue encodes m and queues it for the event loop to write.
func (l *link) enqueue(m message.Message) error {
	frame, err := message.Encode(m)
	if err != nil {
		return err
	}
	if len(frame) > message.MaxFrameSize {
		return ErrTooLarge
	}
	return l.enqueueFrame(ws.OpBinary, frame)
}

func (l *link) enqueueFrame(op ws.OpCode, payload []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed.Load() {
		return ErrClosed
	}
	queued := len(l.pending) + int(l.connBuffered.Load())
	if queued > 0 && queued+len(payload) > l.node.cfg.QueueLimit {
		l.scheduleFlush() // updates connBuffered, which the socket may have drained
		return ErrQueueFull
	}
	l.pending = appendFrame(l.pending, op, payload, l.dialled)
	l.quietTicks.Store(0)
	l.scheduleFlush()
	return nil
}

// scheduleFlush makes the event loop call flush once; l.mu must be held. Frames that are
// queued before flush runs are sent in the same write.
func (l *link) scheduleFlush() {
	if l.flushScheduled {
		return
	}
	l.flushScheduled = l.execute(l.flush) == nil
}

// execute runs f on the link's event loop.
func (l *link) execute(f func()) error {
	return l.conn.EventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
}

// flush writes pending output; it runs on the event loop.
func (l *link) flush() {
	l.mu.Lock()
	out := l.pending
	l.pending, l.spare = l.spare[:0], nil
	l.flushScheduled = false
	l.connBuffered.Add(int64(len(out)))
	l.mu.Unlock()
	if l.connClosed() {
		return
	}
	if len(out) > 0 {
		if _, err := l.conn.Write(out); err != nil {
			return // the event loop has closed the connection
		}
		l.node.stats.bytesOut.Add(uint64(len(out)))
	}
	l.connBuffered.Store(int64(l.conn.OutboundBuffered()))
	if cap(out) <= maxSpareBuffer {
		l.mu.Lock()
		l.spare = out[:0]
		l.mu.Unlock()
	}
}

// connClosed reports whether the connection has ended. The answer lasts only on the event loop.
func (l *link) connClosed() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// isOpen reports whether the link is authenticated and its connection has not ended.
func (l *link) isOpen() bool { return l.authenticated.Load() && !l.connClosed() }

// finishOutput ends the output of a link that accepts no more, once the socket has accepted
// all of it. The peer closes the connection at the end of its input.
func (l *link) finishOutput() {
	if !l.isOpen() {
		return
	}
	_ = l.execute(func() {
		if l.connClosed() || l.outputEnded {
			return
		}
		l.flush()
		if l.connClosed() || l.conn.OutboundBuffered() > 0 {
			return
		}
		l.outputEnded = unix.Shutdown(l.conn.Fd(), unix.SHUT_WR) == nil
	})
}

// closeWith sends the queued output and closes the link; it may be called on any goroutine.
func (l *link) closeWith(cause error) {
	if l.closed.Swap(true) {
		return
	}
	_ = l.execute(func() {
		if l.connClosed() {
			return
		}
		l.closeCause = cause
		l.flush()
		if !l.connClosed() {
			_ = l.conn.EventLoop().Close(l.conn)
		}
	})
}
