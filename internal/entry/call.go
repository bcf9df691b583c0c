package entry

import (
	"sync"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// streamWindow is the number of body bytes that a peer may send before it receives
// more credit; it bounds the bytes that the entry buffers for a slow caller.
const streamWindow = 256 << 10

// callKey identifies a request by the incarnation of the peer that it was sent to or
// received from, and by its id.
type callKey struct {
	peer uint64
	id   uint64
}

// call is one attempt to run a request at an agent or through a peer entry. The
// link's event loop queues messages; one traffic goroutine takes them from the queue.
type call struct {
	key  callKey
	peer link.Peer
	// deadline is when the answer is due.
	deadline time.Time

	mu          sync.Mutex
	queue       []message.Message
	queuedBytes int
	failure     *apierr.Error
	wake        chan struct{}
}

// push adds a message from the link. The call fails if the peer sends more body
// bytes than its window allows.
func (c *call) push(m message.Message) {
	c.mu.Lock()
	c.enqueue(m)
	c.mu.Unlock()
	c.signal()
}

// enqueue queues m unless the call has failed; the caller holds c.mu.
func (c *call) enqueue(m message.Message) {
	if c.failure != nil {
		return
	}
	if d, ok := m.(*message.ResponseData); ok {
		c.queuedBytes += len(d.Data)
	}
	if c.queuedBytes > streamWindow {
		c.failure = apierr.New(apierr.KindTruncated, "the peer exceeded its window")
		return
	}
	c.queue = append(c.queue, m)
}

// fail ends the call with e once the messages already queued have been read.
func (c *call) fail(e *apierr.Error) {
	c.mu.Lock()
	if c.failure == nil {
		c.failure = e
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
		return nil, c.failure
	}
	m := c.queue[0]
	c.queue[0] = nil
	c.queue = c.queue[1:]
	if d, ok := m.(*message.ResponseData); ok {
		c.queuedBytes -= len(d.Data)
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
		c.send(&message.Credit{ID: c.key.id, Bytes: n})
	}
}

// send sends m to the peer; while the link's queue is full, until the deadline.
func (c *call) send(m message.Message) { link.SendSoon(c.peer, m, time.Until(c.deadline)) }

// callTable finds the call that an incoming message belongs to.
type callTable struct {
	mu     sync.Mutex
	nextID uint64
	calls  map[callKey]*call
}

func newCallTable() *callTable { return &callTable{calls: make(map[callKey]*call)} }

// open registers a new call on p, whose answer is due at the deadline.
func (t *callTable) open(p link.Peer, deadline time.Time) *call {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	c := &call{
		key:      callKey{peer: p.Identity().Incarnation, id: t.nextID},
		peer:     p,
		deadline: deadline,
		wake:     make(chan struct{}, 1),
	}
	t.calls[c.key] = c
	return c
}

// close removes c; later messages for it are dropped.
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

// failAll fails every call on p with e.
func (t *callTable) failAll(p link.Peer, e *apierr.Error) {
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
