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
	// withdrawMargin is the time before the deadline at which a request without any
	// answer is withdrawn, so that the agent can still report whether it ran.
	withdrawMargin = 100 * time.Millisecond
	// withdrawDivisor bounds the margin to 1/withdrawDivisor of the remaining time.
	withdrawDivisor = 5
	// minAttemptTime is the minimum remaining time for which another attempt is made.
	minAttemptTime = 5 * time.Millisecond
)

// dispatch obtains an answer to x from a destination. If any attempt may have run, the
// request is never reported as not run, whatever the outcome of later attempts.
func (e *Entry) dispatch(x *exchange) (*answer, *apierr.Error) {
	a, err := e.tryDestinations(x)
	if err != nil && x.indeterminate != nil && err.Answer().Outcome == apierr.OutcomeNotRun {
		return nil, x.indeterminate
	}
	return a, err
}

// tryDestinations sends x to one destination after another until an answer's head, or the
// whole of a short answer to a caller, has arrived or no further attempt is allowed.
func (e *Entry) tryDestinations(x *exchange) (*answer, *apierr.Error) {
	var last *apierr.Error
	for {
		x.view = e.view.Load()
		choice := e.pick(x)
		if choice.Destination == routing.NoDestination {
			return nil, mergeRefusals(last, choice.Err)
		}
		x.attempts++
		x.target = choice.Name()
		e.requests.record(x)
		a, err := e.attempt(x, choice)
		e.tryPost(dispatchFinished{name: x.target, answered: err == nil || !isUnanswered(err.Kind)})
		if err == nil {
			err = e.completeShort(x, a)
		}
		if err == nil {
			return a, nil
		}
		e.logAttempt(x, err)
		if x.aborted() || !e.mayRetry(e.failedAttempt(x, err)) {
			return nil, err
		}
		if refusal := e.checkQuarantine(x); refusal != nil {
			return nil, refusal
		}
		last = err
		x.refusals.RecordRefusal(choice, err.Kind)
	}
}

// isUnanswered reports whether k is a failure without any answer from the destination.
func isUnanswered(k apierr.Kind) bool {
	return k == apierr.KindTimeout || k == apierr.KindLinkLost || k == apierr.KindTargetUnreachable
}

// mergeRefusals returns the failure of the last attempted destination with the longer
// RetryAfter of the two, or the refusal of routing if no destination was attempted.
func mergeRefusals(attempted, routed *apierr.Error) *apierr.Error {
	if attempted == nil {
		return routed
	}
	attempted.RetryAfter = max(attempted.RetryAfter, routed.RetryAfter)
	return attempted
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
		Busy:           x.refusals.Busy,
		Excluded:       x.refusals.Excluded,
	}, rng)
}

func (e *Entry) failedAttempt(x *exchange, err *apierr.Error) retry.Attempt {
	return retry.Attempt{
		Kind:       err.Kind,
		Outcome:    err.Answer().Outcome,
		Idempotent: x.req.Idempotent,
		Attempts:   x.attempts,
		Remaining:  x.remaining(time.Now()),
		Expected:   minAttemptTime,
	}
}

// attempt sends x to one destination and waits for the head of its answer.
func (e *Entry) attempt(x *exchange, choice routing.Choice) (*answer, *apierr.Error) {
	p := x.view.links[x.target]
	if p == nil {
		return nil, apierr.New(apierr.KindTargetUnreachable, x.target)
	}
	c := e.calls.open(p, x.deadline)
	requests := choice.Requests()
	requests.Begin()
	if err := p.Send(attemptFrame(x, choice, c)); err != nil {
		requests.End()
		e.calls.close(c)
		return nil, apierr.Wrap(apierr.KindTargetUnreachable, x.target, err)
	}
	a, err := e.awaitHead(x, c)
	if err != nil {
		e.recordTargetEnd(x, err, false)
		x.recordFailure(err)
		requests.End()
		e.calls.close(c)
		return nil, err
	}
	a.release = func(err *apierr.Error) {
		requests.End()
		e.calls.close(c)
		if err == nil && a.head.Status < 500 {
			e.recordAnswered(x)
		}
		e.recordTargetEnd(x, err, true)
	}
	a.ended = func(err *apierr.Error) { e.finishAnswered(x, err) }
	return a, nil
}

// completeShort reads a short answer to a caller to its end. Nothing of it has been passed on yet,
// so that the request may be tried again if that fails.
func (e *Entry) completeShort(x *exchange, a *answer) *apierr.Error {
	if !x.fromCaller() || !a.isShort() || a.readAll() == nil {
		return nil
	}
	err := a.end()
	if err.Answer().Outcome == apierr.OutcomeNotRun {
		err = apierr.Wrap(apierr.KindTruncated, "the answer had begun", err) // so it ran
	}
	x.recordFailure(err)
	return err
}

// attemptFrame returns the request frame of one attempt.
func attemptFrame(x *exchange, choice routing.Choice, c *call) *message.Request {
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

// awaitHead waits for the answer's head. It asks the peer to withdraw the request
// when only the withdraw margin is left before the deadline, or when the sender has
// abandoned the request.
func (e *Entry) awaitHead(x *exchange, c *call) (*answer, *apierr.Error) {
	remaining := x.remaining(time.Now())
	margin := min(withdrawMargin, remaining/withdrawDivisor)
	withdraw := time.NewTimer(remaining - margin)
	defer withdraw.Stop()
	deadline := time.NewTimer(remaining)
	w := headWaiter{call: c, withdraw: withdraw.C, deadline: deadline.C, abort: x.abort}
	head, err := w.await()
	if err != nil {
		deadline.Stop()
		return nil, err
	}
	return newAnswer(x, head, c, deadline), nil
}

// headWaiter waits for the head of one call.
type headWaiter struct {
	call      *call
	withdraw  <-chan time.Time
	deadline  <-chan time.Time
	abort     <-chan struct{}
	withdrawn bool
}

func (w *headWaiter) await() (*message.ResponseHead, *apierr.Error) {
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
			return nil, errorBeforeHead(m)
		case *message.Withdrawn:
			if m.NotRun {
				return nil, apierr.New(apierr.KindWithdrawn, w.call.peer.Identity().Name)
			}
		}
	}
}

// wait blocks until the call has a message or a failure, a withdrawal has been sent, or
// the deadline has passed.
func (w *headWaiter) wait() *apierr.Error {
	select {
	case <-w.call.wake:
	case <-w.withdraw:
		w.sendWithdraw()
	case <-w.abort:
		w.abort = nil
		w.sendWithdraw()
	case <-w.deadline:
		return apierr.New(apierr.KindTimeout, w.call.peer.Identity().Name)
	}
	return nil
}

func (w *headWaiter) sendWithdraw() {
	if !w.withdrawn {
		w.withdrawn = true
		w.call.send(&message.Withdraw{ID: w.call.key.id})
	}
}

func errorBeforeHead(m *message.ResponseEnd) *apierr.Error {
	if m.Failure == nil {
		return apierr.New(apierr.KindTruncated, "the answer has no head")
	}
	return fromFailure(m.Failure)
}

// finishAnswered ends an exchange for which an answer's head has arrived.
func (e *Entry) finishAnswered(x *exchange, err *apierr.Error) {
	if err == nil {
		e.recordSuccess()
	}
	e.finish(x, err)
}
