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

// errDeadline ends a call at the request's deadline.
var errDeadline = context.DeadlineExceeded

// firstSilence is the longest wait for a stream's second event before the pace of its
// group is known.
const firstSilence = time.Second

// cause returns why the attempt was ended, or nil.
func (a *attempt) cause() error { return context.Cause(a.ctx) }

// timedOut is the error of a request without a complete answer at its deadline.
func (x *exchange) timedOut() *apierr.Error { return apierr.New(apierr.KindTimeout, x.target) }

// relayStream passes a stream's events on. The head goes out with the first event, so
// that a failure before it can still be answered or cured.
func (a *attempt) relayStream(answer *upstream.Answer) (*apierr.Error, bool) {
	x := a.x
	deadline := time.AfterFunc(x.remaining(), func() { a.cancel(errDeadline) })
	defer deadline.Stop()
	silence := a.watchSilence()
	defer silence.Stop()
	events := upstream.NewEventReader(answer.Body)
	producing := false
	var last time.Time
	defer func() {
		if producing {
			a.producing(-1)
		}
	}()
	for {
		ev, err := events.Next()
		if err == nil {
			if !producing {
				producing = true
				a.producing(1)
				silence.Reset(firstSilence)
			} else {
				silence.Reset(a.event(time.Since(last)))
			}
			last = time.Now()
			err = a.checkOrder(ev)
		}
		if err != nil {
			return a.streamEnded(answer, err)
		}
		a.passEvent(answer, ev)
	}
}

// watchSilence cancels the attempt when no event came for too long and another target
// could go on; streams that can't be resumed are left alone.
func (a *attempt) watchSilence() *time.Timer {
	return time.AfterFunc(firstSilence, func() {
		if a.x.route.Run != fleet.Resumable || a.x.attempts >= a.x.route.Attempts {
			return
		}
		if _, refuge := a.stall(); refuge {
			a.cancel(errStalled)
			return
		}
		a.leaveWhenPossible()
	})
}

// leaveWhenPossible cancels the attempt once another target could go on, unless the
// group moves again before.
func (a *attempt) leaveWhenPossible() {
	time.AfterFunc(stallCheck, func() {
		if a.ctx.Err() != nil {
			return
		}
		switch stalled, refuge := a.stall(); {
		case stalled && refuge:
			a.cancel(errStalled)
		case stalled:
			a.leaveWhenPossible()
		}
	})
}

func (a *attempt) producing(n int) {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.g.balancer.Producing(a.g.now(), a.target.ID, n)
}

// event notes an event and returns how long the next one may take.
func (a *attempt) event(gap time.Duration) time.Duration {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	return a.g.balancer.Event(a.g.now(), a.target.ID, gap, a.x.route.EventGap)
}

// errOrder means that a target's event ids have a gap or a repeat.
var errOrder = errors.New("the stream's event ids are out of order")

// checkOrder requires each event's id to follow the last one that was passed on.
func (a *attempt) checkOrder(ev upstream.StreamEvent) error {
	if a.x.hasEvent && ev.HasID && ev.ID != a.x.lastEvent+1 {
		return errOrder
	}
	return nil
}

// passEvent sends an event to the caller, with the head before the first one.
func (a *attempt) passEvent(answer *upstream.Answer, ev upstream.StreamEvent) {
	x := a.x
	var b []byte
	if !x.headSent {
		x.headSent, x.status = true, answer.Status
		b = append(a.g.answerHead(x, answer), "Transfer-Encoding: chunked\r\n\r\n"...)
		x.firstEvent = time.Since(x.arrived)
		a.g.count.firstEvent.RecordDuration(x.firstEvent)
	}
	x.out.write(http1.AppendChunk(b, ev.Bytes))
	x.notePause()
	if ev.HasID {
		x.lastEvent, x.hasEvent = ev.ID, true
	}
}

// notePause keeps the longest pause between two events.
func (x *exchange) notePause() {
	now := time.Now()
	if !x.lastEventAt.IsZero() {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// streamEnded judges the end of a stream at one target.
func (a *attempt) streamEnded(answer *upstream.Answer, err error) (*apierr.Error, bool) {
	x := a.x
	if errors.Is(err, io.EOF) && x.headSent {
		answer.Finish()
		a.end(placement.Answered)
		x.out.write([]byte(http1.LastChunk))
		return nil, false
	}
	answer.Abort()
	x.tried = append(x.tried, a.target.ID)
	cause := a.cause()
	switch {
	case x.gone():
		a.end(placement.Abandoned)
		return apierr.New(apierr.KindCancelled, a.target.ID), false
	case errors.Is(cause, errDeadline):
		a.end(placement.Abandoned)
		return x.timedOut(), false
	case errors.Is(cause, errStalled):
		a.leaveGroup()
		a.end(placement.Abandoned)
		err = errStalled
	default:
		a.end(placement.Failed)
	}
	failed := apierr.Wrap(apierr.KindTruncated, a.target.ID+" after event "+strconv.FormatInt(x.lastEvent, 10), err)
	if !x.headSent {
		return x.unknown(failed)
	}
	return a.resume(failed)
}

// resume continues a broken stream at another target, within the same answer.
func (a *attempt) resume(failed *apierr.Error) (*apierr.Error, bool) {
	x := a.x
	if x.route.Run != fleet.Resumable || !x.hasEvent || x.attempts >= x.route.Attempts {
		return failed, false
	}
	if !a.g.mayRepeat(x.service) {
		a.g.count.overBudget.Inc(1)
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
		if err == nil || !again || !next.unsent && !a.g.mayRepeat(x.service) {
			return err, false
		}
	}
	return failed, false
}
