package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/http1"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

// writeError writes the error response of an exchange that got no response from a target.
// If a response has begun already, it closes the connection instead, so that the caller
// detects the truncation.
func (g *Gateway) writeError(x *exchange, err *apierr.Error) {
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
	if after := g.retryAfter(err.Kind, row.RetryAfter, x); after > 0 {
		b = http1.AppendFields(b, http1.Header{{Name: headerRetryAfter, Value: secondsText(after)}})
	}
	b = g.appendConnection(b, x)
	x.out.write(http1.AppendLengthAndBody(b, errorJSON(row)))
}

// errorJSON returns the body of an error response.
func errorJSON(row apierr.Answer) []byte {
	body, err := json.Marshal(errorBody{Kind: row.Name, Message: row.Text, Outcome: row.Outcome.String()})
	if err != nil {
		panic(err) // three strings can always be encoded
	}
	return body
}

// errorAnswer returns the error response to a request that is not handled, with the fields, after
// which the connection is closed.
func errorAnswer(err *apierr.Error, fields http1.Header) []byte {
	row := err.Answer()
	b := http1.AppendStatus(nil, row.Status, "")
	b = append(b, "Content-Type: application/json\r\nConnection: close\r\n"...)
	b = http1.AppendFields(b, fields)
	if row.RetryAfter > 0 {
		b = http1.AppendFields(b, http1.Header{{Name: headerRetryAfter, Value: secondsText(jittered(row.RetryAfter))}})
	}
	return http1.AppendLengthAndBody(b, errorJSON(row))
}

// Times after which refused callers should retry.
const (
	// retryAfterDraining is short, since other gateways accept the request at once.
	retryAfterDraining = 60 * time.Millisecond
	// retryAfterOverload is about the time until a stream's slot becomes free.
	retryAfterOverload = 1200 * time.Millisecond
	// retryAfterOutage applies to callers whose deadline isn't known.
	retryAfterOutage = 2200 * time.Millisecond
	// maxRetryAfterShare bounds the time as a fraction of the time left to the deadline.
	maxRetryAfterShare = 1.0 / 3
)

// retryAfter returns a randomised time after which a refused caller should retry. Kinds
// without a rule here use usual, the time from their row of the answer table.
func (g *Gateway) retryAfter(k apierr.Kind, usual time.Duration, x *exchange) time.Duration {
	switch k {
	case apierr.KindDraining:
		return jittered(retryAfterDraining)
	case apierr.KindOverloaded:
		return g.fullRetryAfter(x)
	case apierr.KindTargetUnreachable, apierr.KindNoTarget, apierr.KindConfigUnavailable:
		return outageRetryAfter(x)
	case apierr.KindQuarantined:
		return usual + rand.N(usual/4+1) // not before the end of the quarantine
	default:
		return jittered(usual)
	}
}

// outageRetryAfter returns the time after which to retry during an outage. It is as long as
// the caller's deadline allows, since most outages last some seconds and callers retry a
// limited number of times.
func outageRetryAfter(x *exchange) time.Duration {
	if x.deadline.IsZero() {
		return jittered(retryAfterOutage)
	}
	longest := time.Duration(maxRetryAfterShare * float64(max(0, x.remaining())))
	return longest - rand.N(longest/5+1)
}

// jittered returns a random time from a quarter below d to a quarter above it, so that
// callers that were refused at the same time do not retry at the same time.
func jittered(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }
