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

// appendRank encodes everything that concerns rank i but its index.
func (w *world) appendRank(b []byte, i int) []byte {
	r, e := w.ranks[i], w.engines[i]
	b = appendUints(b, r.start.Incarnation, bit(r.start.EngineIsNew), r.fence, r.round)
	b = appendUints(b, bit(r.loading != nil), bit(r.ordered != nil))
	if r.loading != nil {
		b = appendOrder(append(b, r.loading.from...), r.loading.order)
		b = appendUints(b, bit(r.loading.done))
	}
	if r.ordered != nil {
		b = appendOrder(append(b, r.ordered.from...), r.ordered.order)
		b = appendUints(b, bit(r.ordered.wantMaps))
	}
	s := e.State
	b = appendUints(b, s.Active, s.Step, bit(s.Entered), s.Pending.Version, s.Pending.Step, bit(s.Pending.Decided), bit(s.Pending.Released), e.number)
	b = appendUints(b, w.history[i][:]...)
	for _, o := range w.orphans[i] {
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

// appendView encodes what a coordinator in phase p still uses of its view of a rank.
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

// prune drops packets that can't have an effect any more, and those that only
// repeat what a later packet says; to drop them is to lose them.
func (w *world) prune() {
	w.stopDeposed()
	for i := range w.ranks {
		w.toRank[i] = keep(w.toRank[i], func(p *packet) bool { return w.matters(i, p) })
		w.toCoord[i] = keep(w.toCoord[i], func(p *packet) bool { return w.informs(i, p) })
	}
}

// stopDeposed stops coordinators that every rank refuses.
func (w *world) stopDeposed() {
	if w.v.noFence {
		return
	}
	for n, c := range w.coords {
		deposed := c.phase != PhaseStopped
		for _, r := range w.ranks {
			deposed = deposed && r.fence > c.fence
		}
		if deposed {
			w.ownCoord(n).phase = PhaseStopped
		}
	}
}

// matters reports whether rank i may still act on p.
func (w *world) matters(i int, p *packet) bool {
	r, e := w.ranks[i], w.engines[i]
	if p.fence < r.fence && !w.v.noFence {
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

// hasAnswered tells that rank i's state of this incarnation and round has
// arrived or is under way. A later answer to the same query need not be
// explored: it equals a late first delivery with the messages in between lost.
func (w *world) hasAnswered(i int, c *Coordinator) bool {
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

// normalise clears the fields of a state that the coordinator does not use in its phase.
func (c *Coordinator) normalise(m message.Message) message.Message {
	s, ok := m.(*message.MapState)
	if !ok || s.Fence != c.fence || s.Round != c.round || c.phase != PhaseSettle && c.phase != PhaseRelease {
		return m
	}
	n := *s
	n.Step, n.Entered, n.PendingStep, n.ActiveMap, n.PendingMap = 0, false, 0, nil, nil
	return &n
}

// informs reports whether the coordinator may still act on rank i's packet p.
func (w *world) informs(i int, p *packet) bool {
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
		return c.phase <= PhaseRelease && m.Prepared == 0 && m.Committed == c.target && !v.released(c.target)
	case *message.MapPromise:
		return c.phase == PhasePrepare && m.Version == c.change.version && !v.promised
	}
	return true
}

func (w *world) coordOf(fence uint64) *Coordinator {
	for _, c := range w.coords {
		if c.fence == fence {
			return c
		}
	}
	return nil
}

func keep(set []*packet, useful func(*packet) bool) []*packet {
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

// encode returns the canonical encoding: worlds that differ only in the order of ranks have the same.
func (w *world) encode(scratch *[worldRanks][]byte, out []byte) []byte {
	for i := range scratch {
		scratch[i] = w.appendRank(scratch[i][:0], i)
	}
	order := [worldRanks]int{0, 1, 2}
	for i := 1; i < worldRanks; i++ {
		for j := i; j > 0 && bytes.Compare(scratch[order[j]], scratch[order[j-1]]) < 0; j-- {
			order[j], order[j-1] = order[j-1], order[j]
		}
	}
	out = append(out[:0], w.left.engineCrashes, w.left.agentCrashes, w.left.coordinators, w.left.rounds)
	for _, i := range order {
		out = appendUints(out, uint64(len(scratch[i])))
		out = append(out, scratch[i]...)
	}
	for _, c := range w.coords {
		if c.phase == PhaseStopped {
			out = append(out, 0)
			continue
		}
		out = appendUints(out, uint64(c.phase), c.round, c.version, c.target, c.committed, c.change.version, c.change.step)
		out = appendUints(out, c.join.Active, c.join.Step, c.join.Pending, c.join.PendingStep, uint64(len(c.maps)))
		for _, d := range c.inherited {
			out = appendUints(out, d.version, bit(d.commit))
		}
	}
	return out
}

// successors calls visit with every world that one event leads to.
func (w *world) successors(visit func(*world)) {
	apply := func(e event, change func(*world)) {
		next := w.clone()
		e.before = w.trace
		next.trace = &e
		change(next)
		for _, c := range next.coords {
			if c.round > uint64(1+w.left.rounds) {
				return
			}
		}
		visit(next)
	}
	for i := range w.ranks {
		w.rankEvents(i, apply)
		if w.left.engineCrashes > 0 {
			apply(event{name: "engine crash", rank: i}, func(n *world) { n.left.engineCrashes--; n.crashEngine(i) })
		}
		if w.left.agentCrashes > 0 {
			apply(event{name: "agent crash", rank: i}, func(n *world) { n.left.agentCrashes--; n.crashAgent(i) })
		}
	}
	if w.left.coordinators > 0 {
		apply(event{name: "new coordinator"}, func(n *world) { n.left.coordinators--; n.startCoordinator() })
	}
	for k, c := range w.coords {
		if c.phase == PhasePrepare || c.phase == PhaseSettle || c.phase == PhaseRelease {
			apply(event{name: "timeout", rank: k}, func(n *world) { own := n.ownCoord(k); n.sendAll(own, own.newRound(0)) })
		}
	}
}

// rankEvents applies the events at rank i. An order and the engine's answer are
// one event, as nothing that others do between them matters, unless the agent
// crashes between them and leaves the order behind.
func (w *world) rankEvents(i int, apply func(event, func(*world))) {
	for _, p := range w.toRank[i] {
		w.orderEvent(event{name: "to", rank: i, packet: p}, apply, func(n *world) { n.deliverToRank(i, p) })
	}
	for _, p := range w.toCoord[i] {
		apply(event{name: "from", rank: i, packet: p}, func(n *world) { n.deliverToCoord(i, p) })
	}
	if l := w.ranks[i].loading; l != nil && !l.done {
		w.orderEvent(event{name: "loaded", rank: i}, apply, func(n *world) { n.load(i) })
	}
	for o := range w.orphans[i] {
		apply(event{name: "late order", rank: i}, func(n *world) { n.applyOrphan(i, o) })
	}
	if w.canEnter(i) {
		apply(event{name: "step", rank: i}, func(n *world) { n.enter(i) })
	}
}

func (w *world) orderEvent(e event, apply func(event, func(*world)), change func(*world)) {
	apply(e, func(n *world) {
		change(n)
		if n.ranks[e.rank].ordered != nil {
			n.applyOrder(e.rank)
		}
	})
	if w.left.agentCrashes > 0 {
		e.name += " and agent crash"
		apply(e, func(n *world) {
			change(n)
			n.left.agentCrashes--
			n.crashAgent(e.rank)
		})
	}
}

// result sums up an exploration.
type result struct {
	states                  int
	depth                   int
	complete, broken, stuck bool
	trace                   *event
	// committed and aborted tell that some world has run the switch step with the new and the old map.
	committed, aborted bool
}

// explore visits all worlds breadth-first, up to limit, and calls sample on some.
func explore(start *world, limit int, sample func(int, *world)) result {
	seen := map[uint64]struct{}{}
	var scratch [worldRanks][]byte
	var out []byte
	var res result
	level := []*world{start}
	for len(level) > 0 && res.states < limit {
		var next []*world
		for _, w := range level {
			w.successors(func(n *world) {
				n.check()
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
				n.note(&res)
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

func (w *world) note(res *result) {
	first := w.history[0][switchStep]
	for i := range w.history {
		if w.history[i][switchStep] != first {
			return
		}
	}
	if first == 0 {
		return
	}
	if first == w.history[0][1] {
		res.aborted = true
		return
	}
	res.committed = true
}
