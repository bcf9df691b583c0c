package mapswitch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// openRound is a round in which some ranks have not answered yet.
type openRound struct {
	// orders contains the order to each rank, or nil.
	orders   []*Order
	states   []State
	answered []bool
}

// newRound starts a round with the commands of a coordinator.
func (sim *simulation) newRound(commands []Command) *openRound {
	size := len(sim.engines)
	r := &openRound{orders: make([]*Order, size), states: make([]State, size), answered: make([]bool, size)}
	for i := range commands {
		r.orders[commands[i].Rank] = &commands[i].Order
	}
	return r
}

// askRanks sends the outstanding requests of a round and reports whether all ranks have answered. A rank
// carries out its order and reads its state at a moment of its own; its answer may be lost, and the
// request is then repeated with the order.
func (sim *simulation) askRanks(r *openRound) bool {
	done := true
	for rank := range r.answered {
		if r.answered[rank] {
			continue
		}
		if sim.rng.IntN(3) == 0 {
			done = false
			continue
		}
		result := NoOrder
		if o := r.orders[rank]; o != nil {
			result = sim.send(Command{Rank: rank, Order: *o})
		}
		if sim.rng.IntN(40) == 0 {
			sim.tick()
		}
		r.states[rank], r.answered[rank] = sim.state(rank, result), sim.rng.IntN(8) > 0
		done = done && r.answered[rank]
	}
	return done
}

// staleLeader is the coordinator of a rank with the round that is under way.
type staleLeader struct {
	round *openRound
	// pausedFor is the number of steps for which the leader sends nothing, as while another one leads.
	pausedFor int
}

// stepLeader advances the round of a rank's coordinator, which may pause in the middle of it.
func (sim *simulation) stepLeader(rank int, l *staleLeader, mapNumber uint16) {
	if l.pausedFor--; l.pausedFor > 0 {
		return
	}
	if sim.rng.IntN(60) == 0 {
		l.pausedFor = sim.rng.IntN(200)
	}
	c := sim.coordinators[rank]
	if c == nil {
		c = New(rank, len(sim.engines), sim.epoch)
		sim.coordinators[rank], l.round = c, nil
	}
	if l.round == nil {
		l.round = sim.newRound(nil)
	}
	if !sim.askRanks(l.round) {
		return
	}
	before := c.Phase()
	l.round = sim.newRound(c.Round(l.round.states))
	if before == Releasing && c.Phase() == Idle {
		sim.changes++
	}
	if c.Ready() && sim.rng.IntN(4) == 0 {
		c.Begin(mapOf(mapNumber, len(sim.engines)), digestsOf(mapNumber, len(sim.engines)), 0)
	}
}

// runStaleSeed simulates leaders whose rounds take long, so that the states of one round differ much in
// age.
func runStaleSeed(seed uint64, size, steps int, lossRate float64) *simulation {
	sim := newSimulation(seed, size, lossRate)
	sim.duplicates = seed%2 == 1
	leaders := make([]staleLeader, sim.leaders)
	for step := range steps {
		switch sim.rng.IntN(10) {
		case 0, 1:
			sim.tick()
		case 2:
			sim.deliverDelayed()
		case 3:
			if sim.rng.IntN(30) == 0 {
				rank := sim.rng.IntN(sim.leaders)
				sim.coordinators[rank] = nil
			}
		default:
			rank := sim.rng.IntN(sim.leaders)
			sim.stepLeader(rank, &leaders[rank], uint16(step))
		}
		if sim.mapsDiffer {
			break
		}
	}
	return sim
}

// TestRanksNeverDifferWithStatesOfDifferentAge guards against a hold that is released on the evidence of
// states that were read before it was found: a leader that has paused in the middle of a round goes on
// with the answers from before.
func TestRanksNeverDifferWithStatesOfDifferentAge(t *testing.T) {
	changes := 0
	for seed := range uint64(3000) {
		sim := runStaleSeed(seed, 3, 2500, 0.3)
		assert.Assert(t, !sim.mapsDiffer, "seed %d: ranks with different maps at pass %d", seed, sim.pass)
		changes += sim.changes
	}
	t.Logf("%d changes", changes)
	assert.Assert(t, changes > 3000, "only %d changes were made", changes)
}

// TestFenceIsAboveTheSettledChange guards against a fence that is lower than the version of the change that it is to
// end: when the hold is found, the state of a rank is older than the change. The rank, which has prepared the change,
// would then count as fenced.
func TestFenceIsAboveTheSettledChange(t *testing.T) {
	const change, pass = 1986, 46
	c := New(1, 2, 0)
	holder := State{Open: true, Epoch: 1, Pass: 45, HeldPass: pass, Result: NoOrder}
	old := State{Open: true, Epoch: 1, Pass: 25, HeldPass: NoPass, Result: NoOrder}
	now := State{Open: true, Epoch: 1, Pass: 45, HeldPass: NoPass, Prepared: change, Result: NoOrder}
	c.Round([]State{holder, old})
	commands := c.Round([]State{holder, now})
	assert.Equal(t, len(commands), 2)
	for _, command := range commands {
		assert.Equal(t, command.Order.Op, Prepare)
		assert.Assert(t, command.Order.Version > change, "rank %d: fence %d", command.Rank, command.Order.Version)
	}
}
