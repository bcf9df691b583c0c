package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// exchange is one request on its way through the filters.
type exchange struct {
	// head is the caller's header; it is valid only until the filters have run.
	head *fasthttp.RequestHeader
	// view is the control state that the filters see; each dispatch takes the newest.
	view *view
	// arrived is when the whole request had been read, or its frame had come from a peer.
	arrived time.Time
	// deadline is when the caller's complete answer is due.
	deadline time.Time
	// req is sent to the target; its ID, Incarnation and Timeout are set for each attempt.
	req message.Request
	// organisation, service and route are set by the identify and classify filters.
	organisation *config.Organisation
	service      *config.Service
	route        config.Route
	// admitted tells that the exchange holds a place in the gate, to be given back.
	admitted bool
	// tried notes the destinations that refused or failed the request.
	tried routing.Request
	// mayHaveRun is the failure of the first attempt that may have run.
	mayHaveRun *apierr.Error
	// attempts counts the dispatches.
	attempts int
	// abort is closed when the sender withdrew or cancelled the request; nil for callers over HTTP.
	abort chan struct{}
	// target names the agent or peer entry of the last dispatch.
	target string
}

// remaining returns the time left until the deadline.
func (x *exchange) remaining(now time.Time) time.Duration { return x.deadline.Sub(now) }

// aborted reports whether the sender withdrew or cancelled the request.
func (x *exchange) aborted() bool {
	if x.abort == nil {
		return false
	}
	select {
	case <-x.abort:
		return true
	default:
		return false
	}
}

// filter is one step of the pipeline. A non-nil error ends the exchange with the
// answer that the error's kind has in the table.
type filter func(e *Entry, x *exchange) *apierr.Error

// run passes x through filters in order.
func (e *Entry) run(x *exchange, filters []filter) *apierr.Error {
	for _, f := range filters {
		if err := f(e, x); err != nil {
			return err
		}
	}
	return nil
}

// failed notes the failure of an attempt that was sent.
func (x *exchange) failed(err *apierr.Error) {
	if x.mayHaveRun == nil && err.Answer().Outcome != apierr.OutcomeNotRun {
		x.mayHaveRun = err
	}
}
