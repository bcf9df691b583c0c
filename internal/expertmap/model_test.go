package expertmap

import (
	"encoding/binary"
	"fmt"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

const (
	modelRanks = 3
	modelSteps = 3
	switchStep = 2
)

// variant disables guards of the protocol or selects the kind of engine.
type variant struct {
	// naive replaces the protocol by one broadcast; each of the others disables the
	// guard that it names.
	naive, noHold, noFence, noUnanimity, noRelease bool
	// ignoresFencing selects engines that accept any order number; ignoresExclusion
	// lets a restarted agent use such an engine nevertheless.
	ignoresFencing, ignoresExclusion bool
	// stepsOnly restricts the check to the versions used in steps.
	stepsOnly bool
	// slowLoads allows other events between a load's start and its end.
	slowLoads bool
	// steps is the last step that is explored, at most modelSteps.
	steps uint64
	ids   map[packetKey]uint64
}

// budget is the largest number of faults of each kind in one exploration.
type budget struct{ engineCrashes, agentCrashes, coordinators, rounds uint8 }

// packet is a message that was sent once; it may be delivered any number of
// times, in any order, or never.
type packet struct {
	id      uint64
	fence   uint64
	message message.Message
}

// modelState is one state of the whole group. Components are shared between states
// and copied before a change.
type modelState struct {
	variant    *variant
	faultsLeft budget
	lastFence  uint64
	coords     []*Coordinator
	ranks      [modelRanks]*Rank
	engines    [modelRanks]*Engine
	lateOrders [modelRanks][]Order
	toRank     [modelRanks][]*packet
	toCoord    [modelRanks][]*packet
	versions   [modelRanks][modelSteps + 1]uint64
	// broken is true if a step ran with two versions, stuck if a committed version
	// can no longer come into use.
	broken, stuck bool
	trace         *event
}

// event is one event of the path that led to a state.
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

func modelConfig() Config {
	return Config{Group: "g", Ranks: modelRanks, Initial: []byte{1}, Resend: 1, Poll: 1 << 40, ChangeTimeout: 1 << 40}
}

// newModelState returns a group in step 1 whose first coordinator has just sent
// its prepare messages.
func newModelState(v *variant, left budget) *modelState {
	v.ids = map[packetKey]uint64{}
	w := &modelState{variant: v, faultsLeft: left, lastFence: 1}
	for i := range w.ranks {
		w.engines[i] = &Engine{ChecksFencing: !v.ignoresFencing}
		w.ranks[i] = NewRank(w.rankStart(i, 1, true))
	}
	c, effects := NewCoordinator(modelConfig(), 1, 0)
	w.coords = []*Coordinator{c}
	w.sendAll(c, effects)
	w.runWithoutFaults(c)
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
	w.toCoord = [modelRanks][]*packet{}
	for i := range w.toRank {
		w.toRank[i] = filterPackets(w.toRank[i], func(p *packet) bool { return p.message.FrameType() == message.TypeMapPrepare })
	}
	return w
}

// broadcastSwitch sends the only message of the naive protocol, which makes the
// ranks use the new map from switchStep on.
func (w *modelState) broadcastSwitch() {
	w.coords[0].phase = PhaseStopped
	for i := range w.toRank {
		w.toRank[i], w.toCoord[i] = nil, nil
		w.toRank[i] = w.insert(nil, 1, &message.MapDecide{Version: 2 << roundBits, Fence: 1, Commit: true})
	}
}

func (w *modelState) rankStart(i int, incarnation uint64, engineIsNew bool) RankStart {
	return RankStart{
		Group:         "g",
		Index:         i,
		Incarnation:   incarnation,
		Fence:         w.lastFence,
		ChecksFencing: !w.variant.ignoresFencing,
		EngineIsNew:   engineIsNew || w.variant.ignoresExclusion,
	}
}

func (w *modelState) clone() *modelState {
	c := *w
	c.coords = append([]*Coordinator(nil), w.coords...)
	return &c
}

func (w *modelState) mutableRank(i int) *Rank {
	r := *w.ranks[i]
	if r.pendingLoad != nil {
		l := *r.pendingLoad
		r.pendingLoad = &l
	}
	w.ranks[i] = &r
	return &r
}

func (w *modelState) mutableEngine(i int) *Engine {
	e := *w.engines[i]
	w.engines[i] = &e
	return &e
}

func (w *modelState) mutableCoord(n int) *Coordinator {
	c := *w.coords[n]
	c.ranks = append([]rankView(nil), c.ranks...)
	c.inherited = append([]decision(nil), c.inherited...)
	c.maps = append([]versionedMap(nil), c.maps...)
	w.coords[n] = &c
	return &c
}

func (w *modelState) sendAll(c *Coordinator, effects []CoordinatorEffect) {
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			w.toRank[s.Rank] = w.insert(w.toRank[s.Rank], c.fence, s.Message)
		}
	}
}

func (w *modelState) rankEffects(i int, effects []RankEffect) {
	for _, e := range effects {
		if r, ok := e.(Respond); ok {
			fence := uint64([]rune(r.To)[0])
			w.toCoord[i] = w.insert(w.toCoord[i], fence, w.coordOf(fence).normalise(r.Message))
		}
	}
}

// deliverToRank delivers p to rank i's agent.
func (w *modelState) deliverToRank(i int, p *packet) {
	if w.variant.naive && p.message.FrameType() == message.TypeMapDecide {
		w.mutableEngine(i).State.Pending = Pending{Version: 2 << roundBits, Step: switchStep, Decided: true, Released: true}
		return
	}
	r := w.mutableRank(i)
	m := p.message
	if w.variant.noFence {
		m = raiseFence(m, r.fence)
	}
	w.rankEffects(i, r.Step(Received{From: string(rune(p.fence)), Message: m}))
	if !w.variant.slowLoads && r.pendingLoad != nil && !r.pendingLoad.done {
		w.load(i)
	}
}

// deliverToCoord delivers rank i's packet p to the coordinator that it is addressed to.
func (w *modelState) deliverToCoord(i int, p *packet) {
	for n := range w.coords {
		if w.coords[n].fence != p.fence {
			continue
		}
		c := w.mutableCoord(n)
		m := p.message
		if w.variant.noUnanimity && c.phase != PhaseQuery {
			w.answerForAllRanks(c, m)
			return
		}
		w.sendAll(c, c.Step(0, FromRank{Message: m}))
	}
}

// answerForAllRanks makes c treat one rank's promise or state as that of all ranks.
func (w *modelState) answerForAllRanks(c *Coordinator, m message.Message) {
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

// applyOrder makes the engine carry out the pending order of rank i.
func (w *modelState) applyOrder(i int) {
	r := w.mutableRank(i)
	reply := w.mutableEngine(i).Apply(r.pendingOrder.order)
	w.rankEffects(i, r.Step(OrderAnswered{Reply: reply}))
}

func (w *modelState) load(i int) {
	r := w.mutableRank(i)
	w.rankEffects(i, r.Step(Loaded{Version: r.pendingLoad.order.Version}))
}

// crashEngine restarts rank i's engine; its connections and the orders on them are lost.
func (w *modelState) crashEngine(i int) {
	w.engines[i] = &Engine{ChecksFencing: !w.variant.ignoresFencing}
	w.lateOrders[i] = nil
	w.ranks[i] = NewRank(w.rankStart(i, w.ranks[i].start.Incarnation+1, true))
	for n := range w.coords {
		w.toCoord[i] = w.insert(w.toCoord[i], w.coords[n].fence, w.ranks[i].Announcement())
	}
	for q := range w.engines {
		if w.engines[q].State.Active != 0 {
			return
		}
	}
	w.versions = [modelRanks][modelSteps + 1]uint64{}
}

// crashAgent restarts rank i's agent; an order that it has sent may still reach the
// engine.
func (w *modelState) crashAgent(i int) {
	if o := w.ranks[i].pendingOrder; o != nil {
		w.lateOrders[i] = append(append([]Order(nil), w.lateOrders[i]...), o.order)
	}
	w.ranks[i] = NewRank(w.rankStart(i, w.ranks[i].start.Incarnation+1, false))
}

func (w *modelState) applyLateOrder(i, n int) {
	o := w.lateOrders[i][n]
	w.lateOrders[i] = append(append([]Order(nil), w.lateOrders[i][:n]...), w.lateOrders[i][n+1:]...)
	w.mutableEngine(i).Apply(o)
}

// canEnter reports whether rank i may enter its next step: its engine allows it and
// all ranks have run the previous step.
func (w *modelState) canEnter(i int) bool {
	step, _, ok := w.engines[i].NextStep()
	if w.variant.noHold && w.engines[i].State.Active != 0 || w.variant.noRelease && w.engines[i].State.Pending.Decided {
		ok = true
	}
	if !ok || step > w.variant.steps {
		return false
	}
	for q := range w.engines {
		if step > 1 && w.versions[q][step-1] == 0 {
			return false
		}
	}
	return true
}

// checkStuck looks for a rank that has committed a version whose switch step another
// rank has run with a different version. Such a rank could never continue.
func (w *modelState) checkStuck() {
	if w.variant.stepsOnly {
		return
	}
	for _, e := range w.engines {
		p := e.State.Pending
		if !p.Decided || p.Step > modelSteps {
			continue
		}
		for q := range w.versions {
			if used := w.versions[q][p.Step]; used != 0 && used != p.Version {
				w.stuck = true
			}
		}
	}
}

// enter lets rank i enter its next step and checks the invariant that no two ranks
// use different versions in one step.
func (w *modelState) enter(i int) {
	e := w.mutableEngine(i)
	if _, _, ok := e.NextStep(); !ok && w.variant.noHold {
		e.State.Pending = Pending{}
	}
	step, version := e.Enter()
	w.versions[i][step] = version
	for q := range w.versions {
		if used := w.versions[q][step]; used != 0 && used != version {
			w.broken = true
		}
	}
}

func (w *modelState) startCoordinator() {
	w.lastFence++
	c, effects := NewCoordinator(modelConfig(), w.lastFence, 0)
	w.coords = append(w.coords, c)
	w.sendAll(c, effects)
}

// deliverAll delivers every packet from or to c once, and lets agents and engines
// finish their work.
func (w *modelState) deliverAll(c *Coordinator) {
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
			w.finishWork(i)
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

func (w *modelState) finishWork(i int) {
	for w.ranks[i].pendingOrder != nil || w.ranks[i].pendingLoad != nil {
		if w.ranks[i].pendingOrder != nil {
			w.applyOrder(i)
		} else {
			w.load(i)
		}
	}
}

// runWithoutFaults runs the protocol of c without faults and reports whether c
// became idle.
func (w *modelState) runWithoutFaults(c *Coordinator) bool {
	const rounds = 32
	for range rounds {
		if c.phase == PhaseIdle {
			return true
		}
		w.deliverAll(c)
	}
	return false
}

// appendUints appends the encoding of values to b.
func appendUints(b []byte, values ...uint64) []byte {
	for _, v := range values {
		b = binary.AppendUvarint(b, v)
	}
	return b
}
