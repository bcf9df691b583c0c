package gateway

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/upstream"
)

// readStatements passes what the head of an answer says about the state of its target to the
// balancer.
func (a *attempt) readStatements(answer *upstream.Answer) {
	if answer.Status == 421 {
		return // the answer of another target
	}
	a.readLoad(answer)
	a.readRateLimit(answer)
	a.readLeaving(answer)
	a.readPause(answer)
}

func (a *attempt) readLoad(answer *upstream.Answer) {
	load, ok := upstream.ParseLoad(answer.Header.Get(a.g.opts.Headers.Load))
	if !ok {
		return
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.g.balancer.HandleLoadReport(a.g.now(), a.target.ID, load.Running, load.Waiting)
}

// readRateLimit reads the rate that the target states, or that it states none any more. A field
// without a valid rate changes nothing.
func (a *attempt) readRateLimit(answer *upstream.Answer) {
	text := answer.Header.List(a.g.opts.Headers.RateLimit)
	rate, ok := upstream.ParseRate(text)
	if text != "" && !ok {
		a.g.count.invalidStatements.Inc(1)
		return
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	limit := placement.RateLimit{Limited: ok, Rate: rate}
	if a.g.balancer.HandleRateLimit(a.g.now(), a.target.ID, limit, a.sent) {
		a.g.logRateLimit(a.target.ID, a.x.id, "")
	}
}

// logRateLimit logs a change of the limit of a target, which was read in the answer to a request
// or by another gateway. g.mu must be held.
func (g *Gateway) logRateLimit(target, request, peer string) {
	limit := g.balancer.TargetLimit(g.now(), target)
	line := g.opts.Logger.Info().Str("event", "belief").Str("topic", "limits").Str("subject", target)
	if request != "" {
		line = line.Str("request", request)
	}
	if peer != "" {
		line = line.Str("from", peer)
	}
	if !limit.Limited {
		line.Str("outcome", "unlimited").Msg("")
		return
	}
	line.Str("outcome", "limited").Float64("per_second", limit.Rate).Msg("")
}

// headerRetryAfter carries a time in seconds: in a target's refusal, for how long it wants no
// requests; in the gateway's own, when the caller should try again.
const headerRetryAfter = "Retry-After"

// readPause reads the time for which a target that refuses a request wants none.
func (a *attempt) readPause(answer *upstream.Answer) {
	text := answer.Header.Get(headerRetryAfter)
	if text == "" || answer.Status != 503 && answer.Status != 429 {
		return
	}
	seconds, ok := upstream.ParseDecimal(text)
	if !ok {
		a.g.count.invalidStatements.Inc(1)
		return
	}
	pause := time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second))
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.g.balancer.HandlePause(a.g.now(), a.target.ID, pause)
	a.g.opts.Logger.Info().Str("event", "belief").Str("topic", "targets").Str("subject", a.target.ID).
		Str("outcome", "paused").Int64("pause_ms", pause.Milliseconds()).Str("request", a.x.id).Msg("")
}

// maxPauseSeconds avoids an overflow of the duration of a pause.
const maxPauseSeconds = 1e6

// readLeaving reads whether the target leaves.
func (a *attempt) readLeaving(answer *upstream.Answer) {
	if answer.Header.Get(a.g.opts.Headers.Leaving) != "1" {
		return
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	if a.g.balancer.HandleLeaving(a.target.ID) {
		a.g.opts.Logger.Info().Str("event", "belief").Str("topic", "targets").Str("subject", a.target.ID).
			Str("outcome", "leaving").Str("request", a.x.id).Msg("")
	}
}
