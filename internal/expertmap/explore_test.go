package expertmap

import (
	"bytes"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func appendOrder(b []byte, o Order) []byte {
	return appendUints(b, uint64(o.Kind), o.Number, o.Version, o.Step, bit(o.Commit), o.Pending.Version, o.Pending.Step)
}

// appendRank appends the encoding of everything that concerns rank i except its index.
func (w *modelState) appendRank(b []byte, i int) []byte {
	r, e := w.ranks[i], w.engines[i]
	b = appendUints(b, r.start.Incarnation, bit(r.start.EngineIsNew), r.fence, r.round)
	b = appendUints(b, bit(r.pendingLoad != nil), bit(r.pendingOrder != nil))
	if r.pendingLoad != nil {
		b = appendOrder(append(b, r.pendingLoad.from...), r.pendingLoad.order)
		b = appendUints(b, bit(r.pendingLoad.done))
	}
	if r.pendingOrder != nil {
		b = appendOrder(append(b, r.pendingOrder.from...), r.pendingOrder.order)
		b = appendUints(b, bit(r.pendingOrder.wantMaps))
	}
	s := e.State
	b = appendUints(b, s.Active, s.Step, bit(s.Entered), s.Pending.Version, s.Pending.Step, bit(s.Pending.Decided), bit(s.Pending.Released), e.highestNumber)
	b = appendUints(b, w.versions[i][:]...)
	for _, o := range w.lateOrders[i] {
		b = appendOrder(append(b, 'o'), o)
	}
	for _, c := range w.coords {
		b = appendView(b, c.phase, c.ranks[i])
	}
	for _, p := range w.toRank[i] {
		b = appendUints(b, p.id)
	}
	b = append(b, 0)
	for _, p := range w.toCoord[i] {
		b = appendUints(b, p.id)
	}
	return b
}

// appendView appends the encoding of those fields of a rank's view that a
// coordinator in phase p still uses.
func appendView(b []byte, p Phase, v rankView) []byte {
	m := v.state
	switch p {
	case PhaseStopped:
		return append(b, 0)
	case PhaseQuery:
		b = appendUints(b, bit(v.known), m.Step, bit(m.Entered), m.Active, m.PendingStep)
	case PhaseSettle, PhaseRelease:
		b = appendUints(b, m.Active)
	case PhasePrepare:
		return appendUints(b, bit(v.promised), m.Incarnation)
	case PhaseIdle:
		return appendUints(b, m.Incarnation)
	}
	return appendUints(b, m.Committed, m.Prepared, m.Incarnation, bit(m.Released))
}

// prune drops packets that can no longer have an effect, and packets that only
// repeat the content of a later one. Dropping a packet is equivalent to losing it.
func (w *modelState) prune() {
	w.stopDeposed()
	for i := range w.ranks {
		w.toRank[i] = filterPackets(w.toRank[i], func(p *packet) bool { return w.affectsRank(i, p) })
		w.toCoord[i] = filterPackets(w.toCoord[i], func(p *packet) bool { return w.affectsCoordinator(i, p) })
	}
}

// stopDeposed stops coordinators whose messages every rank rejects.
func (w *modelState) stopDeposed() {
	if w.variant.noFence {
		return
	}
	for n, c := range w.coords {
		deposed := c.phase != PhaseStopped
		for _, r := range w.ranks {
			deposed = deposed && r.fence > c.fence
		}
		if deposed {
			w.mutableCoord(n).phase = PhaseStopped
		}
	}
}

// affectsRank reports whether p can still affect rank i.
func (w *modelState) affectsRank(i int, p *packet) bool {
	r, e := w.ranks[i], w.engines[i]
	if p.fence < r.fence && !w.variant.noFence {
		return false
	}
	switch m := p.message.(type) {
	case *message.MapQuery:
		c := w.coordOf(p.fence)
		return m.Round == c.round && c.phase <= PhaseRelease && (m.WantMaps || !w.hasAnswered(i, c))
	case *message.MapJoin:
		return m.Incarnation == r.start.Incarnation && e.State.Active == 0
	case *message.MapPrepare:
		return m.Version > e.State.Active
	case *message.MapDecide:
		return m.Version > e.State.Active
	}
	return true
}

// hasAnswered reports whether rank i's state of this incarnation and round has
// arrived or is in transit. A later answer to the same query need not be explored,
// because it is equivalent to a late first delivery with the messages in between
// lost.
func (w *modelState) hasAnswered(i int, c *Coordinator) bool {
	incarnation := w.ranks[i].start.Incarnation
	if v := c.ranks[i]; v.state.Incarnation == incarnation && (v.known || c.phase != PhaseQuery) {
		return true
	}
	for _, p := range w.toCoord[i] {
		s, ok := p.message.(*message.MapState)
		if ok && s.Fence == c.fence && s.Round == c.round && s.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// normalise clears the fields of a rank's state that the coordinator does not use
// in its current phase.
func (c *Coordinator) normalise(m message.Message) message.Message {
	s, ok := m.(*message.MapState)
	if !ok || s.Fence != c.fence || s.Round != c.round || c.phase != PhaseSettle && c.phase != PhaseRelease {
		return m
	}
	n := *s
	n.Step, n.Entered, n.PendingStep, n.ActiveMap, n.PendingMap = 0, false, 0, nil, nil
	return &n
}

// affectsCoordinator reports whether rank i's packet p can still affect its coordinator.
func (w *modelState) affectsCoordinator(i int, p *packet) bool {
	c := w.coordOf(p.fence)
	if c.phase == PhaseStopped {
		return false
	}
	v := &c.ranks[i]
	switch m := p.message.(type) {
	case *message.MapState:
		if m.Active == 0 && m.Incarnation != v.state.Incarnation {
			return m.Incarnation == w.ranks[i].start.Incarnation
		}
		if m.Fence != c.fence || m.Round != c.round {
			return m.Fence > c.fence
		}
		if c.phase == PhaseQuery {
			return !v.known
		}
		return c.phase <= PhaseRelease && m.Prepared == 0 && m.Committed == c.targetVersion && !v.released(c.targetVersion)
	case *message.MapPromise:
		return c.phase == PhasePrepare && m.Version == c.change.version && !v.promised
	}
	return true
}

func (w *modelState) coordOf(fence uint64) *Coordinator {
	for _, c := range w.coords {
		if c.fence == fence {
			return c
		}
	}
	return nil
}

func filterPackets(set []*packet, useful func(*packet) bool) []*packet {
	for n, p := range set {
		if useful(p) {
			continue
		}
		kept := append([]*packet(nil), set[:n]...)
		for _, q := range set[n:] {
			if useful(q) {
				kept = append(kept, q)
			}
		}
		return kept
	}
	return set
}

// encode returns the canonical encoding of a state. States that differ only in the
// order of the ranks have the same encoding.
func (w *modelState) encode(scratch *[modelRanks][]byte, out []byte) []byte {
	for i := range scratch {
		scratch[i] = w.appendRank(scratch[i][:0], i)
	}
	order := [modelRanks]int{0, 1, 2}
	for i := 1; i < modelRanks; i++ {
		for j := i; j > 0 && bytes.Compare(scratch[order[j]], scratch[order[j-1]]) < 0; j-- {
			order[j], order[j-1] = order[j-1], order[j]
		}
	}
	out = append(out[:0], w.faultsLeft.engineCrashes, w.faultsLeft.agentCrashes, w.faultsLeft.coordinators, w.faultsLeft.rounds)
	for _, i := range order {
		out = appendUints(out, uint64(len(scratch[i])))
		out = append(out, scratch[i]...)
	}
	for _, c := range w.coords {
		if c.phase == PhaseStopped {
			out = append(out, 0)
			continue
		}
		out = appendUints(out, uint64(c.phase), c.round, c.lastVersion, c.targetVersion, c.committed, c.change.version, c.change.step)
		out = appendUints(out, c.join.Active, c.join.Step, c.join.Pending, c.join.PendingStep, uint64(len(c.maps)))
		for _, d := range c.inherited {
			out = appendUints(out, d.version, bit(d.commit))
		}
	}
	return out
}

// successors calls visit with every state that a single event leads to.
func (w *modelState) successors(visit func(*modelState)) {
	apply := func(e event, change func(*modelState)) {
		next := w.clone()
		e.before = w.trace
		next.trace = &e
		change(next)
		for _, c := range next.coords {
			if c.round > uint64(1+w.faultsLeft.rounds) {
				return
			}
		}
		visit(next)
	}
	for i := range w.ranks {
		w.rankEvents(i, apply)
		if w.faultsLeft.engineCrashes > 0 {
			apply(event{name: "engine crash", rank: i}, func(n *modelState) { n.faultsLeft.engineCrashes--; n.crashEngine(i) })
		}
		if w.faultsLeft.agentCrashes > 0 {
			apply(event{name: "agent crash", rank: i}, func(n *modelState) { n.faultsLeft.agentCrashes--; n.crashAgent(i) })
		}
	}
	if w.faultsLeft.coordinators > 0 {
		apply(event{name: "new coordinator"}, func(n *modelState) { n.faultsLeft.coordinators--; n.startCoordinator() })
	}
	for k, c := range w.coords {
		if c.phase == PhasePrepare || c.phase == PhaseSettle || c.phase == PhaseRelease {
			apply(event{name: "timeout", rank: k}, func(n *modelState) { own := n.mutableCoord(k); n.sendAll(own, own.newRound(0)) })
		}
	}
}

// rankEvents applies the events at rank i. An order and the engine's answer are one
// event, because the events of other components between them have no influence on
// the result. The exception is a crash of the agent between them, after which the
// order may still reach the engine.
func (w *modelState) rankEvents(i int, apply func(event, func(*modelState))) {
	for _, p := range w.toRank[i] {
		w.orderEvent(event{name: "to", rank: i, packet: p}, apply, func(n *modelState) { n.deliverToRank(i, p) })
	}
	for _, p := range w.toCoord[i] {
		apply(event{name: "from", rank: i, packet: p}, func(n *modelState) { n.deliverToCoord(i, p) })
	}
	if l := w.ranks[i].pendingLoad; l != nil && !l.done {
		w.orderEvent(event{name: "loaded", rank: i}, apply, func(n *modelState) { n.load(i) })
	}
	for o := range w.lateOrders[i] {
		apply(event{name: "late order", rank: i}, func(n *modelState) { n.applyLateOrder(i, o) })
	}
	if w.canEnter(i) {
		apply(event{name: "step", rank: i}, func(n *modelState) { n.enter(i) })
	}
}

func (w *modelState) orderEvent(e event, apply func(event, func(*modelState)), change func(*modelState)) {
	apply(e, func(n *modelState) {
		change(n)
		if n.ranks[e.rank].pendingOrder != nil {
			n.applyOrder(e.rank)
		}
	})
	if w.faultsLeft.agentCrashes > 0 {
		e.name += " and agent crash"
		apply(e, func(n *modelState) {
			change(n)
			n.faultsLeft.agentCrashes--
			n.crashAgent(e.rank)
		})
	}
}

// result is the summary of an exploration.
type result struct {
	states                  int
	depth                   int
	complete, broken, stuck bool
	trace                   *event
	// committed is true if in some state the switch step ran with the new map,
	// aborted if in some state it ran with the old one.
	committed, aborted bool
}

// explore visits the states that are reachable from start breadth-first, up to
// about limit states, and calls sample for each of them.
func explore(start *modelState, limit int, sample func(int, *modelState)) result {
	seen := map[uint64]struct{}{}
	var scratch [modelRanks][]byte
	var out []byte
	var res result
	level := []*modelState{start}
	for len(level) > 0 && res.states < limit {
		var next []*modelState
		for _, w := range level {
			w.successors(func(n *modelState) {
				n.checkStuck()
				if n.broken || n.stuck {
					res.broken, res.stuck, res.trace = n.broken, n.stuck, n.trace
					return
				}
				n.prune()
				out = n.encode(&scratch, out)
				h := xxhash.Sum64(out)
				if _, ok := seen[h]; ok {
					return
				}
				seen[h] = struct{}{}
				res.states++
				n.recordOutcome(&res)
				if sample != nil {
					sample(res.states, n)
				}
				next = append(next, n)
			})
			if res.trace != nil {
				return res
			}
		}
		level = next
		res.depth++
	}
	res.complete = len(level) == 0
	return res
}

func (w *modelState) recordOutcome(res *result) {
	first := w.versions[0][switchStep]
	for i := range w.versions {
		if w.versions[i][switchStep] != first {
			return
		}
	}
	if first == 0 {
		return
	}
	if first == w.versions[0][1] {
		res.aborted = true
		return
	}
	res.committed = true
}
