package entry

import (
	"sync"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// streamWindow is the number of body bytes that a peer may send before it gets
// more credit; it bounds what a slow caller makes the entry hold.
const streamWindow = 256 << 10

// callKey names one request on one link.
type callKey struct {
	peer uint64
	id   uint64
}

// call is one attempt to run a request at an agent or through a peer entry. The
// link's event loop puts messages in; one traffic goroutine takes them out.
type call struct {
	key  callKey
	peer link.Peer

	mu     sync.Mutex
	queue  []message.Message
	held   int
	broken *apierr.Error
	wake   chan struct{}
}

// push adds a message from the link. A peer that sends more than its window
// breaks the call.
func (c *call) push(m message.Message) {
	c.mu.Lock()
	c.hold(m)
	c.mu.Unlock()
	c.signal()
}

// hold queues m unless the call is broken; c.mu is held.
func (c *call) hold(m message.Message) {
	if c.broken != nil {
		return
	}
	if d, ok := m.(*message.ResponseData); ok {
		c.held += len(d.Data)
	}
	if c.held > streamWindow {
		c.broken = apierr.New(apierr.KindTruncated, "the peer exceeded its window")
		return
	}
	c.queue = append(c.queue, m)
}

// fail ends the call after the messages already queued.
func (c *call) fail(e *apierr.Error) {
	c.mu.Lock()
	if c.broken == nil {
		c.broken = e
	}
	c.mu.Unlock()
	c.signal()
}

func (c *call) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// poll returns the next message, or the failure once the queue is empty.
func (c *call) poll() (message.Message, *apierr.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return nil, c.broken
	}
	m := c.queue[0]
	c.queue[0] = nil
	c.queue = c.queue[1:]
	if d, ok := m.(*message.ResponseData); ok {
		c.held -= len(d.Data)
	}
	return m, nil
}

// next waits for the next message until timer fires; then it returns nil, nil.
func (c *call) next(timer <-chan time.Time) (message.Message, *apierr.Error) {
	for {
		if m, err := c.poll(); m != nil || err != nil {
			return m, err
		}
		select {
		case <-c.wake:
		case <-timer:
			return nil, nil
		}
	}
}

// grant lets the peer send n more body bytes.
func (c *call) grant(n int) {
	if n > 0 {
		_ = c.peer.Send(&message.Credit{ID: c.key.id, Bytes: n})
	}
}

// callTable finds the call of an incoming message.
type callTable struct {
	mu     sync.Mutex
	nextID uint64
	calls  map[callKey]*call
}

func newCallTable() *callTable { return &callTable{calls: make(map[callKey]*call)} }

// open registers a new call on p.
func (t *callTable) open(p link.Peer) *call {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	c := &call{
		key:  callKey{peer: p.Identity().Incarnation, id: t.nextID},
		peer: p,
		wake: make(chan struct{}, 1),
	}
	t.calls[c.key] = c
	return c
}

// close forgets c; later messages for it are dropped.
func (t *callTable) close(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, c.key)
}

// deliver hands m to the call with the given id on p.
func (t *callTable) deliver(p link.Peer, id uint64, m message.Message) {
	t.mu.Lock()
	c := t.calls[callKey{peer: p.Identity().Incarnation, id: id}]
	t.mu.Unlock()
	if c != nil && c.peer == p {
		c.push(m)
	}
}

// lost fails every call on p.
func (t *callTable) lost(p link.Peer, e *apierr.Error) {
	t.mu.Lock()
	var failed []*call
	for _, c := range t.calls {
		if c.peer == p {
			failed = append(failed, c)
		}
	}
	t.mu.Unlock()
	for _, c := range failed {
		c.fail(e)
	}
}

// size returns the number of open calls.
func (t *callTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}
