package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// testRetryFleet runs a simulation of some sizes of the fleet, with fixed seeds.
func testRetryFleet(t *testing.T, run func(f *retryFleet)) {
	t.Helper()
	for _, size := range []struct {
		gateways int
		rate     float64
		slack    int
		seeds    uint64
	}{{2, 20, 20, 3}, {7, 145, 90, 3}, {16, 345, 228, 3}, {350, 700, 400, 1}} {
		if size.gateways > maxSimulatedGateways {
			continue
		}
		for seed := range size.seeds {
			synctest.Test(t, func(t *testing.T) {
				f := newRetryFleet(t, size.gateways, size.rate, size.slack, seed)
				run(f)
				f.check(fmt.Sprintf("%d gateways, seed %d", size.gateways, seed))
			})
		}
	}
}

// TestFailingTargetsDoNotExceedTheRetryBudget guards against counting requests for longer than a window.
func TestFailingTargetsDoNotExceedTheRetryBudget(t *testing.T) {
	testRetryFleet(t, func(f *retryFleet) {
		f.runUntil(44 * time.Second)
		f.checkUse(failuresFrom, 44*time.Second)
	})
}

// TestRestartsDoNotRenewTheRetryBudget guards against a process that takes for unspent what the process
// before it has spent: all gateways are killed once.
func TestRestartsDoNotRenewTheRetryBudget(t *testing.T) { testKills(t, 1) }

// TestIdleFleetKeepsItsRetryBudget guards against the slack that a process adds to what its requests have
// earned, when the first requests come and again after a kill of all gateways.
func TestIdleFleetKeepsItsRetryBudget(t *testing.T) {
	testRetryFleet(t, func(f *retryFleet) {
		rate := f.rate
		f.rate = 0
		f.runUntil(failuresFrom)
		f.rate = rate
		f.runUntil(failuresFrom + 2*time.Second)
		assert.Assert(f.t, len(f.arrived) > f.limits.RetrySlack/3, "%d repeats, the slack is %d", len(f.arrived), f.limits.RetrySlack)
		for _, kill := range []time.Duration{3, 15} {
			f.runUntil(failuresFrom + kill*time.Second)
			for _, s := range f.slots {
				f.kill(s)
				f.startProcess(s)
			}
		}
		f.runUntil(50 * time.Second)
	})
}

// TestRestartsInSeriesDoNotRenewTheRetryBudget guards against the same if all gateways are killed every
// two seconds.
func TestRestartsInSeriesDoNotRenewTheRetryBudget(t *testing.T) { testKills(t, 5) }

func testKills(t *testing.T, kills int) {
	t.Helper()
	testRetryFleet(t, func(f *retryFleet) {
		for k := range kills {
			f.runUntil(failuresFrom + time.Duration(6+2*k)*time.Second)
			for _, s := range f.slots {
				f.kill(s)
				f.startProcess(s)
			}
		}
		f.runUntil(44 * time.Second)
	})
}

// TestRollingRestartsDoNotRenewTheRetryBudget guards against the same in a planned restart of one
// gateway after the other.
func TestRollingRestartsDoNotRenewTheRetryBudget(t *testing.T) {
	testRetryFleet(t, func(f *retryFleet) {
		gap := 6 * time.Second / time.Duration(len(f.slots))
		for round := range 2 {
			for i, s := range f.slots {
				f.runUntil(failuresFrom + time.Duration(1+8*round)*time.Second + time.Duration(i)*gap)
				f.kill(s)
				f.startProcess(s)
			}
		}
		f.runUntil(44 * time.Second)
	})
}

// TestPausesDoNotExceedTheRetryBudget guards against counting requests as new that waited for a
// process which stood still, and repeats as old that were decided before that and sent afterwards.
func TestPausesDoNotExceedTheRetryBudget(t *testing.T) { testPauses(t, 3*time.Second) }

// TestLongPausesDoNotExceedTheRetryBudget guards against the same in pauses of a large part of a window.
func TestLongPausesDoNotExceedTheRetryBudget(t *testing.T) { testPauses(t, 7*time.Second) }

func testPauses(t *testing.T, length time.Duration) {
	t.Helper()
	testRetryFleet(t, func(f *retryFleet) {
		for _, at := range []time.Duration{0, length + 3*time.Second} {
			f.runUntil(failuresFrom + 4*time.Second + at)
			for _, s := range f.slots[:(9*len(f.slots)+9)/10] {
				f.freeze(s, length)
			}
		}
		f.runUntil(54 * time.Second)
	})
}

// TestReplacedInstancesDoNotExceedTheRetryBudget guards against shares of new instances beside those of
// the instances that they replace, which the others know from messages, some of which are lost.
func TestReplacedInstancesDoNotExceedTheRetryBudget(t *testing.T) {
	testRetryFleet(t, func(f *retryFleet) {
		for i := range (len(f.slots) + 1) / 2 {
			f.runUntil(failuresFrom + time.Duration(1000+200*i)*time.Millisecond)
			f.kill(f.slots[i])
			f.slots[i] = &fleetSlot{id: 1000 + i}
			f.startProcess(f.slots[i])
		}
		f.runUntil(44 * time.Second)
	})
}

// TestFleetKeepsItsRetryBudget mixes kills, pauses, cuts from the other gateways and new instances at
// random times.
func TestFleetKeepsItsRetryBudget(t *testing.T) {
	testRetryFleet(t, func(f *retryFleet) {
		base := f.rate
		for f.now() < 60*time.Second {
			f.runUntil(f.now() + time.Duration(f.rng.IntN(1500))*time.Millisecond)
			f.rate = base * (0.6 + f.rng.Float64())
			for range 1 + f.rng.IntN(len(f.slots)) {
				i := f.rng.IntN(len(f.slots))
				f.disrupt(f.slots[i], i)
			}
		}
	})
}

// disrupt plays one random disruption of the slot at an index.
func (f *retryFleet) disrupt(s *fleetSlot, i int) {
	switch f.rng.IntN(8) {
	case 0, 1:
		f.kill(s)
		f.startProcess(s)
	case 2, 3:
		f.freeze(s, time.Duration(500+f.rng.IntN(3500))*time.Millisecond)
	case 4:
		s.cutUntil = f.now() + time.Duration(f.rng.IntN(6000))*time.Millisecond
	case 5:
		f.kill(s)
		f.slots[i] = &fleetSlot{id: 1000 + len(f.registered)}
		f.startProcess(f.slots[i])
	}
}
