package mapper

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
	"github.com/gentiantrail/gentiantrail/internal/observe"
)

// held reports whether a rank holds the group.
func (g *fakeGroup) held(rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranks[rank].held != mapswitch.NoPass
}

// Guards against a group that stands still after a planned stop: the leader is asked to stop while
// it holds the group for a change of the map.
func TestStopEndsTheHold(t *testing.T) {
	for range 2 {
		synctest.Test(t, func(t *testing.T) {
			l := startLargeGroup(96)
			defer l.stop()
			for limit := time.Now().Add(10 * time.Second); !l.held(0) && time.Now().Before(limit); {
				time.Sleep(100 * time.Microsecond)
			}
			assert.Assert(t, l.held(0), "the leader has made no change")
			begin := time.Now()
			l.mappers[0].Stop(t.Context())
			assert.Assert(t, !l.held(0))
			assert.Assert(t, time.Since(begin) < stopTimeout)
			l.moveDemand()
			time.Sleep(time.Second)
			assert.Assert(t, !l.held(0), "a change began after the stop")
			l.mu.Lock()
			assert.Assert(t, !l.versionsDiffer)
			l.mu.Unlock()
		})
	}
}

// TestStopOfABusyMapperEndsInItsTime stops a mapper that handles no events, as while an engine does
// not answer: the stop must end with its time, and say that it may have left a change behind.
func TestStopOfABusyMapperEndsInItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		m := New(Options{
			PeerAddress: "10.0.0.1:7340", Metrics: tally.NoopScope, Service: "s",
			Engine: fakeEngine{newFakeGroup(1, 1, 1), 0}, DemandStore: emptyDemandStore{},
			Logger: observe.NewLogger(&out, "info", "test", "m"),
		})
		begin := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		m.Stop(ctx)
		assert.Assert(t, time.Since(begin) <= stopTimeout+stopPollInterval, "the stop took %v", time.Since(begin))
		assert.Assert(t, strings.Contains(out.String(), "event=stop-ends map_change=true"), out.String())
	})
}
