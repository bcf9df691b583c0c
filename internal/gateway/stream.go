package gateway

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
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

// timeoutError returns the error of a request without a complete response at its deadline.
func (x *exchange) timeoutError() *apierr.Error { return apierr.New(apierr.KindTimeout, x.target) }

// handleEvent sends an event of a stream to the caller. The head is sent with the first event,
// so that after an earlier failure the request can still get an error response or be sent
// to another target.
func (a *attempt) handleEvent(ev upstream.StreamEvent) *ending {
	if !a.active {
		a.active, a.began = true, a.g.now()
		a.untrackUnanswered()
		a.addActiveStreams(1)
		a.nextStallTimeout = initialStallTimeout
	} else {
		a.nextStallTimeout = a.recordEvent(time.Since(a.lastRead))
	}
	a.lastRead = time.Now()
	if a.g.now()-a.began >= answeredAfter {
		a.recordAnswer()
	}
	if ev.Comment && len(a.x.live) > 1 {
		return nil // it tells nothing on which of the attempts goes on
	}
	a.progressed = a.progressed || !ev.Comment
	if err := a.checkOrder(ev); err != nil {
		return a.handleStreamEnd(err)
	}
	a.relayEvent(ev)
	return nil
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
func (a *attempt) relayEvent(ev upstream.StreamEvent) {
	x, answer := a.x, a.answer
	var b []byte
	if !x.headSent {
		x.headSent, x.status = true, answer.Status
		b = append(a.g.answerHead(x, answer), "Transfer-Encoding: chunked\r\n\r\n"...)
		x.firstEvent = time.Since(x.arrived)
		a.g.count.firstEvent.RecordDuration(x.firstEvent)
	}
	x.out.write(http1.AppendChunk(b, ev.Bytes))
	a.body.passOn(len(ev.Bytes))
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
func (a *attempt) handleStreamEnd(err error) *ending {
	x, answer := a.x, a.answer
	if errors.Is(err, io.EOF) && x.headSent {
		answer.Finish()
		a.reportResult(placement.Answered)
		a.recordAround(answer, func() { x.out.write([]byte(http1.LastChunk)) }, func() { a.recordComplete(answer) })
		return &ending{}
	}
	answer.Abort()
	x.markTried(a.target.ID)
	cause := a.cause()
	if cause != nil && !errors.Is(cause, errQuarantined) {
		a.recordGivenUp()
	}
	switch {
	case x.callerDisconnected():
		a.reportResult(placement.Inconclusive)
		return &ending{err: apierr.New(apierr.KindCancelled, a.target.ID), final: true}
	case errors.Is(cause, errDeadline):
		a.reportResult(placement.Inconclusive)
		return &ending{err: x.timeoutError(), final: true}
	case errors.Is(cause, errQuarantined):
		a.reportResult(placement.Inconclusive)
		return x.quarantinedEnding(a, cause)
	case errors.Is(err, errNoEvents) && a.resumes && !answer.EndsWithConnection:
		a.reportResult(placement.Inconclusive) // the stream may have had no event left
	default:
		a.reportResult(placement.Failed)
		a.recordEnd()
	}
	return x.recordIndeterminate(apierr.Wrap(apierr.KindTruncated, a.target.ID+" after event "+strconv.FormatInt(x.lastEvent, 10), err))
}
