package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// minFinalFrameTime is the least time in which the final frame of a forward has to be queued
// on the link; one that ends earlier than its deadline has the time until then.
const minFinalFrameTime = time.Second

// forward is a request that a peer entry of another availability zone has passed on to
// this entry.
type forward struct {
	key      callKey
	peer     link.Peer
	exchange *exchange

	mu        sync.Mutex
	call      *call
	cancelled bool
	// granted is the credit in bytes that arrived before the answer's head.
	granted int
}

// abandon withdraws the request if it has not started. With cancel set, it also ends
// the answer.
func (f *forward) abandon(cancel bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.exchange.aborted() {
		close(f.exchange.abort)
	}
	f.cancelled = f.cancelled || cancel
	if f.cancelled && f.call != nil {
		f.call.fail(apierr.New(apierr.KindCancelled, f.peer.Identity().Name))
	}
}

// attach sets the call whose answer is being relayed, and grants it the credit received
// so far.
func (f *forward) attach(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.call = c
	c.grant(f.granted)
	if f.cancelled {
		c.fail(apierr.New(apierr.KindCancelled, f.peer.Identity().Name))
	}
}

// grant passes the upstream entry's credit on to the call.
func (f *forward) grant(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.call == nil {
		f.granted += bytes
		return
	}
	f.call.grant(bytes)
}

// forwardTable finds the forward that an incoming message belongs to.
type forwardTable struct {
	mu       sync.Mutex
	forwards map[callKey]*forward
}

func newForwardTable() *forwardTable {
	return &forwardTable{forwards: make(map[callKey]*forward)}
}

func (t *forwardTable) add(f *forward) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.forwards[f.key] != nil {
		return false
	}
	t.forwards[f.key] = f
	return true
}

func (t *forwardTable) remove(f *forward) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.forwards, f.key)
}

func (t *forwardTable) get(p link.Peer, id uint64) *forward {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.forwards[callKey{peer: p.Identity().Incarnation, id: id}]
}

// cancelAll cancels every forward of a closed link.
func (t *forwardTable) cancelAll(p link.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.forwards {
		if f.peer == p {
			f.abandon(true)
		}
	}
}

// handleForwardMessage handles a peer entry's message about a request that it forwards.
func (e *Entry) handleForwardMessage(p link.Peer, m message.Message) {
	switch m := m.(type) {
	case *message.Request:
		e.startForward(p, m)
	case *message.Withdraw:
		e.withdrawForward(p, m.ID)
	case *message.Cancel:
		if f := e.forwards.get(p, m.ID); f != nil {
			f.abandon(true)
		}
	case *message.Credit:
		if f := e.forwards.get(p, m.ID); f != nil {
			f.grant(m.Bytes)
		}
	}
}

// withdrawForward withdraws a forward; its final frame reports whether it ran.
func (e *Entry) withdrawForward(p link.Peer, id uint64) {
	if f := e.forwards.get(p, id); f != nil {
		f.abandon(false)
	}
}

// startForward starts a goroutine for a forwarded request.
func (e *Entry) startForward(p link.Peer, req *message.Request) {
	now := time.Now()
	x := &exchange{arrived: now, deadline: now.Add(req.Timeout), req: *req, abort: make(chan struct{})}
	f := &forward{key: callKey{peer: p.Identity().Incarnation, id: req.ID}, peer: p, exchange: x}
	if e.forwards.add(f) {
		go e.runForward(f)
	}
}

// forwardFilters are the filters that a forwarded request passes before its dispatch.
var forwardFilters = []filter{checkHops, resolveForward, screen, admit}

// checkHops refuses a request that has been forwarded more than routing.MaxHops times.
func checkHops(_ *Entry, x *exchange) *apierr.Error {
	if x.req.Hops > routing.MaxHops {
		return apierr.New(apierr.KindNoTarget, "too many hops")
	}
	return nil
}

// resolveForward looks up the service and the organisation that the first entry has
// determined for the request.
func resolveForward(e *Entry, x *exchange) *apierr.Error {
	x.view = e.view.Load()
	if x.view.index == nil {
		return apierr.New(apierr.KindConfigUnavailable, e.opts.Identity.Name)
	}
	s, ok := x.view.index.Service(x.req.Service)
	if !ok {
		return apierr.New(apierr.KindNoTarget, x.req.Service)
	}
	o, ok := x.view.index.Organisation(x.req.Organisation)
	if !ok {
		return apierr.New(apierr.KindNoTarget, x.req.Organisation)
	}
	x.service, x.organisation = s, o
	return nil
}

// runForward dispatches a forwarded request and relays its answer.
func (e *Entry) runForward(f *forward) {
	defer e.forwards.remove(f)
	err := e.run(f.exchange, forwardFilters)
	if err != nil {
		e.sendForwardEnd(f, 0, err)
		e.finish(f.exchange, err)
		return
	}
	a, err := e.dispatch(f.exchange)
	if err != nil {
		e.sendForwardEnd(f, 0, err)
		e.finish(f.exchange, err)
		return
	}
	f.attach(a.call)
	e.relayForward(f, a)
	_ = a.Close()
}

// relayForward copies the frames of an answer to the upstream link.
func (e *Entry) relayForward(f *forward, a *answer) {
	ctx, cancel := context.WithDeadline(context.Background(), f.exchange.deadline)
	defer cancel()
	head := *a.head
	head.ID = f.key.id
	if err := sendFrame(ctx, f.peer, &head); err != nil {
		a.err = err
		return
	}
	if head.Complete {
		return
	}
	for a.err == nil && !a.complete {
		offset := a.received
		a.receive()
		if len(a.pending) == 0 {
			continue
		}
		data := &message.ResponseData{ID: f.key.id, Offset: offset, Data: a.pending}
		a.pending = nil
		if err := sendFrame(ctx, f.peer, data); err != nil {
			a.err = err
		}
	}
	e.sendForwardEnd(f, a.received, a.err)
}

// sendForwardEnd sends the final frame of a forward.
func (e *Entry) sendForwardEnd(f *forward, length int64, err *apierr.Error) {
	end := &message.ResponseEnd{ID: f.key.id, Length: length}
	if err != nil {
		end.Failure = toFailure(err)
	}
	timeout := max(f.exchange.remaining(time.Now()), minFinalFrameTime)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = sendFrame(ctx, f.peer, end)
}

// sendFrame sends m, waiting until ctx ends while the link's queue is full.
func sendFrame(ctx context.Context, p link.Peer, m message.Message) *apierr.Error {
	err := link.SendWait(ctx, p, m)
	if errors.Is(err, context.DeadlineExceeded) {
		return apierr.Wrap(apierr.KindTimeout, p.Identity().Name, err)
	}
	return apierr.Wrap(apierr.KindLinkLost, p.Identity().Name, err)
}
