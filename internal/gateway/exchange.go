package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/http1"
	"github.com/gentiantrail/gentiantrail/internal/priority"
	"github.com/gentiantrail/gentiantrail/internal/retry"
)

// exchange is one request of a caller with the state of its processing.
type exchange struct {
	// ctx is cancelled when the caller disconnects.
	ctx context.Context
	out responder
	req *http1.Request
	// view is the control state that the filters use; each attempt uses the newest.
	view *view
	// id is the caller's attempt id.
	id string
	// arrived is the time at which the whole request had been read.
	arrived time.Time
	// firstByte is the earliest time at which a byte of the request may have been read.
	firstByte time.Time
	// readAhead is true while bytes have been read behind the request.
	readAhead *atomic.Bool
	// deadline is the time at which the complete response is due: the caller's deadline
	// or the route's timeout, whichever comes first.
	deadline time.Time

	// noRoom is true if the process held too many bytes for callers when the request arrived.
	// Its body has been released.
	noRoom bool

	organisation *fleet.Organisation
	route        *fleet.Route
	service      string
	// sharedParts are the ids of the parts of the prompt that other requests may have too.
	sharedParts []string
	// ownPart is the id of the part of the prompt that belongs to the request or its session;
	// empty if there is none.
	ownPart      string
	lazySubjects subjects
	// trial is true if the request was let through to find out whether targets crash on it.
	trial bool

	// leveled is true if the service has levels. level is the request's one.
	leveled bool
	level   int
	// admitted is true once a target was chosen.
	admitted bool
	// levelCheck is the last check of the request against its level's part of the service; nil if
	// there was none.
	levelCheck *priority.Check

	// attempts is the number of targets that the request was sent to. Only countTarget and uncountTarget
	// change it.
	attempts int
	// live contains the ids of the targets of attempts that have not ended.
	live []string
	// unsentRepeat is a repeat that was taken from the retry budget and belongs to no attempt; nil if there
	// is none.
	unsentRepeat *retry.Repeat
	// tried contains the ids of targets that refused or failed the request, or had to be given up.
	tried []string
	// mayHaveRun is the error of the first failed attempt that may have run, or nil.
	mayHaveRun *apierr.Error
	// avoidGroup is the name of the stalled lock-step group that the request has left.
	avoidGroup string
	// target is the id of the target of the last attempt that did not end beside another one.
	target string
	// headSent is true once a part of a response was sent to the caller.
	headSent bool
	// lastEvent is the id of the last complete event that was sent to the caller, if
	// hasEvent is true.
	lastEvent int64
	hasEvent  bool
	// firstEvent is the time from arrived until the first event, and longestGap the
	// longest time between two events, as they were sent to the caller.
	firstEvent, longestGap time.Duration
	lastEventAt            time.Time
	// answers are the bodies that targets have sent for the request.
	answers []*meteredAnswer
	// status is the HTTP status that was sent to the caller; 0 if none was.
	status int
	// progress is the part of the state that other goroutines read.
	progress progress
}

// filter is one step before the dispatch. A non-nil error ends the exchange with the
// response for its kind.
type filter func(g *Gateway, x *exchange) *apierr.Error

// filters are the steps before the dispatch, in their order.
var filters = []filter{findRoute, identify, requireRoom, readPrompt, setDeadline, screen, admit}

// handle serves one request; it runs on a goroutine of its own.
func (g *Gateway) handle(x *exchange) {
	err := g.serve(x)
	g.returnRepeat(x)
	if x.trial && x.attempts == 0 {
		g.returnTrial(x)
	}
	if err != nil {
		g.writeError(x, err)
	}
	g.logRequest(x, err)
	g.recordAnswerTime(x, err)
	x.progress.update(func(p *progress) { p.handled = true })
	x.out.finish(x.req.KeepAlive) // false if the response has announced the close
}

func (g *Gateway) serve(x *exchange) *apierr.Error {
	for _, f := range filters {
		if err := f(g, x); err != nil {
			return err
		}
	}
	x.progress.update(func(p *progress) { p.id, p.route = x.id, x.route.Name })
	return g.dispatch(x)
}

// releaseAnswers ends the counting of the bodies that targets have sent for the request.
func (x *exchange) releaseAnswers() {
	for _, a := range x.answers {
		a.release()
	}
}

// countTarget counts a target that the request is sent to, whatever comes of it.
func (x *exchange) countTarget() { x.attempts++ }

// uncountTarget takes the count of a target back that the request did not reach. A process that answers 421
// is not the target.
func (x *exchange) uncountTarget() { x.attempts-- }

// markTried records that a target has refused or failed the request, or had to be given up.
func (x *exchange) markTried(id string) {
	if !slices.Contains(x.tried, id) {
		x.tried = append(x.tried, id)
	}
}

// excluded returns the ids of targets that the request is not sent to.
func (x *exchange) excluded() []string { return slices.Concat(x.tried, x.live) }

// setTarget sets the target that the request waits for.
func (x *exchange) setTarget(id string) {
	x.target = id
	x.progress.update(func(p *progress) { p.target, p.attempts = id, x.attempts })
}

// attemptsUsed reports whether the request was sent to as many targets as its route allows.
func (x *exchange) attemptsUsed() bool { return x.attempts >= x.route.MaxAttempts }

// remaining returns the time to the deadline.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// callerDisconnected reports whether the caller has disconnected.
func (x *exchange) callerDisconnected() bool { return x.ctx.Err() != nil }
