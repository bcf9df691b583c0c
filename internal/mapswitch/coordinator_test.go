package mapswitch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// pending contains the commands that a coordinator has returned and that are not sent yet.
type pending struct{ commands []Command }

// runSeed simulates one seed: two coordinators without knowledge of each other, restarts,
// new epochs, and orders that are lost or carried out late. It returns the final state.
func runSeed(seed uint64, size, steps int, lossRate float64, restarts bool) *simulation {
	sim := newSimulation(seed, size, lossRate)
	runSteps(sim, size, steps, restarts)
	return sim
}

func runSteps(sim *simulation, size, steps int, restarts bool) {
	unsent := make([]pending, size)
	for step := range steps {
		switch sim.rng.IntN(10) {
		case 0, 1, 2:
			sim.tick()
		case 3:
			sim.deliverDelayed()
		case 4:
			sim.injectFault(unsent, restarts)
		default:
			sim.runRound(sim.rng.IntN(sim.leaders), unsent, uint16(step))
		}
		if sim.mapsDiffer {
			return
		}
	}
}

// injectFault occasionally ends a coordinator's process or starts a new epoch of the group.
func (sim *simulation) injectFault(unsent []pending, restarts bool) {
	if !restarts || sim.rng.IntN(8) != 0 {
		return
	}
	if sim.rng.IntN(6) == 0 {
		sim.epoch++
		for i := range sim.engines {
			sim.engines[i] = engine{held: NoPass}
		}
		return
	}
	rank := sim.rng.IntN(sim.leaders)
	sim.coordinators[rank] = nil
	unsent[rank] = pending{}
}

// runRound runs one round of a rank's coordinator, and sometimes begins a change if one may
// begin.
func (sim *simulation) runRound(rank int, unsent []pending, mapNumber uint16) {
	c := sim.coordinators[rank]
	if c == nil {
		c = New(rank, len(sim.engines), sim.epoch)
		sim.coordinators[rank] = c
	}
	states, ok := sim.exchange(rank, unsent[rank].commands)
	if !ok {
		return
	}
	before := c.Phase()
	unsent[rank].commands = c.Round(states)
	if before == Releasing && c.Phase() == Idle {
		sim.changes++
	}
	if c.Ready() && sim.rng.IntN(4) == 0 {
		c.Begin(mapOf(mapNumber, len(sim.engines)), digestsOf(mapNumber, len(sim.engines)), 0)
	}
}

func TestRanksNeverDifferUnderLateOrdersAndRestarts(t *testing.T) {
	changes := 0
	for seed := range uint64(4000) {
		sim := runSeed(seed, 3, 1500, 0.3, true)
		assert.Assert(t, !sim.mapsDiffer, "seed %d: ranks with different maps at pass %d", seed, sim.pass)
		changes += sim.changes
	}
	assert.Assert(t, changes > 4000, "only %d changes were made", changes)
}

func TestRanksNeverDifferWhenMostAnswersAreLost(t *testing.T) {
	for seed := range uint64(1500) {
		sim := runSeed(seed, 3, 2000, 0.7, true)
		assert.Assert(t, !sim.mapsDiffer, "seed %d: ranks with different maps at pass %d", seed, sim.pass)
	}
}

// TestRanksNeverDifferWithManyLeaders plays a group in which most ranks lead at the same time, as
// when no beacons arrive, and in which orders are carried out again later, as when a request is
// passed on by two ranks.
func TestRanksNeverDifferWithManyLeaders(t *testing.T) {
	const ranks = 12
	for _, leaders := range []int{2, 9} {
		changes := 0
		for seed := range uint64(200) {
			sim := newSimulation(seed, ranks, 0.1)
			sim.leaders, sim.duplicates = leaders, true
			runSteps(sim, ranks, 3000, true)
			assert.Assert(t, !sim.mapsDiffer, "seed %d: ranks with different maps at pass %d", seed, sim.pass)
			changes += sim.changes
		}
		t.Logf("%d leaders: %d changes", leaders, changes)
		assert.Assert(t, changes > 0)
	}
}

func TestLosslessGroupCompletesChanges(t *testing.T) {
	for seed := range uint64(50) {
		sim := newSimulation(seed, 8, 0)
		unsent := make([]pending, 8)
		for step := range 4000 {
			if step%4 == 0 {
				sim.tick()
			}
			sim.runRound(0, unsent, uint16(step))
		}
		assert.Assert(t, !sim.mapsDiffer)
		assert.Assert(t, sim.changes >= 20, "seed %d: %d changes", seed, sim.changes)
	}
}

// TestSimulationDetectsReleaseWithoutVerification checks that the simulation detects a
// coordinator that releases the hold before it has observed that every rank is armed.
func TestSimulationDetectsReleaseWithoutVerification(t *testing.T) {
	found := false
	for seed := uint64(0); seed < 400 && !found; seed++ {
		sim := newSimulation(seed, 3, 0.3)
		unsent := make([]pending, 3)
		for step := range 1500 {
			sim.runRound(0, unsent, uint16(step))
			if c := sim.coordinators[0]; c.Phase() == Arming {
				c.phase = Releasing
			}
			sim.tick()
			sim.deliverDelayed()
		}
		found = sim.mapsDiffer
	}
	assert.Assert(t, found, "the simulation did not detect the planted fault")
}

// detects reports whether the simulation finds ranks with different maps in one of the seeds. Some
// leaders run rounds, and plant alters a coordinator, or the simulation, after each of its rounds.
func detects(seeds uint64, lossRate float64, leaders int, plant func(sim *simulation, c *Coordinator, unsent []pending)) bool {
	const size = 3
	for seed := range seeds {
		sim := newSimulation(seed, size, lossRate)
		unsent := make([]pending, size)
		for step := range 1500 {
			rank := sim.rng.IntN(leaders)
			sim.runRound(rank, unsent, uint16(step))
			plant(sim, sim.coordinators[rank], unsent)
			if sim.rng.IntN(3) == 0 {
				sim.tick()
			}
			if sim.rng.IntN(8) == 0 {
				sim.deliverDelayed()
			}
		}
		if sim.mapsDiffer {
			return true
		}
	}
	return false
}

// skipFence makes a coordinator that settles a hold take all ranks for fenced.
func skipFence(c *Coordinator) {
	for i := range c.fenced {
		c.fenced[i] = true
	}
}

// TestSimulationDetectsMissingFence checks that the simulation detects a coordinator that
// settles a hold and releases it without making late arm orders fail.
func TestSimulationDetectsMissingFence(t *testing.T) {
	assert.Assert(t, detects(3000, 0.5, 1, func(sim *simulation, c *Coordinator, _ []pending) {
		if c.Phase() == Arming && sim.rng.IntN(3) == 0 {
			c.startSettling(c.rank, c.holdPass)
		}
		if c.Phase() == Settling {
			skipFence(c)
		}
	}), "the simulation did not detect the planted fault")
}

// endAllProcesses ends the coordinators of all ranks, with the orders that they have not sent.
func (sim *simulation) endAllProcesses() { clear(sim.coordinators) }

// TestHoldOfAnyRankIsSettled ends all processes at any moment of a change, which may leave holds
// without an owner at any ranks, and late orders. A process of a single rank must let the group go
// on.
func TestHoldOfAnyRankIsSettled(t *testing.T) {
	const size = 5
	for seed := range uint64(600) {
		sim := newSimulation(seed, size, 0.3)
		sim.leaders = size
		runSteps(sim, size, 100+int(seed), true)
		sim.endAllProcesses()
		last := sim.rng.IntN(size)
		sim.lossRate = 0
		unsent := make([]pending, size)
		for step := range 400 {
			sim.tick()
			sim.deliverDelayed()
			sim.runRound(last, unsent, uint16(step))
		}
		begun := sim.pass
		for step := range 100 {
			sim.tick()
			sim.runRound(last, unsent, uint16(step))
		}
		assert.Assert(t, !sim.mapsDiffer, "seed %d: ranks with different maps at pass %d", seed, sim.pass)
		assert.Assert(t, sim.pass > begun, "seed %d: no pass begins after %d, led by rank %d", seed, begun, last)
	}
}

// TestSimulationDetectsReusedVersions checks that the simulation detects a process that issues
// versions again which an earlier process of its rank has issued.
func TestSimulationDetectsReusedVersions(t *testing.T) {
	assert.Assert(t, detects(400, 0.5, 1, func(sim *simulation, c *Coordinator, unsent []pending) {
		c.blockedUntilPass = NoPass
		sim.injectFault(unsent, true)
	}), "the simulation did not detect the planted fault")
}

// TestSimulationDetectsUnfencedHoldOfAnotherRank checks that the simulation detects a coordinator
// that disarms ranks for the hold of another rank, whose coordinator runs, without a fence.
func TestSimulationDetectsUnfencedHoldOfAnotherRank(t *testing.T) {
	assert.Assert(t, detects(3000, 0.3, 2, func(_ *simulation, c *Coordinator, _ []pending) {
		if c.Phase() == Settling && c.holder != c.rank {
			skipFence(c)
		}
	}), "the simulation did not detect the planted fault")
}

// TestVersionsOfAnEarlierProcessAreNotReused lets a process issue a version that no rank shows
// before the process ends. A prepare order that is carried out late must not be one of the next
// process's change.
func TestVersionsOfAnEarlierProcessAreNotReused(t *testing.T) {
	const size = 2
	pass := int64(20)
	states := func() []State {
		s := State{Open: true, Epoch: 3, Pass: pass, HeldPass: NoPass}
		return []State{s, s}
	}
	// begin runs a new process until it begins a change, and returns the change's version.
	begin := func(n uint16) int64 {
		c := New(1, size, 3)
		for !c.Begin(mapOf(n, size), digestsOf(n, size), 0) {
			c.Round(states())
			pass++
		}
		return c.Version()
	}
	first := begin(2)
	second := begin(4)
	assert.Assert(t, second > first, "versions %d and %d", first, second)
}

// TestFenceVersionsAreNeverThoseOfChanges checks that a late order that prepares a fence can't be
// taken for one of a change of the next process.
func TestFenceVersionsAreNeverThoseOfChanges(t *testing.T) {
	const size = 3
	for rank := range size {
		c := New(rank, size, 0)
		for range 5 {
			change, fence := c.nextVersion(false), c.nextVersion(true)
			assert.Equal(t, change%size, int64(rank))
			assert.Equal(t, fence%size, int64(rank))
			assert.Equal(t, change/size%2, int64(0))
			assert.Equal(t, fence/size%2, int64(1))
			c.highestVersion = max(change, fence)
		}
	}
}

// TestVersionsGoOnWherePassesAreCountedAnew checks that a process begins changes in an epoch in
// which the engines count their passes from zero.
func TestVersionsGoOnWherePassesAreCountedAnew(t *testing.T) {
	c := New(0, 1, 0)
	for i, pass := range []int64{1 << 30, 3} {
		c.Round([]State{{Open: true, Epoch: int64(i + 1), Pass: pass, HeldPass: NoPass}})
		assert.Assert(t, c.Begin(mapOf(1, 1), digestsOf(1, 1), 0), "pass %d", pass)
	}
}

// TestAnswersToAnAbandonedChangeDoNotCount abandons a change after its orders were sent and
// before the answers arrive, and begins another one. The answers must not count for the
// second change.
func TestAnswersToAnAbandonedChangeDoNotCount(t *testing.T) {
	c := New(0, 2, 1)
	idle := func() []State {
		return []State{{Open: true, Epoch: 2, Pass: 9, HeldPass: NoPass, Result: Accepted}, {Open: true, Epoch: 2, Pass: 9, HeldPass: NoPass, Result: Accepted}}
	}
	c.Round(idle())
	assert.Assert(t, c.Begin(mapOf(1, 2), digestsOf(1, 2), 0))
	assert.Equal(t, len(c.Round(idle())), 2) // both ranks receive a prepare order
	c.Abandon()
	assert.Assert(t, c.Begin(mapOf(2, 2), digestsOf(2, 2), 0))
	assert.Equal(t, len(c.Round(idle())), 2, "want a prepare order to each rank: answers to the abandoned change must not count")
}

// TestUnansweredOrderDelaysTheHeldPass guards against a pause of the group: ranks that leave orders
// unanswered need several rounds to arm, and the group must not reach the held pass before that.
func TestUnansweredOrderDelaysTheHeldPass(t *testing.T) {
	for _, test := range []struct {
		answer Result
		lead   int64
	}{{Accepted, holdLead}, {Unknown, lateHoldLead}} {
		const pass = 9
		c := New(0, 2, 1)
		states := func(version int64, digests []uint64, result Result) []State {
			s := State{Open: true, Epoch: 2, Pass: pass, HeldPass: NoPass, Prepared: version, Result: Accepted}
			a, b := s, s
			a.Digest, b.Digest, b.Result = digests[0], digests[1], result
			return []State{a, b}
		}
		none, digests := []uint64{0, 0}, digestsOf(1, 2)
		c.Round(states(0, none, Accepted))
		assert.Assert(t, c.Begin(mapOf(1, 2), digests, 0))
		c.Round(states(0, none, Accepted)) // sends the prepare orders
		c.Round(states(0, none, test.answer))
		commands := c.Round(states(c.Version(), digests, Accepted))
		assert.Equal(t, len(commands), 1)
		assert.DeepEqual(t, commands[0].Order, Order{Op: Hold, Epoch: 2, Pass: pass + test.lead})
	}
}

// TestRequestWithoutOrderIsNoFence guards against a hold that is released although a rank was sent no
// fence: it has received a request without the order that the coordinator returned.
func TestRequestWithoutOrderIsNoFence(t *testing.T) {
	const version, pass = 4, 11
	c := New(0, 2, 1)
	states := func() []State {
		s := State{Open: true, Epoch: 2, Pass: 9, HeldPass: NoPass, Prepared: version, Result: NoOrder}
		held := s
		held.HeldPass = pass
		return []State{held, s}
	}
	c.Round(states()) // finds the hold
	for range 4 {
		commands := c.Round(states())
		assert.Equal(t, len(commands), 2)
		for _, command := range commands {
			assert.Equal(t, command.Order.Op, Prepare)
			assert.Assert(t, command.Order.Version > version)
		}
	}
}
