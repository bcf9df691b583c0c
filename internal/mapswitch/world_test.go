package mapswitch

import (
	"math/rand/v2"
)

// engine is one rank's engine as its orders are documented.
type engine struct {
	highest  int64 // highest version the rank has had
	version  int64
	digest   uint64
	prepared int64
	prepDig  uint64
	// copying is the number of ticks until prepared shows.
	copying      int
	armedVersion int64
	armedDigest  uint64
	armedPass    int64
	held         int64
}

// world is a group of engines, coordinators, and orders under way.
type world struct {
	rng     *rand.Rand
	engines []engine
	pass    int64
	epoch   int64
	// late holds orders that got no answer and may still be carried out.
	late []Command
	// coordinators by rank; those that are nil have no process now.
	coordinators []*Coordinator
	// lossy is the share of orders that get no answer.
	lossy    float64
	changes  int
	violated bool
	trace    func(string, ...any)
}

func newWorld(seed uint64, size int, lossy float64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), epoch: 1, lossy: lossy}
	for range size {
		w.engines = append(w.engines, engine{held: NoPass})
	}
	w.coordinators = make([]*Coordinator, size)
	return w
}

// apply carries an order out at a rank's engine.
func (w *world) apply(c Command) (res Result) {
	if w.trace != nil {
		defer func() {
			w.trace("apply rank %d %s v%d pass %d epoch %d -> %d", c.Rank, c.Order.Op, c.Order.Version, c.Order.Pass, c.Order.Epoch, res)
		}()
	}
	e, o := &w.engines[c.Rank], c.Order
	if o.Epoch != w.epoch {
		return Rejected
	}
	switch o.Op {
	case Prepare:
		if o.Version <= e.highest || e.armedVersion != 0 {
			return Rejected
		}
		e.highest, e.prepared, e.copying = o.Version, o.Version, w.rng.IntN(3)
		e.prepDig = digestOf(o.Map)
	case Hold:
		if o.Pass <= w.pass || e.held != NoPass && e.held != o.Pass {
			return Rejected
		}
		e.held = o.Pass
	case Arm:
		if e.prepared != o.Version || e.copying > 0 || o.Pass <= w.pass {
			return Rejected
		}
		e.armedVersion, e.armedDigest, e.armedPass = o.Version, e.prepDig, o.Pass
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

// digestOf identifies a map; tests use maps of one number.
func digestOf(m [][][]uint16) uint64 { return uint64(m[0][0][0]) }

func mapOf(n uint16) [][][]uint16 { return [][][]uint16{{{n}}} }

// tick begins the next pass unless it is held, and checks the ranks' maps.
func (w *world) tick() {
	for i := range w.engines {
		if e := &w.engines[i]; e.copying > 0 {
			e.copying--
		}
	}
	for i := range w.engines {
		if w.engines[i].held == w.pass+1 {
			return
		}
	}
	w.pass++
	for i := range w.engines {
		e := &w.engines[i]
		if e.armedVersion != 0 && e.armedPass == w.pass {
			e.version, e.digest = e.armedVersion, e.armedDigest
			e.armedVersion, e.prepared = 0, 0
		}
	}
	for i := range w.engines {
		if w.engines[i].version != w.engines[0].version || w.engines[i].digest != w.engines[0].digest {
			w.violated = true
		}
	}
}

// state reads a rank's state.
func (w *world) state(rank int, result Result) State {
	e := &w.engines[rank]
	s := State{
		Open: true, Epoch: w.epoch, Pass: w.pass, Version: e.version,
		ArmedVersion: e.armedVersion, ArmedPass: e.armedPass, Held: e.held, Result: result,
	}
	if e.copying == 0 {
		s.Prepared, s.Digest = e.prepared, e.prepDig
	}
	return s
}

// send carries an order out now, later or never, with or without an answer.
func (w *world) send(c Command) Result {
	if w.rng.Float64() >= w.lossy {
		return w.apply(c)
	}
	switch w.rng.IntN(3) {
	case 0: // carried out now, answer lost
		w.apply(c)
	case 1: // carried out later
		w.late = append(w.late, c)
	}
	return Unknown
}

// round runs one round of a coordinator; between its orders other things happen. It
// returns false if the round was cut short.
func (w *world) round(rank int, commands []Command) ([]State, bool) {
	states := make([]State, len(w.engines))
	results := make([]Result, len(w.engines))
	for i := range results {
		results[i] = Accepted
	}
	for _, c := range commands {
		results[c.Rank] = w.send(c)
	}
	for i := range states {
		if w.rng.IntN(40) == 0 {
			w.tick()
		}
		states[i] = w.state(i, results[i])
	}
	return states, w.coordinators[rank] != nil
}

// deliverLate carries out one order that is under way.
func (w *world) deliverLate() {
	if len(w.late) == 0 {
		return
	}
	i := w.rng.IntN(len(w.late))
	c := w.late[i]
	w.late = append(w.late[:i], w.late[i+1:]...)
	w.apply(c)
}
