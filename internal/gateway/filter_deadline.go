package gateway

import (
	"strconv"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// defaultDeadline applies to requests for which neither the caller nor the route
// sets a time.
const defaultDeadline = 30 * time.Second

// setDeadline sets the request's deadline to the earlier of the caller's deadline and the
// route's timeout.
func setDeadline(g *Gateway, x *exchange) *apierr.Error {
	limit := defaultDeadline
	if x.route.Timeout > 0 {
		limit = x.route.Timeout
	}
	if text := x.req.Header.Get(g.opts.Headers.Deadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return apierr.New(apierr.KindBadDeadline, "write whole milliseconds above 0")
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	x.deadline = x.arrived.Add(limit)
	return nil
}
