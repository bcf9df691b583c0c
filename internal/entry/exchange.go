package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// exchange is the state of one request from its arrival to the end of its answer.
type exchange struct {
	// header is the caller's header; it is valid only until the filters have run.
	header *fasthttp.RequestHeader
	// view is the control state that the filters use; each attempt takes the newest one.
	view *view
	// arrived is when the whole request had been read, or when its frame arrived from a peer.
	arrived time.Time
	// deadline is when the caller's complete answer is due.
	deadline time.Time
	// req is sent to the target; its ID, Incarnation and Timeout are set for each attempt.
	req message.Request
	// organisation, service and route are set by the identify and classify filters.
	organisation *config.Organisation
	service      *config.Service
	route        config.Route
	// holdsSlot is true while the exchange holds a slot of the limiter, to be released.
	holdsSlot bool
	// refusals contains, in Busy and Excluded, the destinations that refused the request
	// or failed.
	refusals routing.Request
	// indeterminate is the failure of the first attempt that may have run.
	indeterminate *apierr.Error
	// attempts is the number of attempts made so far.
	attempts int
	// abort is closed when the sender withdraws or cancels the request; it is nil for
	// callers over HTTP.
	abort chan struct{}
	// fingerprint is the subject of evidence on the request; empty until it is needed.
	fingerprint string
	// target is the name of the agent or peer entry of the last attempt.
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

// fromCaller reports whether the request came over HTTP and not from a peer entry.
func (x *exchange) fromCaller() bool { return x.abort == nil }

// filter is one step of the pipeline. A non-nil error ends the exchange with the
// answer that the table of error kinds defines for it.
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

// recordFailure records the failure of an attempt that was sent, if it is the first one
// that may have run.
func (x *exchange) recordFailure(err *apierr.Error) {
	if x.indeterminate == nil && err.Answer().Outcome != apierr.OutcomeNotRun {
		x.indeterminate = err
	}
}
