package mapswitch

import (
	"math/rand/v2"
)

// engine simulates the engine of one rank, with the documented effect of each order. Its maps
// are numbers; see mapOf.
type engine struct {
	highest     int64 // highest version that the rank has prepared
	version     int64
	number      uint16
	prepared    int64
	preparedMap uint16
	// copyTicks is the number of ticks until prepared shows in the state.
	copyTicks    int
	armedVersion int64
	armedMap     uint16
	armedPass    int64
	held         int64
}

// simulation is a group of engines and coordinators with the orders in transit.
type simulation struct {
	rng     *rand.Rand
	engines []engine
	pass    int64
	epoch   int64
	// delayed contains orders that were not answered and may still be carried out.
	delayed []Command
	// coordinators contains the coordinator of each rank, or nil if its process does not
	// run.
	coordinators []*Coordinator
	// leaders is the number of ranks whose coordinators run.
	leaders int
	// duplicates is true if an answered order may be carried out once more later.
	duplicates bool
	// lossRate is the share of orders that are not answered.
	lossRate   float64
	changes    int // completed changes
	mapsDiffer bool
	trace      func(string, ...any)
}

func newSimulation(seed uint64, size int, lossRate float64) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), epoch: 1, lossRate: lossRate, leaders: min(2, size)}
	for range size {
		sim.engines = append(sim.engines, engine{held: NoPass})
	}
	sim.coordinators = make([]*Coordinator, size)
	return sim
}

// apply carries out an order at a rank's engine.
func (sim *simulation) apply(c Command) (res Result) {
	if sim.trace != nil {
		defer func() {
			sim.trace("apply rank %d %s v%d pass %d epoch %d -> %d", c.Rank, c.Order.Op, c.Order.Version, c.Order.Pass, c.Order.Epoch, res)
		}()
	}
	e, o := &sim.engines[c.Rank], c.Order
	if o.Epoch != sim.epoch {
		return Rejected
	}
	switch o.Op {
	case Prepare:
		if o.Version <= e.highest || e.armedVersion != 0 {
			return Rejected
		}
		e.highest, e.prepared, e.copyTicks = o.Version, o.Version, sim.rng.IntN(3)
		if e.preparedMap = e.number; o.Map != nil {
			e.preparedMap = numberOf(o.Map)
		}
	case Hold:
		if o.Pass <= sim.pass || e.held != NoPass && e.held != o.Pass {
			return Rejected
		}
		e.held = o.Pass
	case Arm:
		if e.prepared != o.Version || e.copyTicks > 0 || o.Pass <= sim.pass {
			return Rejected
		}
		e.armedVersion, e.armedMap, e.armedPass = o.Version, e.preparedMap, o.Pass
	case Disarm:
		if e.version == o.Version {
			return Rejected
		}
		if e.armedVersion == o.Version {
			e.armedVersion = 0
		}
	case Go:
		if e.held == o.Pass {
			e.held = NoPass
		}
	}
	return Accepted
}

// mapOf returns the map with a number. In each map rank 0 has other experts. The experts of the
// other ranks are the same in many maps, so that a rank's experts don't identify a map.
func mapOf(n uint16, size int) [][][]uint16 {
	rows := [][]uint16{{n}}
	for rank := 1; rank < size; rank++ {
		rows = append(rows, []uint16{n % 2})
	}
	return [][][]uint16{rows}
}

// numberOf reverses mapOf.
func numberOf(m [][][]uint16) uint16 { return m[0][0][0] }

// digestsOf returns the digests of the experts of all ranks, as ranks show them.
func digestsOf(n uint16, size int) []uint64 {
	var digests []uint64
	for _, row := range mapOf(n, size)[0] {
		digests = append(digests, uint64(row[0]))
	}
	return digests
}

// tick begins the next pass unless it is held, and compares the ranks' maps.
func (sim *simulation) tick() {
	for i := range sim.engines {
		if e := &sim.engines[i]; e.copyTicks > 0 {
			e.copyTicks--
		}
	}
	for i := range sim.engines {
		if sim.engines[i].held == sim.pass+1 {
			return
		}
	}
	sim.pass++
	for i := range sim.engines {
		e := &sim.engines[i]
		if e.armedVersion != 0 && e.armedPass == sim.pass {
			e.version, e.number = e.armedVersion, e.armedMap
			e.armedVersion, e.prepared = 0, 0
		}
	}
	for i := range sim.engines {
		if sim.engines[i].version != sim.engines[0].version || sim.engines[i].number != sim.engines[0].number {
			sim.mapsDiffer = true
		}
	}
}

// state returns a rank's state.
func (sim *simulation) state(rank int, result Result) State {
	e := &sim.engines[rank]
	s := State{
		Open: true, Epoch: sim.epoch, Pass: sim.pass, Version: e.version,
		ArmedVersion: e.armedVersion, ArmedPass: e.armedPass, HeldPass: e.held, Result: result,
	}
	if e.copyTicks == 0 {
		s.Prepared, s.Digest = e.prepared, digestsOf(e.preparedMap, len(sim.engines))[rank]
	}
	return s
}

// send carries out an order now, later or never, with or without an answer.
func (sim *simulation) send(c Command) Result {
	if sim.duplicates && sim.rng.IntN(4) == 0 {
		sim.delayed = append(sim.delayed, c)
	}
	if sim.rng.Float64() >= sim.lossRate {
		return sim.apply(c)
	}
	switch sim.rng.IntN(3) {
	case 0: // carried out now, answer lost
		sim.apply(c)
	case 1: // carried out later
		sim.delayed = append(sim.delayed, c)
	}
	return Unknown
}

// exchange sends the commands of one round and reads the states of all ranks, between which
// passes may begin. It returns false if the rank has no coordinator.
func (sim *simulation) exchange(rank int, commands []Command) ([]State, bool) {
	states := make([]State, len(sim.engines))
	results := make([]Result, len(sim.engines))
	for i := range results {
		results[i] = NoOrder
	}
	for _, c := range commands {
		results[c.Rank] = sim.send(c)
	}
	for i := range states {
		if sim.rng.IntN(40) == 0 {
			sim.tick()
		}
		states[i] = sim.state(i, results[i])
	}
	return states, sim.coordinators[rank] != nil
}

// deliverDelayed carries out one delayed order.
func (sim *simulation) deliverDelayed() {
	if len(sim.delayed) == 0 {
		return
	}
	i := sim.rng.IntN(len(sim.delayed))
	c := sim.delayed[i]
	sim.delayed = append(sim.delayed[:i], sim.delayed[i+1:]...)
	sim.apply(c)
}
