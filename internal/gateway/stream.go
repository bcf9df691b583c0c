package gateway

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/http1"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/upstream"
)

// errDeadline cancels an attempt at the request's deadline.
var errDeadline = context.DeadlineExceeded

// initialStallTimeout is the longest wait for each of a stream's first two events; later
// waits depend on the gaps between the group's events.
const initialStallTimeout = time.Second

// answeredAfter is the time after its first event from which a stream that goes on counts as
// answered. A target that crashes on a part of the prompt is expected to end within it.
const answeredAfter = 500 * time.Millisecond

// cause returns the reason why the attempt was cancelled, or nil.
func (a *attempt) cause() error { return context.Cause(a.ctx) }

// timeoutError returns the error of a request without a complete response at its deadline.
func (x *exchange) timeoutError() *apierr.Error { return apierr.New(apierr.KindTimeout, x.target) }

// relayStream sends a stream's events to the caller. The head is sent with the first event,
// so that after an earlier failure the request can still get an error response or be sent
// to another target.
func (a *attempt) relayStream(answer *upstream.Answer) (*apierr.Error, bool) {
	stallTimer := a.startStallTimer()
	defer stallTimer.Stop()
	events := upstream.NewEventReader(a.meterBody(answer))
	// progressed is true once the target has sent an event, and not only comments.
	active, progressed := false, false
	var last time.Time
	defer func() {
		if active {
			a.addActiveStreams(-1)
		}
	}()
	for {
		ev, err := events.Next()
		if err == nil {
			if !active {
				active, a.began = true, a.g.now()
				a.untrackUnanswered()
				a.addActiveStreams(1)
				stallTimer.Reset(initialStallTimeout)
			} else {
				stallTimer.Reset(a.recordEvent(time.Since(last)))
			}
			last = time.Now()
			if a.g.now()-a.began >= answeredAfter {
				a.recordAnswer()
			}
			progressed = progressed || !ev.Comment
			err = a.checkOrder(ev)
		}
		if errors.Is(err, io.EOF) && !progressed {
			err = errNoEvents
		}
		if err != nil {
			return a.handleStreamEnd(answer, err)
		}
		a.relayEvent(answer, ev)
	}
}

// startStallTimer returns a timer that cancels the attempt when no event arrived for too
// long and another target could continue the stream. It has no effect on streams that
// can't be resumed or have no attempt left.
func (a *attempt) startStallTimer() *time.Timer {
	movable := a.x.route.Repeat == fleet.Resumable && !a.x.attemptsUsed()
	return time.AfterFunc(initialStallTimeout, func() {
		if !movable {
			return
		}
		if _, alternative := a.stallState(); alternative {
			a.cancel(errStalled)
			return
		}
		a.cancelWhenPossible()
	})
}

// cancelWhenPossible cancels the attempt once another target could continue the stream,
// unless the group is no longer stalled before that.
func (a *attempt) cancelWhenPossible() {
	time.AfterFunc(stallPollInterval, func() {
		if a.ctx.Err() != nil {
			return
		}
		switch stalled, alternative := a.stallState(); {
		case stalled && alternative:
			a.cancel(errStalled)
		case stalled:
			a.cancelWhenPossible()
		}
	})
}

func (a *attempt) addActiveStreams(n int) {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.g.balancer.AddActiveStreams(a.g.now(), a.target.ID, n)
}

// recordEvent records an event in the balancer and returns how long the next one may take.
func (a *attempt) recordEvent(gap time.Duration) time.Duration {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	return a.g.balancer.RecordEvent(a.g.now(), a.target.ID, gap, a.x.route.EventGap)
}

// errOrder reports that an event's id does not follow that of the event before it.
var errOrder = errors.New("the stream's event ids are out of order")

// errNoEvents reports a stream that ended without an event. It can't be told from an answer that
// is no stream, so that a stream which was to be resumed is not complete.
var errNoEvents = errors.New("the stream ended without an event")

// checkOrder returns errOrder if an event does not follow the last event that was sent to the caller.
// In a stream whose events have ids, text without one is part of something else.
func (a *attempt) checkOrder(ev upstream.StreamEvent) error {
	if a.x.hasEvent && !ev.Comment && (!ev.HasID || ev.ID != a.x.lastEvent+1) {
		return errOrder
	}
	return nil
}

// relayEvent sends an event to the caller, with the head before the first event.
func (a *attempt) relayEvent(answer *upstream.Answer, ev upstream.StreamEvent) {
	x := a.x
	var b []byte
	if !x.headSent {
		x.headSent, x.status = true, answer.Status
		b = append(a.g.answerHead(x, answer), "Transfer-Encoding: chunked\r\n\r\n"...)
		x.firstEvent = time.Since(x.arrived)
		a.g.count.firstEvent.RecordDuration(x.firstEvent)
	}
	x.out.write(http1.AppendChunk(b, ev.Bytes))
	x.recordGap()
	if ev.HasID {
		x.lastEvent, x.hasEvent = ev.ID, true
	}
	x.progress.update(func(p *progress) { p.lastEvent, p.lastEventAt = x.lastEvent, x.lastEventAt })
}

// recordGap updates the longest time between two events.
func (x *exchange) recordGap() {
	now := time.Now()
	if !x.lastEventAt.IsZero() {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// handleStreamEnd handles the end of a stream at one target: it completes the response, or
// handles the failure.
func (a *attempt) handleStreamEnd(answer *upstream.Answer, err error) (*apierr.Error, bool) {
	x := a.x
	if errors.Is(err, io.EOF) && x.headSent {
		answer.Finish()
		a.reportResult(placement.Answered)
		a.recordAround(answer, func() { x.out.write([]byte(http1.LastChunk)) }, func() { a.recordComplete(answer) })
		return nil, false
	}
	answer.Abort()
	x.tried = append(x.tried, a.target.ID)
	cause := a.cause()
	if cause != nil && !errors.Is(cause, errQuarantined) {
		a.recordGivenUp()
	}
	switch {
	case x.callerDisconnected():
		a.reportResult(placement.Inconclusive)
		return apierr.New(apierr.KindCancelled, a.target.ID), false
	case errors.Is(cause, errDeadline):
		a.reportResult(placement.Inconclusive)
		return x.timeoutError(), false
	case errors.Is(cause, errStalled):
		a.recordStall()
		a.reportResult(placement.Inconclusive)
		err = errStalled
	case errors.Is(cause, errQuarantined):
		a.reportResult(placement.Inconclusive)
		failed, _ := x.recordIndeterminate(apierr.Wrap(apierr.KindTargetFailed, a.target.ID, cause))
		return failed, false
	default:
		a.reportResult(placement.Failed)
		a.recordEnd()
	}
	failed := apierr.Wrap(apierr.KindTruncated, a.target.ID+" after event "+strconv.FormatInt(x.lastEvent, 10), err)
	if !x.headSent {
		return x.recordIndeterminate(failed)
	}
	return a.resume(failed)
}

// resume continues a broken stream at another target, within the same response.
func (a *attempt) resume(failed *apierr.Error) (*apierr.Error, bool) {
	x := a.x
	if x.route.Repeat != fleet.Resumable || !x.hasEvent || a.g.checkQuarantine(x) != nil || !a.takeAnother() {
		return failed, false
	}
	a.g.count.resumes.Inc(1)
	a.g.logResume(x, failed)
	for range maxTries {
		choice, refusal := a.g.choose(x)
		if refusal != placement.NotRefused {
			return failed, false
		}
		next := a.g.newAttempt(x, choice)
		err, again := next.run()
		if err == nil || !again || a.g.checkQuarantine(x) != nil || !next.takeAnother() {
			return err, false
		}
	}
	return failed, false
}
