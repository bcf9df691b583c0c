package mapswitch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// pending is what a coordinator's process has sent and not looked at yet.
type pending struct{ commands []Command }

// explore plays one seed: two coordinators that don't know of each other, restarts,
// new epochs, orders that are lost or carried out late. It returns the world.
func explore(seed uint64, size, steps int, lossy float64, restarts bool) *world {
	w := newWorld(seed, size, lossy)
	exploreWorld(w, size, steps, restarts)
	return w
}

func exploreWorld(w *world, size, steps int, restarts bool) {
	out := make([]pending, size)
	for step := range steps {
		switch w.rng.IntN(10) {
		case 0, 1, 2:
			w.tick()
		case 3:
			w.deliverLate()
		case 4:
			w.disturb(out, restarts)
		default:
			w.coordinate(w.rng.IntN(min(2, size)), out, uint16(step))
		}
		if w.violated {
			return
		}
	}
}

// disturb seldom kills a coordinator or lets the group form anew.
func (w *world) disturb(out []pending, restarts bool) {
	if !restarts || w.rng.IntN(8) != 0 {
		return
	}
	if w.rng.IntN(6) == 0 {
		w.epoch++
		for i := range w.engines {
			w.engines[i] = engine{held: NoPass}
		}
		return
	}
	rank := w.rng.IntN(min(2, len(w.engines)))
	w.coordinators[rank] = nil
	out[rank] = pending{}
}

// coordinate runs one round of a rank's coordinator, and begins a change if it may.
func (w *world) coordinate(rank int, out []pending, seedOfMap uint16) {
	c := w.coordinators[rank]
	if c == nil {
		c = New(rank, len(w.engines), w.epoch)
		w.coordinators[rank] = c
	}
	states, ok := w.round(rank, out[rank].commands)
	if !ok {
		return
	}
	before := c.Phase()
	out[rank].commands = c.Round(states, mapOf(uint16(w.engines[rank].digest)))
	if before == Releasing && c.Phase() == Idle {
		w.changes++
	}
	if c.Ready() && w.rng.IntN(4) == 0 {
		digests := make([]uint64, len(w.engines))
		for i := range digests {
			digests[i] = uint64(seedOfMap)
		}
		c.Begin(mapOf(seedOfMap), digests, 0)
	}
}

func TestRanksNeverDifferUnderLateOrdersAndRestarts(t *testing.T) {
	changes := 0
	for seed := range uint64(4000) {
		w := explore(seed, 3, 1500, 0.3, true)
		assert.Assert(t, !w.violated, "seed %d: ranks with different maps at pass %d", seed, w.pass)
		changes += w.changes
	}
	assert.Assert(t, changes > 4000, "only %d changes were made", changes)
}

func TestRanksNeverDifferWhenMostAnswersAreLost(t *testing.T) {
	for seed := range uint64(1500) {
		w := explore(seed, 3, 2000, 0.7, true)
		assert.Assert(t, !w.violated, "seed %d: ranks with different maps at pass %d", seed, w.pass)
	}
}

func TestCalmGroupChangesOften(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorld(seed, 8, 0)
		out := make([]pending, 8)
		for step := range 4000 {
			if step%4 == 0 {
				w.tick()
			}
			w.coordinate(0, out, uint16(step))
		}
		assert.Assert(t, !w.violated)
		assert.Assert(t, w.changes >= 20, "seed %d: %d changes", seed, w.changes)
	}
}

// TestExplorationFindsReleaseWithoutVerification shows that the exploration can fail:
// a coordinator that releases the hold without having seen every rank armed.
func TestExplorationFindsReleaseWithoutVerification(t *testing.T) {
	found := false
	for seed := uint64(0); seed < 400 && !found; seed++ {
		w := newWorld(seed, 3, 0.3)
		out := make([]pending, 3)
		for step := range 1500 {
			w.coordinate(0, out, uint16(step))
			if c := w.coordinators[0]; c.Phase() == Arming {
				c.phase = Releasing
			}
			w.tick()
			w.deliverLate()
		}
		found = w.violated
	}
	assert.Assert(t, found, "the exploration did not find the planted fault")
}

// TestExplorationFindsMissingFence shows the same for a settling that releases the hold
// without making late arms fail.
func TestExplorationFindsMissingFence(t *testing.T) {
	found := false
	for seed := uint64(0); seed < 3000 && !found; seed++ {
		w := newWorld(seed, 3, 0.5)
		out := make([]pending, 3)
		for step := range 800 {
			w.coordinate(0, out, uint16(step))
			c := w.coordinators[0]
			if c.Phase() == Arming && w.rng.IntN(3) == 0 {
				c.settle(c.pass)
			}
			if c.Phase() == Settling {
				for i := range c.fenced {
					c.fenced[i] = true
				}
			}
			if w.rng.IntN(3) == 0 {
				w.tick()
			}
			if w.rng.IntN(8) == 0 {
				w.deliverLate()
			}
		}
		found = w.violated
	}
	assert.Assert(t, found, "the exploration did not find the planted fault")
}

// TestAnswersToAnAbandonedChangeDoNotCount gives up a change between its orders and
// their answers, and begins another one.
func TestAnswersToAnAbandonedChangeDoNotCount(t *testing.T) {
	c := New(0, 2, 1)
	idle := func() []State {
		return []State{{Open: true, Epoch: 2, Pass: 9, Held: NoPass, Result: Accepted}, {Open: true, Epoch: 2, Pass: 9, Held: NoPass, Result: Accepted}}
	}
	c.Round(idle(), nil)
	assert.Assert(t, c.Begin(mapOf(1), []uint64{1, 1}, 0))
	assert.Equal(t, len(c.Round(idle(), nil)), 2) // both ranks are told to prepare
	c.Abandon()
	assert.Assert(t, c.Begin(mapOf(2), []uint64{2, 2}, 0))
	assert.Equal(t, len(c.Round(idle(), nil)), 2, "accepted orders of the first change hide that the second was not given")
}
