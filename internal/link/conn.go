package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// keptBufferSize is the largest write buffer in bytes that a link keeps for reuse.
const keptBufferSize = 256 << 10

// link is one connection and implements Peer. Fields without a comment on their
// use belong to the event loop of conn.
type link struct {
	node    *Node
	dialled bool
	addr    string // remote address for logs
	conn    gnet.Conn
	ended   chan struct{} // closed when the connection has ended

	upgraded bool
	need     int // inbound bytes to wait for before parsing again
	hello    *message.Hello
	welcome  *message.Welcome
	identity message.Identity // constant once up is true
	cause    error            // why this side closes the link

	up     atomic.Bool  // the handshake is done
	closed atomic.Bool  // no more output is accepted
	age    atomic.Int32 // keepalive ticks since the connection was opened
	silent atomic.Int32 // keepalive ticks since the last inbound byte

	mu        sync.Mutex
	pending   []byte // framed output that the event loop has not taken; guarded by mu
	spare     []byte // buffer for the next pending; guarded by mu
	scheduled bool   // a flush is on its way to the event loop; guarded by mu
	buffered  atomic.Int64
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
	return len(l.pending) + int(l.buffered.Load())
}

// Send implements Peer.
func (l *link) Send(m message.Message) error {
	if !l.up.Load() {
		return ErrClosed
	}
	return l.enqueue(m)
}

// Close implements Peer.
func (l *link) Close() { l.closeWith(ErrClosed) }

// enqueue frames m and has the event loop write it.
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
	queued := len(l.pending) + int(l.buffered.Load())
	if queued > 0 && queued+len(payload) > l.node.cfg.QueueLimit {
		l.scheduleFlush() // learns what the socket has taken since
		return ErrFull
	}
	l.pending = appendFrame(l.pending, op, payload, l.dialled)
	l.scheduleFlush()
	return nil
}

// scheduleFlush has the event loop call flush once; l.mu is held. Frames that are
// queued before it runs leave in the same write.
func (l *link) scheduleFlush() {
	if l.scheduled {
		return
	}
	l.scheduled = l.execute(l.flush) == nil
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
	l.scheduled = false
	l.buffered.Add(int64(len(out)))
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
	l.buffered.Store(int64(l.conn.OutboundBuffered()))
	if cap(out) <= keptBufferSize {
		l.mu.Lock()
		l.spare = out[:0]
		l.mu.Unlock()
	}
}

// connClosed tells on the event loop whether the connection has ended.
func (l *link) connClosed() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// closeWith sends what is queued and ends the link; it may be called anywhere.
func (l *link) closeWith(cause error) {
	if l.closed.Swap(true) {
		return
	}
	_ = l.execute(func() {
		if l.connClosed() {
			return
		}
		l.cause = cause
		l.flush()
		if !l.connClosed() {
			_ = l.conn.EventLoop().Close(l.conn)
		}
	})
}
