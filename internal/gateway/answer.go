package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/http1"
)

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

// answerError answers an exchange that got no answer from a target. An answer that has
// begun is left visibly incomplete instead.
func (g *Gateway) answerError(x *exchange, err *apierr.Error) {
	if x.headSent {
		x.req.KeepAlive = false
		x.out.abort()
		return
	}
	row := err.Answer()
	x.status = row.Status
	b := http1.AppendStatus(nil, row.Status, "")
	b = append(b, "Content-Type: application/json\r\n"...)
	if x.id != "" {
		b = http1.AppendFields(b, http1.Header{{Name: g.opts.Headers.Attempt, Value: x.id}})
	}
	if after := retryAfter(err.Kind, row.RetryAfter, x); after > 0 {
		b = http1.AppendFields(b, http1.Header{{Name: "Retry-After", Value: secondsText(after)}})
	}
	b = g.appendConnection(b, x)
	body, jsonErr := json.Marshal(errorBody{Kind: row.Name, Message: row.Text, Outcome: row.Outcome.String()})
	if jsonErr != nil {
		g.opts.Logger.Error().Str("event", "answer-encode").Err(jsonErr).Msg("")
	}
	x.out.write(http1.AppendWhole(b, body))
}

// Times after which callers that were refused should return.
const (
	// returnWhenDraining is short: other gateways take the request at once.
	returnWhenDraining = 60 * time.Millisecond
	// returnWhenFull is about the time in which a stream's slot becomes free.
	returnWhenFull = 1200 * time.Millisecond
	// returnWhenDown is for callers whose deadline isn't known.
	returnWhenDown = 2200 * time.Millisecond
	// longestReturn is the part of the time left for which callers stay away at most.
	longestReturn = 1.0 / 3
)

// retryAfter draws the time after which a refused caller should return; other kinds
// keep their table's time.
func retryAfter(k apierr.Kind, usual time.Duration, x *exchange) time.Duration {
	switch k {
	case apierr.KindDraining:
		return spread(returnWhenDraining)
	case apierr.KindOverloaded:
		return spread(returnWhenFull)
	case apierr.KindTargetUnreachable, apierr.KindNoTarget, apierr.KindConfigUnavailable:
		return whenDown(x)
	default:
		return spread(usual)
	}
}

// whenDown leaves what is down as much time as the caller has: most outages last some
// seconds, and callers return a limited number of times.
func whenDown(x *exchange) time.Duration {
	if x.deadline.IsZero() {
		return spread(returnWhenDown)
	}
	longest := time.Duration(longestReturn * float64(max(0, x.remaining())))
	return longest - rand.N(longest/5+1)
}

// spread draws a time from a quarter below d to a quarter above it, so that callers
// that were refused together do not return together.
func spread(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }
