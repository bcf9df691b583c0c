package expertmap

import (
	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// RankStart says what a Rank knows when it is made.
type RankStart struct {
	Group string
	Index int
	// Incarnation is random for each start of the agent or the engine.
	Incarnation uint64
	// Fence is the group lease's fencing number, read from the platform after
	// the start; no earlier incarnation was bound to a higher one.
	Fence uint64
	// ChecksFencing tells that the engine refuses orders with an old number.
	ChecksFencing bool
	// EngineIsNew tells that the engine started after this agent did, so that
	// no earlier agent's order can still reach it.
	EngineIsNew bool
}

// Rank is one rank's part of the protocol. The agent makes a new Rank with a new
// incarnation when it starts, when the engine restarts, and when the connection
// to the engine breaks with an order unanswered.
type Rank struct {
	start RankStart
	// fence and round are the highest that the rank is bound to.
	fence, round uint64
	loading      *loading
	ordered      *ordered
}

// loading is a prepare or a join whose weights are being loaded.
type loading struct {
	from  string
	order Order
	done  bool
}

// ordered is an order that the engine has not answered.
type ordered struct {
	from     string
	order    Order
	wantMaps bool
}

// NewRank returns a Rank.
func NewRank(start RankStart) *Rank {
	return &Rank{start: start, fence: start.Fence}
}

// Excluded tells that the rank takes no part in changes: its engine ignores
// fencing numbers and may still receive an earlier agent's order. It ends when
// the engine restarts. The group goes on stepping with its map meanwhile.
func (r *Rank) Excluded() bool {
	return !r.start.ChecksFencing && !r.start.EngineIsNew
}

// Fence returns the fencing number that the rank is bound to.
func (r *Rank) Fence() uint64 { return r.fence }

// Hello returns the message with which a new Rank whose engine holds no map
// makes itself known to the coordinator.
func (r *Rank) Hello() *message.MapState {
	return r.state(EngineState{}, false)
}

// Step handles an event. Messages that arrive while the engine has an order
// unanswered are dropped; the coordinator sends them again.
func (r *Rank) Step(ev RankEvent) []RankEffect {
	if r.Excluded() {
		return nil
	}
	switch ev := ev.(type) {
	case Received:
		if r.ordered != nil {
			return nil
		}
		return r.received(ev.From, ev.Message)
	case Loaded:
		return r.loaded(ev.Version)
	case Ordered:
		return r.answered(ev.Reply)
	}
	return nil
}

func (r *Rank) received(from string, m message.Message) []RankEffect {
	switch m := m.(type) {
	case *message.MapQuery:
		return r.query(from, m)
	case *message.MapPrepare:
		return r.prepare(from, m)
	case *message.MapDecide:
		return r.decide(from, m)
	case *message.MapJoin:
		return r.join(from, m)
	}
	return nil
}

// bind raises the fence; work of a lower fence is dropped.
func (r *Rank) bind(fence uint64) {
	if fence > r.fence {
		r.fence, r.round, r.loading = fence, 0, nil
	}
}

func (r *Rank) query(from string, m *message.MapQuery) []RankEffect {
	if m.Fence < r.fence {
		return r.stale(from)
	}
	r.bind(m.Fence)
	if m.Round < r.round {
		return nil
	}
	if m.Round > r.round {
		r.round, r.loading = m.Round, nil
	}
	return r.order(ordered{from: from, order: Order{Kind: OrderFence}, wantMaps: m.WantMaps})
}

func (r *Rank) prepare(from string, m *message.MapPrepare) []RankEffect {
	if m.Fence < r.fence {
		return r.stale(from)
	}
	r.bind(m.Fence)
	order := Order{Kind: OrderHold, Version: m.Version, Step: m.Step, Map: m.Map}
	return r.load(loading{from: from, order: order})
}

func (r *Rank) decide(from string, m *message.MapDecide) []RankEffect {
	if m.Fence < r.fence {
		return r.stale(from)
	}
	r.bind(m.Fence)
	if !m.Commit && r.loading != nil && r.loading.order.Version == m.Version {
		r.loading = nil
	}
	order := Order{Kind: OrderResolve, Version: m.Version, Commit: m.Commit}
	if m.Release {
		order.Kind = OrderRelease
	}
	return r.order(ordered{from: from, order: order})
}

func (r *Rank) join(from string, m *message.MapJoin) []RankEffect {
	if m.Fence != r.fence || m.Round != r.round || m.Incarnation != r.start.Incarnation {
		return nil
	}
	order := Order{Kind: OrderInstall, Version: m.Active, Step: m.Step, Map: m.ActiveMap}
	if m.Pending != 0 {
		order.Pending = Pending{Version: m.Pending, Step: m.PendingStep, Decided: true, Map: m.PendingMap}
	}
	return r.load(loading{from: from, order: order})
}

// load starts to load weights unless the same load is under way.
func (r *Rank) load(l loading) []RankEffect {
	if r.loading != nil && r.loading.order.Kind == l.order.Kind && r.loading.order.Version == l.order.Version {
		return nil
	}
	r.loading = &l
	o := l.order
	return []RankEffect{Load{Version: o.Version, Map: o.Map, Pending: o.Pending.Version, PendingMap: o.Pending.Map}}
}

func (r *Rank) loaded(version uint64) []RankEffect {
	if r.loading == nil || r.loading.order.Version != version {
		return nil
	}
	r.loading.done = true
	return r.orderLoaded()
}

// orderLoaded gives the order that follows a finished load, unless the engine is busy.
func (r *Rank) orderLoaded() []RankEffect {
	l := r.loading
	if l == nil || !l.done || r.ordered != nil {
		return nil
	}
	r.loading = nil
	return r.order(ordered{from: l.from, order: l.order})
}

func (r *Rank) order(o ordered) []RankEffect {
	o.order.Number = orderNumber(r.fence, r.round)
	r.ordered = &o
	return []RankEffect{o.order}
}

// answered turns the engine's answer into the rank's answer.
func (r *Rank) answered(reply Reply) []RankEffect {
	o := r.ordered
	if o == nil {
		return nil
	}
	r.ordered = nil
	var m message.Message
	if o.order.Kind == OrderHold {
		m = r.promise(o.order, reply.Refused)
	} else {
		m = r.state(reply.State, o.wantMaps)
	}
	return append([]RankEffect{Respond{To: o.from, Message: m}}, r.orderLoaded()...)
}

func (r *Rank) promise(o Order, refused apierr.Kind) *message.MapPromise {
	p := &message.MapPromise{
		Group:   r.start.Group,
		Rank:    r.start.Index,
		Version: o.Version,
		Fence:   r.fence,
		Step:    o.Step,
	}
	if refused != apierr.KindNone {
		p.Refused = &refused
	}
	return p
}

func (r *Rank) state(s EngineState, wantMaps bool) *message.MapState {
	m := &message.MapState{
		Group:       r.start.Group,
		Rank:        r.start.Index,
		Fence:       r.fence,
		Round:       r.round,
		Incarnation: r.start.Incarnation,
		Active:      s.Active,
		Committed:   s.Active,
		Step:        s.Step,
		Entered:     s.Entered,
		PendingStep: s.Pending.Step,
		Released:    s.Pending.Released,
	}
	if s.Pending.Decided {
		m.Committed = s.Pending.Version
	} else {
		m.Prepared = s.Pending.Version
	}
	if wantMaps {
		m.ActiveMap, m.PendingMap = s.ActiveMap, s.Pending.Map
	}
	return m
}

// stale tells a deposed coordinator of the higher fence.
func (r *Rank) stale(from string) []RankEffect {
	m := &message.MapState{Group: r.start.Group, Rank: r.start.Index, Fence: r.fence}
	return []RankEffect{Respond{To: from, Message: m}}
}
