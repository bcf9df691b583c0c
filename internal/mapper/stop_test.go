package mapper

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
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
