package gateway

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/upstream"
)

const (
	// maxTries bounds the targets that are tried, those included that could not be
	// reached or turned out to be another one.
	maxTries = 4
	// maxKeptIdle is the idle time up to which a kept connection is used for a request
	// that may run again.
	maxKeptIdle = 5 * time.Second
	// maxKeptIdleOnce is the same for a request that may not: a connection that the
	// target closes just then would leave its run unknown.
	maxKeptIdleOnce = 700 * time.Millisecond
)

// errStalled ends an attempt whose target shows no progress.
var errStalled = errors.New("the target's group is stalled")

// errSlow ends an attempt that another target may still serve in time.
var errSlow = errors.New("no answer within the time for a first attempt")

// dispatch sends the request to targets until one answers or no other attempt is
// allowed, and relays the answer.
func (g *Gateway) dispatch(x *exchange) *apierr.Error {
	tries := 0
	for {
		if x.gone() {
			return apierr.New(apierr.KindCancelled, "")
		}
		if x.remaining() <= 0 {
			return x.outOfTime()
		}
		choice, refusal := g.chooseInTime(x)
		if refusal != placement.NotRefused {
			return x.refused(refusal)
		}
		a := g.newAttempt(x, choice)
		err, again := a.run()
		if err == nil || x.headSent {
			return err
		}
		g.logAttempt(x, choice, err)
		if !again {
			return err
		}
		if tries++; tries >= maxTries {
			return x.unreachable(err)
		}
		if a.unsent {
			continue
		}
		if x.attempts >= x.route.Attempts {
			return x.unreachable(err)
		}
		if !g.mayRepeat(x.service) {
			g.count.overBudget.Inc(1)
			return x.unreachable(err)
		}
		g.count.repeats.Inc(1)
	}
}

func (g *Gateway) choose(x *exchange) (placement.Choice, placement.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Choose(g.now(), placement.Request{
		Service: x.service, Tried: x.tried, AvoidGroup: x.avoidGroup, Urgent: x.attempts > 0,
		EventGap: x.route.EventGap,
	})
}

const (
	// formWait bounds the time that a request waits for a lock-step group to run again,
	// about the time in which a group forms once its last rank is back. A gateway learns
	// of the return only when the group is open.
	formWait = 600 * time.Millisecond
	// formCheck is the period in which waiting requests look.
	formCheck = 25 * time.Millisecond
)

// chooseInTime is choose, but waits a little if only a group that is down is in the way.
// It leaves the request formWait at least of the time that it has.
func (g *Gateway) chooseInTime(x *exchange) (placement.Choice, placement.Refusal) {
	until := time.Now().Add(min(formWait, x.remaining()-formWait))
	for {
		choice, refusal := g.choose(x)
		if refusal != placement.GroupDown || !time.Now().Before(until) || !x.sleep(formCheck) {
			return choice, refusal
		}
	}
}

// sleep returns false if the caller left meanwhile.
func (x *exchange) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-x.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// unreachable returns the error of the first attempt that may have run, else err.
func (x *exchange) unreachable(err *apierr.Error) *apierr.Error {
	if x.mayHaveRun != nil {
		return x.mayHaveRun
	}
	return err
}

// refused turns a refusal of the balancer into the exchange's error.
func (x *exchange) refused(r placement.Refusal) *apierr.Error {
	if x.mayHaveRun != nil {
		return x.mayHaveRun
	}
	switch r {
	case placement.Full:
		return apierr.New(apierr.KindOverloaded, x.service)
	case placement.Unreachable, placement.GroupDown:
		return apierr.New(apierr.KindTargetUnreachable, x.service+": "+r.String())
	default:
		return apierr.New(apierr.KindNoTarget, x.service)
	}
}

// outOfTime is the error at the deadline: not run if nothing was ever sent.
func (x *exchange) outOfTime() *apierr.Error {
	if x.mayHaveRun == nil && x.attempts == 0 {
		return apierr.New(apierr.KindDeadlineUnreachable, x.service)
	}
	return apierr.New(apierr.KindTimeout, x.target)
}

// attempt is one try at one target.
type attempt struct {
	g      *Gateway
	x      *exchange
	target placement.Target
	ctx    context.Context
	cancel context.CancelCauseFunc
	// unsent tells that no byte went to the target.
	unsent bool
	// headed tells that the head of the answer has come.
	headed atomic.Bool
}

func (g *Gateway) newAttempt(x *exchange, c placement.Choice) *attempt {
	ctx, cancel := context.WithCancelCause(x.ctx)
	x.target = c.Target.ID
	return &attempt{g: g, x: x, target: c.Target, ctx: ctx, cancel: cancel}
}

// run makes the attempt and relays its answer. It reports whether another target may
// be tried after an error.
func (a *attempt) run() (err *apierr.Error, again bool) {
	defer a.cancel(nil)
	a.g.count.attempts.Inc(1)
	stop := a.watch()
	answer, failure := a.g.client.Do(a.ctx, a.call())
	stop()
	if failure != nil {
		return a.failed(failure)
	}
	a.x.attempts++
	a.noteLoad(answer)
	return a.answered(answer)
}

// call builds what is sent to the target.
func (a *attempt) call() upstream.Call {
	maxIdle := maxKeptIdle
	if !a.x.route.Run.Repeatable() {
		maxIdle = maxKeptIdleOnce
	}
	return upstream.Call{
		Addr: a.target.Address, Attempt: a.x.id, MaxConns: a.target.MaxConns, MaxIdle: maxIdle,
		Request: a.g.forwarded(a.x, a.target.ID),
	}
}

// watch ends the attempt at the deadline, when its target's group stalls, or when
// another target may still serve the request in time. The function returned ends the
// watching once the head of the answer has come.
func (a *attempt) watch() (stop func()) {
	timers := []*time.Timer{time.AfterFunc(a.x.remaining(), func() { a.cancel(errDeadline) })}
	route := a.x.route
	switch another := a.x.attempts+1 < route.Attempts; {
	case another && route.Run == fleet.Resumable:
		a.checkStall()
	case another && route.Run == fleet.Idempotent && route.Objective > 0:
		wait := time.Duration(slowShare * float64(route.Objective))
		timers = append(timers, time.AfterFunc(wait, func() { a.cancel(errSlow) }))
	}
	return func() {
		a.headed.Store(true)
		for _, t := range timers {
			t.Stop()
		}
	}
}

const (
	// stallCheck is the period in which waiting attempts look at their target's group.
	stallCheck = 200 * time.Millisecond
	// slowShare is the part of the objective after which an idempotent request is sent
	// to another target.
	slowShare = 0.6
)

// checkStall cancels the attempt if the target's group is stalled and another one could
// take the request, else looks again later, until the head of the answer has come.
func (a *attempt) checkStall() {
	time.AfterFunc(stallCheck, func() {
		if a.ctx.Err() != nil || a.headed.Load() {
			return
		}
		if stalled, refuge := a.stall(); stalled && refuge {
			a.cancel(errStalled)
			return
		}
		a.checkStall()
	})
}

// stall reports whether the target's group is stalled, and whether there is another
// place for the request. Where there is none, the group may still go on.
func (a *attempt) stall() (stalled, refuge bool) {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	now := a.g.now()
	return a.g.balancer.IsStalled(now, a.target.ID), a.g.balancer.CanLeave(now, a.target.ID)
}

// failed judges a call without an answer.
func (a *attempt) failed(f *upstream.Failure) (*apierr.Error, bool) {
	x := a.x
	if f.Stage == upstream.StageConnect {
		a.unsent = true
		x.tried = append(x.tried, a.target.ID)
		result := placement.Unreached
		if x.gone() || errors.Is(f.Cause, upstream.ErrConnectionLimit) {
			result = placement.Abandoned
		}
		a.end(result)
		return apierr.Wrap(apierr.KindTargetUnreachable, a.target.ID, f.Cause), true
	}
	x.attempts++
	x.tried = append(x.tried, a.target.ID)
	cause := context.Cause(a.ctx)
	switch {
	case x.gone():
		a.end(placement.Abandoned)
		return apierr.New(apierr.KindCancelled, a.target.ID), false
	case errors.Is(cause, errDeadline):
		a.end(placement.Failed)
		return apierr.New(apierr.KindTimeout, a.target.ID), false
	case errors.Is(cause, errStalled):
		a.leaveGroup()
		a.end(placement.Abandoned)
		return x.unknown(apierr.Wrap(apierr.KindTargetFailed, a.target.ID, cause))
	case errors.Is(cause, errSlow):
		a.end(placement.Failed)
		return x.unknown(apierr.Wrap(apierr.KindTargetFailed, a.target.ID, cause))
	case f.Reused:
		a.end(placement.Abandoned)
	default:
		a.end(placement.Failed)
	}
	return x.unknown(apierr.Wrap(apierr.KindTargetFailed, a.target.ID, f))
}

// unknown notes that the request may have run.
func (x *exchange) unknown(err *apierr.Error) (*apierr.Error, bool) {
	if x.mayHaveRun == nil {
		x.mayHaveRun = err
	}
	return err, x.route.Run.Repeatable()
}

// leaveGroup keeps further attempts away from the target's stalled group.
func (a *attempt) leaveGroup() {
	a.g.count.stalls.Inc(1)
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.g.balancer.Stalled(a.g.now(), a.target.ID)
	a.x.avoidGroup = a.g.balancer.Group(a.target.ID)
}

// end reports the attempt's result to the balancer.
func (a *attempt) end(result placement.Result) {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.g.balancer.Ended(a.g.now(), a.target.ID, result)
}

// noteLoad takes in what an answer says of the target's load.
func (a *attempt) noteLoad(answer *upstream.Answer) {
	load, ok := upstream.ParseLoad(answer.Header.Get(a.g.opts.Headers.Load))
	if !ok {
		return
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.g.balancer.Reported(a.g.now(), a.target.ID, load.Running, load.Waiting)
}

// answered judges the head of an answer and relays what is to be passed on.
func (a *attempt) answered(answer *upstream.Answer) (*apierr.Error, bool) {
	x := a.x
	if answer.NotExecuted() {
		return a.notExecuted(answer)
	}
	if promisesNotRun(answer.Status) {
		// Without the target's word the status would promise more than is known.
		answer.Abort()
		a.end(placement.Failed)
		x.tried = append(x.tried, a.target.ID)
		return x.unknown(apierr.New(apierr.KindTargetFailed, "status "+strconv.Itoa(answer.Status)))
	}
	if answer.Status < 300 && answer.Header.Get(a.g.opts.Headers.Signature) == "" {
		answer.Abort()
		a.end(placement.Failed)
		x.tried = append(x.tried, a.target.ID)
		return x.unknown(apierr.New(apierr.KindTargetFailed, "unsigned answer"))
	}
	if x.headSent && answer.Status != 200 {
		answer.Abort()
		a.end(placement.Failed)
		return apierr.New(apierr.KindTargetFailed, "the stream can't go on: status "+strconv.Itoa(answer.Status)), false
	}
	if x.route.Streaming && answer.Status == 200 {
		return a.relayStream(answer)
	}
	return a.relayWhole(answer)
}

// promisesNotRun reports whether callers read a status as a promise that the request
// has not run.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// notExecuted handles a target's refusal; the request has not run there.
func (a *attempt) notExecuted(answer *upstream.Answer) (*apierr.Error, bool) {
	x := a.x
	x.tried = append(x.tried, a.target.ID)
	a.g.count.refused.Inc(1)
	if answer.Status == 400 && !x.headSent {
		return a.relayWhole(answer)
	}
	err := apierr.New(apierr.KindOverloaded, a.target.ID+" refused with status "+strconv.Itoa(answer.Status))
	a.discard(answer)
	if answer.Status == 421 {
		// Another target has the address now, which does not count as an attempt.
		x.attempts--
		a.end(placement.Replaced)
		return err, true
	}
	a.end(placement.Refused)
	return err, true
}

// maxDiscard is the largest refusal that is read to keep its connection, in bytes.
const maxDiscard = 8 << 10

// discard reads a refusal's body so that the connection can be kept.
func (a *attempt) discard(answer *upstream.Answer) {
	if answer.Length < 0 || answer.Length > maxDiscard {
		answer.Abort()
		return
	}
	if _, err := readAll(answer.Body, maxDiscard); err != nil {
		answer.Abort()
		return
	}
	answer.Finish()
}
