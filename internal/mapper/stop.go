package mapper

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
)

const (
	// stopTimeout bounds the time for which a stop waits for a change of the map. It is far above
	// the time of a change and below that within which a process has to stop.
	stopTimeout = 3 * time.Second
	// stopPollInterval is the interval at which a stop checks whether the change has ended.
	stopPollInterval = 20 * time.Millisecond
)

// Stop ends the work of this process: no change of the map begins, and Stop returns once the group
// is not held by this process's rank, or after stopTimeout. Run must end only after that, since a
// group that is held makes no passes.
func (m *Mapper) Stop(ctx context.Context) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	m.post(ctx, func(_ context.Context, m *Mapper) { m.beginStop() })
	ended := false
	for ; !ended && ctx.Err() == nil; time.Sleep(stopPollInterval) {
		ended = m.askMayEnd(ctx)
	}
	m.opts.Logger.Info().Str("event", "stop-ends").Bool("map_change", !ended).
		Int64("took_ms", time.Since(begin).Milliseconds()).Msg("")
}

// askMayEnd returns the result of mayEnd, or false if ctx ends before the events that wait have
// been handled.
func (m *Mapper) askMayEnd(ctx context.Context) bool {
	reply := make(chan bool, 1)
	m.post(ctx, func(_ context.Context, m *Mapper) { reply <- m.mayEnd() })
	select {
	case mayEnd := <-reply:
		return mayEnd
	case <-ctx.Done():
		return false
	}
}

// beginStop abandons a change for which no rank is armed yet.
func (m *Mapper) beginStop() {
	m.stopping = true
	if m.leaderState != nil {
		m.leaderState.coordinator.Abandon()
	}
	m.opts.Logger.Info().Str("event", "stopping").Bool("leading", m.isLeader).Bool("map_change", !m.mayEnd()).Msg("")
}

// mayEnd reports whether the process may end: it changes no map, and its rank does not hold the
// group.
func (m *Mapper) mayEnd() bool {
	if m.local.Group == "" {
		return true
	}
	return (m.leaderState == nil || !m.leaderState.mustFinish()) && m.local.State.HeldPass == mapswitch.NoPass
}
