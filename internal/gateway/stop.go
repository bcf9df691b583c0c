package gateway

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/settings"
)

const (
	// stopPollInterval is the interval at which a stop checks whether all requests have
	// ended.
	stopPollInterval = 100 * time.Millisecond
	// stopLogInterval is the interval of the log lines of a stop that waits, which show how far it has
	// come if the process is killed.
	stopLogInterval = time.Second
	// stopMargin is the part of the stop timeout that is reserved for the end of the
	// process.
	stopMargin = 700 * time.Millisecond
)

// timeSinceStop returns the time since the stop began, or zero if it has not begun.
func (g *Gateway) timeSinceStop() time.Duration {
	at := g.stoppedAt.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at)
}

// Stop makes Ready fail at once and goes on serving requests that still arrive. It returns
// when no request is in flight or partly read and callers have had time to move to other gateways,
// or at the stop timeout.
func (g *Gateway) Stop(ctx context.Context) {
	now := time.Now()
	g.stoppedAt.Store(&now)
	g.post(ctx, stopRequested{})
	limit := g.opts.Settings.Limits.StopTimeout - stopMargin
	nextLine := stopLogInterval
	for g.timeSinceStop() < limit {
		if g.timeSinceStop() > stopIdleTime+sweepInterval && g.nothingRead() {
			break
		}
		if g.timeSinceStop() >= nextLine {
			nextLine += stopLogInterval
			g.opts.Logger.Info().Str("event", "stop-waits").Int64("requests", g.inFlight.Load()).
				Int64("stop_ms", g.timeSinceStop().Milliseconds()).Msg("")
		}
		time.Sleep(stopPollInterval)
	}
	g.logUnfinished()
	g.opts.Logger.Info().Str("event", "stop-ends").Int64("requests", g.inFlight.Load()).
		Int64("took_ms", g.timeSinceStop().Milliseconds()).Msg("")
}

// nothingRead reports whether no request is in flight or partly read. The number in flight is checked on both
// sides, since a request that is partly read may become one that is in flight, and be followed by another.
func (g *Gateway) nothingRead() bool {
	return g.inFlight.Load() == 0 && !g.server.partlyRead() && g.inFlight.Load() == 0
}

// Reload applies the limits and the routing between zones of changed settings.
func (g *Gateway) Reload(ctx context.Context, s *settings.Gateway) {
	r := settingsReloaded{limits: s.Limits, zones: s.ZoneRouting, done: make(chan struct{})}
	g.post(ctx, r)
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}
