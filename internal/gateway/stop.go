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
	// quietPollInterval is the interval at which its end checks whether anything is left to read.
	quietPollInterval = 20 * time.Millisecond
	// stopLogInterval is the interval of the log lines of a stop that waits, which show how far it has
	// come if the process is killed.
	stopLogInterval = time.Second
	// admissionTime is how long after the signal requests are taken in a stop. It is shorter than
	// stopIdleTime by the delays that are not detected as pauses.
	admissionTime = stopIdleTime - pauseThreshold
	// exitTime is the time that the process takes to write its last log lines and to end.
	exitTime = 200 * time.Millisecond
	// stopMargin is the part of the stop timeout that is reserved for the end of the process, and for
	// delays of the signal that are not detected as pauses.
	stopMargin = pauseThreshold + exitTime
)

// stopTimes are the times of the signal that began a stop.
type stopTimes struct {
	// noticed is when the process noticed the signal.
	noticed time.Time
	// signalled is the earliest time at which the signal may have been sent, apart from delays below
	// pauseThreshold.
	signalled time.Time
	// timeout is the stop timeout that is in force for this stop.
	timeout time.Duration
}

// beginStop records the times of a signal that is noticed now.
func (g *Gateway) beginStop() *stopTimes {
	noticed := time.Now()
	g.mu.Lock()
	signalled := g.pauses.EarliestSignal(noticed.Sub(g.start))
	g.mu.Unlock()
	s := &stopTimes{noticed: noticed, signalled: g.start.Add(signalled), timeout: g.inForce.Load().Limits.StopTimeout}
	g.stopTimes.Store(s)
	return s
}

// timeSinceSignal returns the longest time that may have passed since the stop signal was sent, apart from
// delays below pauseThreshold, or zero if no stop has begun.
func (g *Gateway) timeSinceSignal() time.Duration {
	s := g.stopTimes.Load()
	if s == nil {
		return 0
	}
	return time.Since(s.signalled)
}

// timeToKill returns the least time that is left until the process may be killed, less stopMargin. While no stop has
// begun, it is that of a stop that begins now.
func (g *Gateway) timeToKill() time.Duration {
	timeout := g.inForce.Load().Limits.StopTimeout
	if s := g.stopTimes.Load(); s != nil {
		timeout = s.timeout
	}
	return timeout - stopMargin - g.timeSinceSignal()
}

// timeToEnd returns the time that is left until the process ends whatever is in flight. It counts from when the
// signal was noticed: an answer that a kill may cut off goes on until then, as it may as well be whole before.
func (s *stopTimes) timeToEnd() time.Duration {
	return s.timeout - stopMargin - time.Since(s.noticed)
}

// Stop makes Ready fail at once and goes on serving requests that still arrive. It returns
// when no request is in flight or partly read and callers have had time to move to other gateways,
// or at the stop timeout. Requests that arrive from then on are refused; ending Serve closes their connections.
// What Stop may leave unfinished is logged before the process may be killed. It reports whether no request was in
// flight or partly read at its end, and all callers had got their answers.
func (g *Gateway) Stop(ctx context.Context) (whole bool) {
	times := g.beginStop()
	g.post(ctx, stopRequested{})
	nextLine, logged := stopLogInterval, false
	for times.timeToEnd() > 0 {
		failing := time.Since(times.noticed)
		if failing > stopIdleTime+sweepInterval && g.server.endIfIdle() {
			break
		}
		if failing >= nextLine {
			nextLine += stopLogInterval
			g.opts.Logger.Info().Str("event", "stop-waits").Int64("requests", g.inFlight.Load()).
				Int64("stop_ms", g.timeSinceSignal().Milliseconds()).Msg("")
		}
		if g.timeToKill() <= 0 && !logged {
			logged = true
			g.logUnfinished()
		}
		time.Sleep(min(stopPollInterval, times.timeToEnd()))
	}
	g.server.end()
	if !logged {
		g.logUnfinished()
	}
	g.awaitQuiet()
	left, unfinished := g.inFlight.Load(), g.server.unfinished()
	g.opts.Logger.Info().Str("event", "stop-ends").Int64("requests", left).Int("connections", unfinished).
		Int64("took_ms", time.Since(times.noticed).Milliseconds()).Msg("")
	return left == 0 && unfinished == 0
}

// awaitQuiet gives the event loop the time to refuse requests that are on their way: it waits for requestTime and
// until nothing is left to read, but not longer than until the process may be killed.
func (g *Gateway) awaitQuiet() {
	ended := time.Now()
	for g.timeToKill() > 0 && (time.Since(ended) < requestTime || !g.server.quiet()) {
		time.Sleep(quietPollInterval)
	}
}

// WaitClosed waits until Serve has closed the listener and the connections of callers, but not longer than until the
// process may be killed. Sockets that the end of the process closes accept callers until then, which may take a
// second on a busy machine, and nobody answers them.
func (g *Gateway) WaitClosed() {
	select {
	case <-g.server.closed:
	case <-time.After(max(exitTime, g.timeToKill())):
		g.opts.Logger.Warn().Str("event", "not-closed").Int64("stop_ms", g.timeSinceSignal().Milliseconds()).Msg("")
	}
}

// nothingRead reports whether no request is in flight or partly read and no response is on its way. The
// number in flight is checked on both sides, since a request that is partly read may become one that is in
// flight, and be followed by another.
func (g *Gateway) nothingRead() bool {
	return g.inFlight.Load() == 0 && g.server.unfinished() == 0 && g.inFlight.Load() == 0
}

// Reload applies the limits and the routing between zones of changed settings. A stop that has begun goes on with its
// timeout.
func (g *Gateway) Reload(ctx context.Context, s *settings.Gateway) {
	g.inForce.Store(s)
	r := settingsReloaded{limits: s.Limits, zones: s.ZoneRouting, done: make(chan struct{})}
	g.post(ctx, r)
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}
