package mapper

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a group that stands still for good: a rank of which no process leads holds a pass,
// as after a process that has ended in the middle of a change of the map.
func TestLeaderEndsTheHoldOfAnyRank(t *testing.T) {
	const ranks = 70 // with 16 layers of 192 experts and three places a rank
	for _, holder := range []int{1, ranks - 1} {
		synctest.Test(t, func(t *testing.T) {
			l := startLargeGroup(ranks)
			defer l.stop()
			_, ok := l.waitSwitched(5 * time.Second)
			assert.Assert(t, ok)
			l.mu.Lock()
			held := l.pass + 1
			l.ranks[holder].held = held
			l.mu.Unlock()
			time.Sleep(2 * time.Second)
			assert.Assert(t, !l.held(holder), "rank %d still holds pass %d", holder, held)
			l.mu.Lock()
			defer l.mu.Unlock()
			assert.Assert(t, l.pass > held)
			assert.Assert(t, !l.versionsDiffer)
		})
	}
}
