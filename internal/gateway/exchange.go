package gateway

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/http1"
)

// exchange is one request of a caller on its way through the filters.
type exchange struct {
	// ctx ends when the caller leaves.
	ctx context.Context
	out responder
	req *http1.Request
	// view is the control state that the filters see; each attempt takes the newest.
	view *view
	// id is the caller's attempt id.
	id string
	// arrived is when the whole request had been read.
	arrived time.Time
	// deadline is when the final answer is due: the caller's deadline or the route's
	// timeout, whichever comes first.
	deadline time.Time

	organisation *fleet.Organisation
	route        *fleet.Route
	service      string

	// attempts counts the targets that the request was sent to.
	attempts int
	// tried holds the ids of targets that refused or failed the request.
	tried []string
	// mayHaveRun is the failure of the first attempt that may have run.
	mayHaveRun *apierr.Error
	// avoidGroup is the stalled lock-step group that the request has left.
	avoidGroup string
	// target names the target of the last attempt.
	target string
	// headSent tells that a part of an answer has gone to the caller.
	headSent bool
	// lastEvent is the id of the last whole event that went to the caller.
	lastEvent int64
	hasEvent  bool
	// firstEvent is the time to the first event, and longestGap the longest pause between
	// two events, as they went to the caller.
	firstEvent, longestGap time.Duration
	lastEventAt            time.Time
	// status is what the caller was told.
	status int
}

// filter is one step before the dispatch. A non-nil error ends the exchange with the
// answer of its kind.
type filter func(g *Gateway, x *exchange) *apierr.Error

// filters is the way of a request up to its dispatch.
var filters = []filter{known, identify, setDeadline, admit}

// handle serves one request; it runs on a goroutine of its own.
func (g *Gateway) handle(x *exchange) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	err := g.serve(x)
	if err != nil {
		g.answerError(x, err)
	}
	g.logEnd(x, err)
	x.out.finished(x.req.KeepAlive && !g.view.Load().stopping)
}

func (g *Gateway) serve(x *exchange) *apierr.Error {
	for _, f := range filters {
		if err := f(g, x); err != nil {
			return err
		}
	}
	return g.dispatch(x)
}

// remaining returns the time to the deadline.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// gone reports whether the caller has left.
func (x *exchange) gone() bool { return x.ctx.Err() != nil }
