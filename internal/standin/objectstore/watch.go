package objectstore

import (
	"context"
	"strings"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// publish appends a watch event, subject to the simulated faults of events, and wakes
// the waiting watches; the caller holds m.mu.
func (m *Memory) publish(e platform.Event) {
	switch draw := m.random.Float64(); {
	case draw < m.faults.MissEvents:
	case draw < m.faults.MissEvents+m.faults.RepeatEvents:
		m.events = append(m.events, e, e)
	default:
		m.events = append(m.events, e)
	}
	if excess := len(m.events) - maxEvents; excess > 0 {
		m.compacted = m.events[excess-1].Object.Version
		m.events = append([]platform.Event(nil), m.events[excess:]...)
	}
	m.wakeWatches()
}

func (m *Memory) wakeWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Watch implements platform.Store.
func (m *Memory) Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (platform.WatchResult, error) {
	if err := m.beginCall(ctx, func(c *Counters) { c.Watch++ }); err != nil {
		return platform.WatchResult{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		result, changed, err := m.eventsAfter(prefix, revision)
		if err != nil || len(result.Events) > 0 {
			return result, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return result, nil
		case <-ctx.Done():
			return platform.WatchResult{}, platform.ErrUnavailable
		}
	}
}

// eventsAfter returns the events under prefix after revision, and a channel that is
// closed on the next change.
func (m *Memory) eventsAfter(prefix string, revision uint64) (platform.WatchResult, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return platform.WatchResult{}, nil, platform.ErrUnavailable
	}
	if revision < m.compacted {
		return platform.WatchResult{}, nil, platform.ErrCompacted
	}
	result := platform.WatchResult{Revision: m.revision}
	for _, e := range m.events {
		if e.Object.Version > revision && strings.HasPrefix(e.Object.Key, prefix) {
			e.Object = clone(e.Object)
			result.Events = append(result.Events, e)
		}
	}
	return result, m.changed, nil
}
