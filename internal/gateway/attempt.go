package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/retry"
	"github.com/gentiantrail/gentiantrail/internal/upstream"
)

// errGivenUp cancels an attempt whose request another attempt goes on with.
var errGivenUp = errors.New("another attempt goes on with the request")

// attempt is one attempt of a request at one target. A goroutine of its own reads what the target sends.
// The goroutine of the request owns the fields and handles what was read.
type attempt struct {
	g      *Gateway
	x      *exchange
	target placement.Target
	// choice tells why the target was chosen.
	choice placement.Choice
	ctx    context.Context
	cancel context.CancelCauseFunc
	// call is sent to the target.
	call upstream.Call
	// steps delivers what was read, in order, until released is closed.
	steps    chan step
	released chan struct{}
	// deadline cancels the attempt at the request's deadline. It bounds every wait for the target's bytes,
	// up to the end of the answer.
	deadline *time.Timer
	// resumes is true if a part of a response had been sent to the caller before the attempt.
	resumes bool
	// answer is the target's answer once its head has arrived, and body counts the bytes of its body.
	answer *upstream.Answer
	body   *meteredAnswer
	// headAt is when the head arrived, as the time since the gateway's start.
	headAt time.Duration
	// repeat was taken from the retry budget for the attempt; nil if none was, or once it is recorded.
	repeat *retry.Repeat
	// unsent is true if no byte of the request was sent to the target.
	unsent bool
	// answerBegun is true once the head of the response has arrived.
	answerBegun bool
	// active is true from a stream's first event until the attempt's end, and progressed once an event has
	// arrived that is not a comment. lastRead is the time of the last event.
	active, progressed bool
	lastRead           time.Time
	// nextStallTimeout is the time without an event, since the last one, after which the stream is overdue.
	nextStallTimeout time.Duration
	// stallRecorded is true if it was recorded that the target makes no progress since its last event.
	stallRecorded bool
	// began is when the answer began: the first event of a stream or the end of another answer,
	// as the time since the gateway's start. It is zero before that.
	began time.Duration
	// sent is when the attempt began, as the time since the gateway's start.
	sent time.Duration
	// givenUp is true if this gateway has ended the attempt, and laterChecks counts the checks of the
	// target since then.
	givenUp     bool
	laterChecks int
	// answered is true once the request counts as answered in the evidence on its prompt.
	answered bool
}

// step is one thing that was read from a target: a failure to get an answer, the head of an answer, an
// event of a stream, a whole body, or the end of either with err.
type step struct {
	failure *upstream.Failure
	answer  *upstream.Answer
	event   *upstream.StreamEvent
	body    []byte
	err     error
}

// ending is the end of an attempt. Without err, the response is complete.
type ending struct {
	err *apierr.Error
	// again is true if the request may be sent to another target.
	again bool
	// final is true if no attempt can go on with the request.
	final bool
}

// startAttempt sends the request to a chosen target.
func (g *Gateway) startAttempt(x *exchange, c placement.Choice) *attempt {
	ctx, cancel := context.WithCancelCause(x.ctx)
	a := &attempt{
		g: g, x: x, target: c.Target, choice: c, ctx: ctx, cancel: cancel, sent: g.now(), call: g.callTo(x, c.Target), resumes: x.headSent,
		steps: make(chan step), released: make(chan struct{}), body: g.answers.open(nil), // set once the head has arrived
	}
	a.repeat, x.unsentRepeat = x.unsentRepeat, nil
	x.answers = append(x.answers, a.body)
	x.countTarget()
	x.live = append(x.live, c.Target.ID)
	x.setTarget(c.Target.ID)
	a.deadline = time.AfterFunc(x.remaining(), func() { cancel(errDeadline) })
	a.trackUnanswered()
	g.count.attempts.Inc(1)
	go a.read()
	return a
}

// callTo builds the call to a target.
func (g *Gateway) callTo(x *exchange, t placement.Target) upstream.Call {
	maxIdle := maxReuseIdle
	if !x.route.Repeat.Repeatable() {
		maxIdle = maxReuseIdleOnce
	}
	return upstream.Call{
		Addr: t.Address, Attempt: x.id, MaxConns: t.MaxConns, MaxIdle: maxIdle, Request: g.forwardedRequest(x, t.ID),
	}
}

// read makes the call and delivers the answer step by step. It runs on a goroutine of its own.
func (a *attempt) read() {
	answer, failure := a.g.client.Do(a.ctx, a.call)
	if failure != nil {
		a.deliver(step{failure: failure})
		return
	}
	// The content is determined first, as the answer belongs to the request's goroutine once it is delivered.
	content := a.contentOf(answer)
	a.body.body = answer.Body
	if !a.deliver(step{answer: answer}) {
		answer.Abort()
		return
	}
	switch content {
	case contentEvents:
		a.readEvents()
	case contentBuffered:
		body, err := readAll(a.body, maxAnswerBytes)
		a.deliver(step{body: body, err: err})
	case contentUnused:
	}
	select {
	case <-a.released:
		a.body.release() // what was read after the exchange released it
	default:
	}
}

func (a *attempt) readEvents() {
	events := upstream.NewEventReader(a.body)
	for {
		ev, err := events.Next()
		if err != nil {
			a.deliver(step{err: err})
			return
		}
		if !a.deliver(step{event: &ev}) {
			return
		}
	}
}

// deliver passes a step to the request's goroutine. It returns false if the attempt was released.
func (a *attempt) deliver(s step) bool {
	select {
	case a.steps <- s:
		return true
	case <-a.released:
		return false
	}
}

// content tells what is read of an answer's body.
type content int

const (
	// contentUnused is the content of an answer that is not relayed.
	contentUnused content = iota
	contentEvents
	contentBuffered
)

// contentOf returns what is read of an answer's body, from its head.
func (a *attempt) contentOf(answer *upstream.Answer) content {
	switch {
	case answer.NotExecuted() && (answer.Status != 400 || a.resumes):
		return contentUnused
	case !answer.NotExecuted() && (impliesNotExecuted(answer.Status) || a.unsigned(answer)):
		return contentUnused
	case a.resumes && answer.Status != 200:
		return contentUnused
	case a.x.route.Streaming && answer.Status == 200:
		return contentEvents
	default:
		return contentBuffered
	}
}

// unsigned reports whether an answer claims success without proof that a target has produced it.
func (a *attempt) unsigned(answer *upstream.Answer) bool {
	return answer.Status < 300 && answer.Header.Get(a.g.opts.Headers.Signature) == ""
}

// handle handles a step. It returns the attempt's ending, or nil if the attempt goes on.
func (a *attempt) handle(s step) *ending {
	switch {
	case s.failure != nil:
		a.recordRepeatSent(s.failure.SentAt)
		return a.handleFailure(s.failure)
	case s.answer != nil:
		a.recordRepeatSent(s.answer.SentAt)
		a.answer, a.answerBegun, a.headAt = s.answer, true, a.g.now()
		if s.answer.Status == 421 {
			a.x.uncountTarget()
		}
		a.readStatements(s.answer)
		return a.handleHead()
	case a.contentOf(a.answer) == contentBuffered:
		return a.handleBuffered(s.body, s.err)
	case s.event != nil:
		return a.handleEvent(*s.event)
	case errors.Is(s.err, io.EOF) && !a.progressed:
		return a.handleStreamEnd(errNoEvents)
	default:
		return a.handleStreamEnd(s.err)
	}
}

// release ends the attempt's use of its target and its goroutine. The attempt is not used afterwards.
func (a *attempt) release() {
	close(a.released)
	a.x.live = slices.DeleteFunc(a.x.live, func(id string) bool { return id == a.target.ID })
	a.deadline.Stop()
	a.cancel(nil)
	a.untrackUnanswered()
	if a.active {
		a.addActiveStreams(-1)
	}
}

// giveUp ends the attempt because another one goes on with the request.
func (a *attempt) giveUp(result placement.Result) {
	a.cancel(errGivenUp)
	if a.answer != nil {
		a.answer.Abort()
	} else {
		// Whether the request was sent is not known yet, so that it counts as sent.
		a.recordRepeatSent(time.Now())
	}
	a.recordGivenUp()
	a.reportResult(result)
	a.release()
}

// cause returns the reason why the attempt was cancelled, or nil.
func (a *attempt) cause() error { return context.Cause(a.ctx) }

// takeAnother reports whether the request may be sent to another target after this attempt, and
// takes that from the service's retry budget. It decides for repeats and for resumed streams. An
// attempt of which no byte was sent counts for neither limit.
func (a *attempt) takeAnother() bool {
	switch {
	case a.unsent:
		return true
	case a.x.attemptsUsed():
		return false
	case a.x.unsentRepeat != nil:
		return true
	case !a.g.takeRepeat(a.x):
		a.g.count.overBudget.Inc(1)
		return false
	default:
		return true
	}
}

// reportResult reports the attempt's result to the balancer.
func (a *attempt) reportResult(result placement.Result) { a.g.recordResult(a.target.ID, result) }
