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
	if after := retryAfter(err.Kind, row.RetryAfter); after > 0 {
		b = http1.AppendFields(b, http1.Header{{Name: "Retry-After", Value: secondsText(spread(after))}})
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
	// returnWhenDown leaves a group or an address time to come back: groups form within
	// a second of their last rank's return, and most outages last some seconds.
	returnWhenDown = 2200 * time.Millisecond
)

// retryAfter returns the mean time after which a refused caller should return; other
// kinds keep their table's time.
func retryAfter(k apierr.Kind, usual time.Duration) time.Duration {
	switch k {
	case apierr.KindDraining:
		return returnWhenDraining
	case apierr.KindOverloaded:
		return returnWhenFull
	case apierr.KindTargetUnreachable, apierr.KindNoTarget, apierr.KindConfigUnavailable:
		return returnWhenDown
	default:
		return usual
	}
}

// spread draws a time from a quarter below d to a quarter above it, so that callers
// that were refused together do not return together.
func spread(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }
