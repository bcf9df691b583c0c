package mapper

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

// Guards against the end of a leader's process, and against a change that engines reject: a layer has fewer experts
// than the group has ranks, so that some ranks have none.
func TestRanksWithoutExpertsGetSome(t *testing.T) {
	const ranks = largeGroupExperts + 8
	synctest.Test(t, func(t *testing.T) {
		l := startLargeGroup(ranks)
		defer l.stop()
		l.mu.Lock()
		l.maxCopies = 1
		l.mu.Unlock()
		_, ok := l.waitSwitched(20 * time.Second)
		assert.Assert(t, ok, "the group has changed no map")
	})
}

// Guards against an expert that a rank counts as having although it has none, and that it would have to copy.
func TestFillersAreNotCopied(t *testing.T) {
	shape := rebalance.Shape{Ranks: 3, Layers: 1, Experts: 2, SlotsPerRank: 2}
	active := [][][]uint16{{{0}, {1}, {}}}
	demand := rebalance.Popularity{Experts: 2, Load: []float64{1, 9}}
	m := mapFromRows(shape, active, demand)
	assert.DeepEqual(t, m.Slots, []uint16{0, 0, 1, 1, 0, 0})
	assert.DeepEqual(t, withoutFillers(rowsFromMap(m), active, m), active)
	planned := [][][]uint16{{{0}, {1}, {0, 1}}}
	assert.DeepEqual(t, withoutFillers(planned, active, m), [][][]uint16{{{0}, {1}, {1}}})
	needed := [][][]uint16{{{1}, {1}, {0}}}
	assert.DeepEqual(t, withoutFillers(needed, active, m), [][][]uint16{{{1}, {1}, {0}}})
}

// Guards against the end of a leader's process: a rank reports experts that do not fit the engine's description.
func TestOddExpertsAreNotPlannedWith(t *testing.T) {
	for name, experts := range map[string][][]uint16{
		"too few layers": {{0, 1}}, "too many layers": {{0}, {0}, {0}}, "unknown expert": {{0}, {8}}, "too many experts": {{0}, {0, 1, 2, 3, 4}},
	} {
		m := newFuzzedLeader(t)
		l := m.leaderState
		l.shape.Ranks = 2
		states := make([]mapswitch.State, 2)
		l.handleHeartbeat(nil, 0, &heartbeat{Experts: [][]uint16{{0, 2, 4, 6}, {0, 2, 4, 6}}})
		l.handleHeartbeat(nil, 1, &heartbeat{Experts: [][]uint16{{1, 3, 5, 7}, {1, 3, 5, 7}}})
		assert.Assert(t, l.activeMap(states) != nil)
		l.handleHeartbeat(nil, 1, &heartbeat{Experts: experts})
		assert.Assert(t, l.activeMap(states) == nil, name)
	}
}
