package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/http1"
)

// forwardedRequest returns the request in the form that is sent to a target.
func (g *Gateway) forwardedRequest(x *exchange, target string) *http1.Request {
	names := &g.opts.Headers
	listed := x.req.Header.ListedInConnection()
	h := x.req.Header.Without(func(name string) bool {
		return http1.HopByHop(name) || listed[strings.ToLower(name)] ||
			strings.EqualFold(name, headerAuthorization) && (x.organisation != nil || x.view.index.NeedsKeys()) ||
			strings.EqualFold(name, names.Organisation) || strings.EqualFold(name, names.ExpectTarget) ||
			strings.EqualFold(name, names.Deadline) || strings.EqualFold(name, names.Urgency) ||
			x.hasEvent && strings.EqualFold(name, names.LastEvent)
	})
	left := max(1, x.remaining().Milliseconds())
	h = append(h, http1.Field{Name: names.Deadline, Value: strconv.FormatInt(left, 10)},
		http1.Field{Name: names.ExpectTarget, Value: target})
	if x.organisation != nil {
		h = append(h, http1.Field{Name: names.Organisation, Value: x.organisation.Name})
	}
	if x.hasEvent {
		h = append(h, http1.Field{Name: names.LastEvent, Value: strconv.FormatInt(x.lastEvent, 10)})
	}
	if urgency, ok := x.urgency(); ok {
		h = append(h, http1.Field{Name: names.Urgency, Value: strconv.Itoa(urgency)})
	}
	return &http1.Request{Method: x.req.Method, Target: x.req.Target, Header: h, Body: x.req.Body, HasBody: x.req.HasBody}
}

const (
	// resumedUrgency is for a stream that resumes at another target: its caller has
	// waited.
	resumedUrgency = 2
	// repeatedUrgency is for a request that another target refused or failed.
	repeatedUrgency = 3
)

// urgency returns the request's urgency at a target, if it differs from the default.
func (x *exchange) urgency() (int, bool) {
	switch {
	case !x.route.Streaming:
		return 0, false
	case x.hasEvent:
		return resumedUrgency, true
	case x.attempts > 0:
		return repeatedUrgency, true
	default:
		return 0, false
	}
}

// secondsText formats a duration in seconds with up to three decimals.
func secondsText(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Milliseconds())/1000, 'f', -1, 64)
}
