package entry

import (
	"math/rand/v2"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/retry"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

const (
	// withdrawMargin is how long before the deadline a request without any answer
	// is withdrawn, so that the agent can still say whether it ran.
	withdrawMargin = 100 * time.Millisecond
	// withdrawShare bounds withdrawMargin to a part of the time that is left.
	withdrawShare = 5
	// leastAttempt is the least time for which another attempt is worth making.
	leastAttempt = 5 * time.Millisecond
)

// dispatch gets x answered. A request of which any attempt may have run is never
// reported as not run, whatever became of the later attempts.
func (e *Entry) dispatch(x *exchange) (*answer, *apierr.Error) {
	a, err := e.dispatchInTurn(x)
	if err != nil && x.mayHaveRun != nil && err.Answer().Outcome == apierr.OutcomeNotRun {
		return nil, x.mayHaveRun
	}
	return a, err
}

// dispatchInTurn sends x to one destination after another until an answer's head
// has arrived or no further attempt is allowed.
func (e *Entry) dispatchInTurn(x *exchange) (*answer, *apierr.Error) {
	var last *apierr.Error
	for {
		x.view = e.view.Load()
		choice := e.pick(x)
		if choice.Destination == routing.ToNobody {
			return nil, firstOf(last, choice.Err)
		}
		x.attempts++
		x.target = choice.Name()
		a, err := e.attempt(x, choice)
		e.hint(dispatched{name: x.target, answered: err == nil || !silent(err.Kind)})
		if err == nil {
			return a, nil
		}
		e.logAttempt(x, err)
		if x.aborted() || !e.mayRetry(e.attemptOf(x, err)) {
			return nil, err
		}
		last = err
		x.tried.Refused(choice, err.Kind)
	}
}

// silent reports whether a failure came without any answer from the destination.
func silent(k apierr.Kind) bool {
	return k == apierr.KindTimeout || k == apierr.KindLinkLost || k == apierr.KindTargetUnreachable
}

// firstOf prefers the refusal of a destination that was asked to the one of routing,
// unless routing knows better when to come back.
func firstOf(asked, routed *apierr.Error) *apierr.Error {
	if asked == nil {
		return routed
	}
	asked.RetryAfter = max(asked.RetryAfter, routed.RetryAfter)
	return asked
}

func (e *Entry) pick(x *exchange) routing.Choice {
	rng, _ := e.rngs.Get().(*rand.Rand)
	defer e.rngs.Put(rng)
	return x.view.routing.Pick(routing.Request{
		Pool:           x.service.Pool,
		Service:        x.req.Service,
		Organisation:   x.req.Organisation,
		IdempotencyKey: x.req.IdempotencyKey,
		PrefixHash:     x.req.PrefixHash,
		Remaining:      x.remaining(time.Now()),
		Hops:           x.req.Hops,
		NoWait:         x.req.NoWait,
		Busy:           x.tried.Busy,
		Excluded:       x.tried.Excluded,
	}, rng)
}

func (e *Entry) attemptOf(x *exchange, err *apierr.Error) retry.Attempt {
	return retry.Attempt{
		Kind:       err.Kind,
		Outcome:    err.Answer().Outcome,
		Idempotent: x.req.Idempotent,
		Attempts:   x.attempts,
		Remaining:  x.remaining(time.Now()),
		Expected:   leastAttempt,
	}
}

// attempt sends x to one destination and waits for the head of its answer.
func (e *Entry) attempt(x *exchange, choice routing.Choice) (*answer, *apierr.Error) {
	p := x.view.links[x.target]
	if p == nil {
		return nil, apierr.New(apierr.KindTargetUnreachable, x.target)
	}
	c := e.calls.open(p)
	sent := choice.Sent()
	sent.Begin()
	if err := p.Send(outgoing(x, choice, c)); err != nil {
		sent.End()
		e.calls.close(c)
		return nil, apierr.Wrap(apierr.KindTargetUnreachable, x.target, err)
	}
	release := func(err *apierr.Error) {
		sent.End()
		e.calls.close(c)
		e.settle(x, err)
	}
	a, err := e.awaitHead(x, c)
	if err != nil {
		x.failed(err)
		sent.End()
		e.calls.close(c)
		return nil, err
	}
	a.release = release
	return a, nil
}

// outgoing returns the frame of one attempt.
func outgoing(x *exchange, choice routing.Choice, c *call) *message.Request {
	req := x.req
	req.ID = c.key.id
	req.Timeout = x.remaining(time.Now())
	req.Window = streamWindow
	req.NoWait = choice.NoWait
	req.MaxWait = choice.MaxWait
	if choice.Destination == routing.ToAgent {
		req.Incarnation = choice.Target.Incarnation
	} else {
		req.Hops++
	}
	return &req
}

// awaitHead waits for the answer's head. Shortly before the deadline, or when the
// sender gave the request up, it asks the peer to withdraw the request.
func (e *Entry) awaitHead(x *exchange, c *call) (*answer, *apierr.Error) {
	left := x.remaining(time.Now())
	margin := min(withdrawMargin, left/withdrawShare)
	withdraw := time.NewTimer(left - margin)
	defer withdraw.Stop()
	deadline := time.NewTimer(left)
	w := waiter{call: c, withdraw: withdraw.C, deadline: deadline.C, abort: x.abort}
	head, err := w.run()
	if err != nil {
		deadline.Stop()
		return nil, err
	}
	return newAnswer(x, head, c, deadline), nil
}

// waiter waits for the head of one call.
type waiter struct {
	call      *call
	withdraw  <-chan time.Time
	deadline  <-chan time.Time
	abort     <-chan struct{}
	withdrawn bool
}

func (w *waiter) run() (*message.ResponseHead, *apierr.Error) {
	for {
		m, err := w.call.poll()
		if err != nil {
			return nil, err
		}
		if m == nil {
			if err := w.wait(); err != nil {
				return nil, err
			}
			continue
		}
		switch m := m.(type) {
		case *message.ResponseHead:
			return m, nil
		case *message.ResponseEnd:
			return nil, endBeforeHead(m)
		case *message.Withdrawn:
			if m.NotRun {
				return nil, apierr.New(apierr.KindWithdrawn, w.call.peer.Identity().Name)
			}
		}
	}
}

// wait blocks until the call has news; it withdraws the request when it is time to.
func (w *waiter) wait() *apierr.Error {
	select {
	case <-w.call.wake:
	case <-w.withdraw:
		w.askWithdraw()
	case <-w.abort:
		w.abort = nil
		w.askWithdraw()
	case <-w.deadline:
		return apierr.New(apierr.KindTimeout, w.call.peer.Identity().Name)
	}
	return nil
}

func (w *waiter) askWithdraw() {
	if !w.withdrawn {
		w.withdrawn = true
		_ = w.call.peer.Send(&message.Withdraw{ID: w.call.key.id})
	}
}

func endBeforeHead(m *message.ResponseEnd) *apierr.Error {
	if m.Failure == nil {
		return apierr.New(apierr.KindTruncated, "the answer has no head")
	}
	return fromFailure(m.Failure)
}

// settle ends a dispatched exchange whose head had arrived.
func (e *Entry) settle(x *exchange, err *apierr.Error) {
	if err == nil {
		e.succeeded()
	}
	e.logEnd(x, err)
}
