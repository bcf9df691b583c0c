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
	if row.RetryAfter > 0 {
		b = http1.AppendFields(b, http1.Header{{Name: "Retry-After", Value: secondsText(spread(row.RetryAfter))}})
	}
	b = g.appendConnection(b, x)
	body, jsonErr := json.Marshal(errorBody{Kind: row.Name, Message: row.Text, Outcome: row.Outcome.String()})
	if jsonErr != nil {
		g.opts.Logger.Error().Str("event", "answer-encode").Err(jsonErr).Msg("")
	}
	x.out.write(http1.AppendWhole(b, body))
}

// spread draws a time from the half below d to the half above it, so that callers
// that were refused together do not return together.
func spread(d time.Duration) time.Duration { return d/2 + rand.N(d) }
