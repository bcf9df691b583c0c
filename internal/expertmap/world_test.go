package expertmap

import (
	"encoding/binary"
	"fmt"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

const (
	worldRanks = 3
	worldSteps = 3
	switchStep = 2
)

// variant switches one guard off, or sets the kind of engine.
type variant struct {
	naive, noHold, noFence, noUnanimity, noRelease bool
	// ignoresFencing makes engines that accept any order number; unguarded lets
	// a restarted agent use such an engine all the same.
	ignoresFencing, unguarded bool
	// stepsOnly checks only the versions used in steps.
	stepsOnly bool
	// slowLoads lets other events come between a load's start and end.
	slowLoads bool
	// steps is the last step that is explored, at most worldSteps.
	steps uint64
	ids   map[packetKey]uint64
}

// budget bounds the faults of one exploration.
type budget struct{ engineCrashes, agentCrashes, coordinators, rounds uint8 }

// packet is a message that was sent once; it may be delivered any number of
// times, in any order, or never.
type packet struct {
	id      uint64
	fence   uint64
	message message.Message
}

// world is the whole group. Components are shared between worlds and copied before a change.
type world struct {
	v       *variant
	left    budget
	lease   uint64
	coords  []*Coordinator
	ranks   [worldRanks]*Rank
	engines [worldRanks]*Engine
	orphans [worldRanks][]Order
	toRank  [worldRanks][]*packet
	toCoord [worldRanks][]*packet
	history [worldRanks][worldSteps + 1]uint64
	// broken: a step ran with two versions; stuck: a committed version can't take over any more.
	broken, stuck bool
	trace         *event
}

// event is one step of the path to a world.
type event struct {
	name   string
	rank   int
	packet *packet
	before *event
}

func (e *event) String() string {
	if e == nil {
		return ""
	}
	line := e.before.String() + fmt.Sprintf("\n%s rank %d", e.name, e.rank)
	if e.packet != nil {
		line += fmt.Sprintf(" %T%+v", e.packet.message, e.packet.message)
	}
	return line
}

func worldConfig() Config {
	return Config{Group: "g", Ranks: worldRanks, Initial: []byte{1}, Resend: 1, Poll: 1 << 40, ChangeTimeout: 1 << 40}
}

// newWorld returns a group in step 1 whose first coordinator has just sent a prepare.
func newWorld(v *variant, left budget) *world {
	v.ids = map[packetKey]uint64{}
	w := &world{v: v, left: left, lease: 1}
	for i := range w.ranks {
		w.engines[i] = &Engine{ChecksFencing: !v.ignoresFencing}
		w.ranks[i] = NewRank(w.rankStart(i, 1, true))
	}
	c, effects := NewCoordinator(worldConfig(), 1, 0)
	w.coords = []*Coordinator{c}
	w.sendAll(c, effects)
	w.runFair(c)
	for i := range w.engines {
		w.enter(i)
	}
	if v.naive {
		w.broadcastSwitch()
		return w
	}
	w.sendAll(c, c.Step(0, Propose{Map: []byte{2}}))
	for c.phase != PhasePrepare {
		w.deliverAll(c)
	}
	w.toCoord = [worldRanks][]*packet{}
	for i := range w.toRank {
		w.toRank[i] = keep(w.toRank[i], func(p *packet) bool { return p.message.FrameType() == message.TypeMapPrepare })
	}
	return w
}

// broadcastSwitch sends the naive protocol's only message: use the new map from switchStep on.
func (w *world) broadcastSwitch() {
	w.coords[0].phase = PhaseStopped
	for i := range w.toRank {
		w.toRank[i], w.toCoord[i] = nil, nil
		w.toRank[i] = w.insert(nil, 1, &message.MapDecide{Version: 2 << roundBits, Fence: 1, Commit: true})
	}
}

func (w *world) rankStart(i int, incarnation uint64, engineIsNew bool) RankStart {
	return RankStart{
		Group:         "g",
		Index:         i,
		Incarnation:   incarnation,
		Fence:         w.lease,
		ChecksFencing: !w.v.ignoresFencing,
		EngineIsNew:   engineIsNew || w.v.unguarded,
	}
}

func (w *world) clone() *world {
	c := *w
	c.coords = append([]*Coordinator(nil), w.coords...)
	return &c
}

func (w *world) ownRank(i int) *Rank {
	r := *w.ranks[i]
	if r.loading != nil {
		l := *r.loading
		r.loading = &l
	}
	w.ranks[i] = &r
	return &r
}

func (w *world) ownEngine(i int) *Engine {
	e := *w.engines[i]
	w.engines[i] = &e
	return &e
}

func (w *world) ownCoord(n int) *Coordinator {
	c := *w.coords[n]
	c.ranks = append([]rankView(nil), c.ranks...)
	c.inherited = append([]decision(nil), c.inherited...)
	c.maps = append([]versionedMap(nil), c.maps...)
	w.coords[n] = &c
	return &c
}

func (w *world) sendAll(c *Coordinator, effects []CoordinatorEffect) {
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			w.toRank[s.Rank] = w.insert(w.toRank[s.Rank], c.fence, s.Message)
		}
	}
}

func (w *world) rankEffects(i int, effects []RankEffect) {
	for _, e := range effects {
		if r, ok := e.(Respond); ok {
			fence := uint64([]rune(r.To)[0])
			w.toCoord[i] = w.insert(w.toCoord[i], fence, w.coordOf(fence).normalise(r.Message))
		}
	}
}

// deliverToRank delivers p to rank i's agent.
func (w *world) deliverToRank(i int, p *packet) {
	if w.v.naive && p.message.FrameType() == message.TypeMapDecide {
		w.ownEngine(i).State.Pending = Pending{Version: 2 << roundBits, Step: switchStep, Decided: true, Released: true}
		return
	}
	r := w.ownRank(i)
	m := p.message
	if w.v.noFence {
		m = refence(m, r.fence)
	}
	w.rankEffects(i, r.Step(Received{From: string(rune(p.fence)), Message: m}))
	if !w.v.slowLoads && r.loading != nil && !r.loading.done {
		w.load(i)
	}
}

// deliverToCoord delivers rank i's packet p to the coordinator that it answers.
func (w *world) deliverToCoord(i int, p *packet) {
	for n := range w.coords {
		if w.coords[n].fence != p.fence {
			continue
		}
		c := w.ownCoord(n)
		m := p.message
		if w.v.noUnanimity && c.phase != PhaseQuery {
			w.forge(c, m)
			return
		}
		w.sendAll(c, c.Step(0, FromRank{Message: m}))
	}
}

// forge lets c take one rank's promise or commit for that of all ranks.
func (w *world) forge(c *Coordinator, m message.Message) {
	for q := range w.ranks {
		switch m := m.(type) {
		case *message.MapPromise:
			copied := *m
			copied.Rank = q
			w.sendAll(c, c.Step(0, FromRank{Message: &copied}))
		case *message.MapState:
			copied := *m
			copied.Rank = q
			w.sendAll(c, c.Step(0, FromRank{Message: &copied}))
		}
	}
}

// applyOrder lets the engine carry out the order that rank i waits for.
func (w *world) applyOrder(i int) {
	r := w.ownRank(i)
	reply := w.ownEngine(i).Apply(r.ordered.order)
	w.rankEffects(i, r.Step(Ordered{Reply: reply}))
}

func (w *world) load(i int) {
	r := w.ownRank(i)
	w.rankEffects(i, r.Step(Loaded{Version: r.loading.order.Version}))
}

// crashEngine restarts rank i's engine; its connections and orders die with it.
func (w *world) crashEngine(i int) {
	w.engines[i] = &Engine{ChecksFencing: !w.v.ignoresFencing}
	w.orphans[i] = nil
	w.ranks[i] = NewRank(w.rankStart(i, w.ranks[i].start.Incarnation+1, true))
	for n := range w.coords {
		w.toCoord[i] = w.insert(w.toCoord[i], w.coords[n].fence, w.ranks[i].Hello())
	}
	for q := range w.engines {
		if w.engines[q].State.Active != 0 {
			return
		}
	}
	w.history = [worldRanks][worldSteps + 1]uint64{}
}

// crashAgent restarts rank i's agent; an order that it has sent may still arrive.
func (w *world) crashAgent(i int) {
	if o := w.ranks[i].ordered; o != nil {
		w.orphans[i] = append(append([]Order(nil), w.orphans[i]...), o.order)
	}
	w.ranks[i] = NewRank(w.rankStart(i, w.ranks[i].start.Incarnation+1, false))
}

func (w *world) applyOrphan(i, n int) {
	o := w.orphans[i][n]
	w.orphans[i] = append(append([]Order(nil), w.orphans[i][:n]...), w.orphans[i][n+1:]...)
	w.ownEngine(i).Apply(o)
}

// canEnter reports whether the lock-step lets rank i enter its next step.
func (w *world) canEnter(i int) bool {
	step, _, ok := w.engines[i].NextStep()
	if w.v.noHold && w.engines[i].State.Active != 0 || w.v.noRelease && w.engines[i].State.Pending.Decided {
		ok = true
	}
	if !ok || step > w.v.steps {
		return false
	}
	for q := range w.engines {
		if step > 1 && w.history[q][step-1] == 0 {
			return false
		}
	}
	return true
}

// check looks for a rank that has committed a version whose switch step another
// has run with a different one: it could never go on.
func (w *world) check() {
	if w.v.stepsOnly {
		return
	}
	for _, e := range w.engines {
		p := e.State.Pending
		if !p.Decided || p.Step > worldSteps {
			continue
		}
		for q := range w.history {
			if used := w.history[q][p.Step]; used != 0 && used != p.Version {
				w.stuck = true
			}
		}
	}
}

// enter lets rank i enter its next step and checks the invariant: no two ranks
// use different versions in one step.
func (w *world) enter(i int) {
	e := w.ownEngine(i)
	if _, _, ok := e.NextStep(); !ok && w.v.noHold {
		e.State.Pending = Pending{}
	}
	step, version := e.Enter()
	w.history[i][step] = version
	for q := range w.history {
		if used := w.history[q][step]; used != 0 && used != version {
			w.broken = true
		}
	}
}

func (w *world) startCoordinator() {
	w.lease++
	c, effects := NewCoordinator(worldConfig(), w.lease, 0)
	w.coords = append(w.coords, c)
	w.sendAll(c, effects)
}

// deliverAll delivers everything that c has sent or should receive once, and
// lets agents and engines finish their work.
func (w *world) deliverAll(c *Coordinator) {
	n := 0
	for w.coords[n].fence != c.fence {
		n++
	}
	w.coords[n] = c
	for i := range w.ranks {
		for _, p := range w.toRank[i] {
			if p.fence == c.fence {
				w.deliverToRank(i, p)
			}
			w.work(i)
		}
	}
	for i := range w.ranks {
		for _, p := range w.toCoord[i] {
			if p.fence == c.fence {
				w.deliverToCoord(i, p)
			}
		}
	}
	*c = *w.coords[n]
}

func (w *world) work(i int) {
	for w.ranks[i].ordered != nil || w.ranks[i].loading != nil {
		if w.ranks[i].ordered != nil {
			w.applyOrder(i)
		} else {
			w.load(i)
		}
	}
}

// runFair runs the protocol of c without faults until c is idle; it reports success.
func (w *world) runFair(c *Coordinator) bool {
	const rounds = 32
	for range rounds {
		if c.phase == PhaseIdle {
			return true
		}
		w.deliverAll(c)
	}
	return false
}

// appendUints appends values to a state's encoding.
func appendUints(b []byte, values ...uint64) []byte {
	for _, v := range values {
		b = binary.AppendUvarint(b, v)
	}
	return b
}
