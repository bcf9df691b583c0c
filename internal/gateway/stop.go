package gateway

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/settings"
)

const (
	// stopPoll is the period in which a stop looks whether all work has ended.
	stopPoll = 100 * time.Millisecond
	// stopMargin is kept before the stop timeout for the process's own end.
	stopMargin = 700 * time.Millisecond
)

// stoppedFor returns how long ago the stop began, or zero.
func (g *Gateway) stoppedFor() time.Duration {
	at := g.stoppedAt.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at)
}

// Stop refuses readiness at once, goes on serving what still comes, and returns when
// nothing is in flight and the callers have had time to leave, or at the timeout.
func (g *Gateway) Stop(ctx context.Context) {
	now := time.Now()
	g.stoppedAt.Store(&now)
	g.post(ctx, stopAsked{})
	limit := g.opts.Settings.Limits.StopTimeout - stopMargin
	for g.stoppedFor() < limit {
		if g.stoppedFor() > stopIdle+sweepInterval && g.inFlight.Load() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	g.opts.Logger.Info().Str("event", "stop-ends").Int64("requests", g.inFlight.Load()).
		Int64("took_ms", g.stoppedFor().Milliseconds()).Msg("")
}

// Reload puts the limits of changed settings in force.
func (g *Gateway) Reload(ctx context.Context, s *settings.Gateway) {
	r := reloaded{limits: s.Limits, done: make(chan struct{})}
	g.post(ctx, r)
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}
