package expertmap

import (
	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// RankStart contains the parameters of a new Rank.
type RankStart struct {
	Group string
	Index int
	// Incarnation is random for each start of the agent or the engine.
	Incarnation uint64
	// Fence is the fencing number of the group's lease, read from the platform after
	// the start. No earlier incarnation was bound to a higher number.
	Fence uint64
	// ChecksFencing is true if the engine refuses orders with an old fencing number.
	ChecksFencing bool
	// EngineIsNew is true if the engine started after this agent, so that no order
	// of an earlier agent can still reach it.
	EngineIsNew bool
}

// Rank implements one rank's part of the protocol. The agent creates a new Rank
// with a new incarnation when the agent starts, when the engine restarts, and when
// the connection to the engine breaks while an order is unanswered.
type Rank struct {
	start RankStart
	// fence and round are the highest fencing number and the highest round under it
	// that the rank has accepted.
	fence, round uint64
	pendingLoad  *pendingLoad
	pendingOrder *pendingOrder
}

// pendingLoad is a prepare or a join whose weights are being loaded, or whose
// order waits until the engine has answered another one.
type pendingLoad struct {
	from  string
	order Order
	done  bool
}

// pendingOrder is an order that the engine has not answered yet.
type pendingOrder struct {
	from     string
	order    Order
	wantMaps bool
}

// NewRank returns a Rank that is bound to start.Fence.
func NewRank(start RankStart) *Rank {
	return &Rank{start: start, fence: start.Fence}
}

// Excluded reports whether the rank is excluded from changes, because its engine
// ignores fencing numbers and may still receive an order of an earlier agent. The
// exclusion ends when the engine restarts. Until then the group continues to run
// steps with its current map.
func (r *Rank) Excluded() bool {
	return !r.start.ChecksFencing && !r.start.EngineIsNew
}

// Fence returns the fencing number that the rank is bound to.
func (r *Rank) Fence() uint64 { return r.fence }

// Announcement returns the message with which a new Rank whose engine holds no map
// announces itself to the coordinator.
func (r *Rank) Announcement() *message.MapState {
	return r.stateMessage(EngineState{}, false)
}

// Step handles an event and returns the resulting effects. Messages that arrive
// while an order to the engine is unanswered are dropped; the coordinator sends
// them again.
func (r *Rank) Step(ev RankEvent) []RankEffect {
	if r.Excluded() {
		return nil
	}
	switch ev := ev.(type) {
	case Received:
		if r.pendingOrder != nil {
			return nil
		}
		return r.handleMessage(ev.From, ev.Message)
	case Loaded:
		return r.handleLoaded(ev.Version)
	case OrderAnswered:
		return r.handleReply(ev.Reply)
	}
	return nil
}

func (r *Rank) handleMessage(from string, m message.Message) []RankEffect {
	switch m := m.(type) {
	case *message.MapQuery:
		return r.handleQuery(from, m)
	case *message.MapPrepare:
		return r.handlePrepare(from, m)
	case *message.MapDecide:
		return r.handleDecide(from, m)
	case *message.MapJoin:
		return r.handleJoin(from, m)
	}
	return nil
}

// bindFence binds the rank to a higher fencing number and drops a load that was
// started under a lower one.
func (r *Rank) bindFence(fence uint64) {
	if fence > r.fence {
		r.fence, r.round, r.pendingLoad = fence, 0, nil
	}
}

func (r *Rank) handleQuery(from string, m *message.MapQuery) []RankEffect {
	if m.Fence < r.fence {
		return r.rejectStale(from)
	}
	r.bindFence(m.Fence)
	if m.Round < r.round {
		return nil
	}
	if m.Round > r.round {
		r.round, r.pendingLoad = m.Round, nil
	}
	return r.sendOrder(pendingOrder{from: from, order: Order{Kind: OrderFence}, wantMaps: m.WantMaps})
}

func (r *Rank) handlePrepare(from string, m *message.MapPrepare) []RankEffect {
	if m.Fence < r.fence {
		return r.rejectStale(from)
	}
	r.bindFence(m.Fence)
	order := Order{Kind: OrderHold, Version: m.Version, Step: m.Step, Map: m.Map}
	return r.startLoad(pendingLoad{from: from, order: order})
}

func (r *Rank) handleDecide(from string, m *message.MapDecide) []RankEffect {
	if m.Fence < r.fence {
		return r.rejectStale(from)
	}
	r.bindFence(m.Fence)
	if !m.Commit && r.pendingLoad != nil && r.pendingLoad.order.Version == m.Version {
		r.pendingLoad = nil
	}
	order := Order{Kind: OrderResolve, Version: m.Version, Commit: m.Commit}
	if m.Release {
		order.Kind = OrderRelease
	}
	return r.sendOrder(pendingOrder{from: from, order: order})
}

func (r *Rank) handleJoin(from string, m *message.MapJoin) []RankEffect {
	if m.Fence != r.fence || m.Round != r.round || m.Incarnation != r.start.Incarnation {
		return nil
	}
	order := Order{Kind: OrderInstall, Version: m.Active, Step: m.Step, Map: m.ActiveMap}
	if m.Pending != 0 {
		order.Pending = Pending{Version: m.Pending, Step: m.PendingStep, Decided: true, Map: m.PendingMap}
	}
	return r.startLoad(pendingLoad{from: from, order: order})
}

// startLoad starts to load weights, unless the same load is in progress.
func (r *Rank) startLoad(l pendingLoad) []RankEffect {
	if r.pendingLoad != nil && r.pendingLoad.order.Kind == l.order.Kind && r.pendingLoad.order.Version == l.order.Version {
		return nil
	}
	r.pendingLoad = &l
	o := l.order
	return []RankEffect{Load{Version: o.Version, Map: o.Map, Pending: o.Pending.Version, PendingMap: o.Pending.Map}}
}

func (r *Rank) handleLoaded(version uint64) []RankEffect {
	if r.pendingLoad == nil || r.pendingLoad.order.Version != version {
		return nil
	}
	r.pendingLoad.done = true
	return r.sendLoadedOrder()
}

// sendLoadedOrder sends the order that follows a finished load, unless another
// order is unanswered.
func (r *Rank) sendLoadedOrder() []RankEffect {
	l := r.pendingLoad
	if l == nil || !l.done || r.pendingOrder != nil {
		return nil
	}
	r.pendingLoad = nil
	return r.sendOrder(pendingOrder{from: l.from, order: l.order})
}

func (r *Rank) sendOrder(o pendingOrder) []RankEffect {
	o.order.Number = orderNumber(r.fence, r.round)
	r.pendingOrder = &o
	return []RankEffect{o.order}
}

// handleReply sends the coordinator the outcome of the pending order.
func (r *Rank) handleReply(reply Reply) []RankEffect {
	o := r.pendingOrder
	if o == nil {
		return nil
	}
	r.pendingOrder = nil
	var m message.Message
	if o.order.Kind == OrderHold {
		m = r.promiseMessage(o.order, reply.Refused)
	} else {
		m = r.stateMessage(reply.State, o.wantMaps)
	}
	return append([]RankEffect{Respond{To: o.from, Message: m}}, r.sendLoadedOrder()...)
}

func (r *Rank) promiseMessage(o Order, refused apierr.Kind) *message.MapPromise {
	p := &message.MapPromise{
		Group:   r.start.Group,
		Rank:    r.start.Index,
		Version: o.Version,
		Fence:   r.fence,
		Step:    o.Step,
	}
	if refused != apierr.KindNone {
		p.RefusalKind = &refused
	}
	return p
}

func (r *Rank) stateMessage(s EngineState, wantMaps bool) *message.MapState {
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

// rejectStale notifies a deposed coordinator of the higher fencing number.
func (r *Rank) rejectStale(from string) []RankEffect {
	m := &message.MapState{Group: r.start.Group, Rank: r.start.Index, Fence: r.fence}
	return []RankEffect{Respond{To: from, Message: m}}
}
