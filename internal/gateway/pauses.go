package gateway

import (
	"context"
	"time"
)

const (
	// beatInterval is the interval at which the gateway records that it runs.
	beatInterval = 100 * time.Millisecond
	// pauseThreshold is the least time without a record that counts as a pause of the process. It is
	// shorter than retry.MaxDelay, which allows for delays that are not detected.
	pauseThreshold = 300 * time.Millisecond
)

// detectPauses records until ctx ends that the gateway runs.
func (g *Gateway) detectPauses(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.recordBeat()
		}
	}
}

// recordBeat records that the gateway runs, and logs a pause before that.
func (g *Gateway) recordBeat() {
	g.mu.Lock()
	paused := g.pauses.Beat(g.now())
	g.mu.Unlock()
	g.logPause(paused)
}

// logPause writes the log line of a pause of the process.
func (g *Gateway) logPause(paused time.Duration) {
	if paused == 0 {
		return
	}
	g.count.pauses.Inc(1)
	g.opts.Logger.Warn().Str("event", "paused").Int64("paused_ms", paused.Milliseconds()).Msg("")
}
