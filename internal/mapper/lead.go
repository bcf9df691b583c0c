package mapper

import (
	"context"
	"net"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

const (
	// memberTimeout is the age up to which a rank's hello is used for a plan.
	memberTimeout = 1500 * time.Millisecond
	// askAgain is the time after which an unanswered part of a round is sent again.
	askAgain = 40 * time.Millisecond
	// askMapsAgain is the same while maps are sent: they are some kilobytes each.
	askMapsAgain = 300 * time.Millisecond
	// mapsAtOnce maps are sent before a pause of mapsPause: an engine's instance may have
	// a link of a few megabits a second only.
	mapsAtOnce = 8
	mapsPause  = 25 * time.Millisecond
	// copySlack is added to the time that copying should take before a change is given up.
	copySlack = 4 * time.Second
)

// Estimates that the planner weighs a change with; see rebalance.Config. Demand shifts
// every few seconds, and copying slows passes a little while it lasts.
const (
	planStepTime     = 15 * time.Millisecond
	planStepInterval = 80 * time.Millisecond
	planHorizon      = 5 * time.Second
	planChangeCost   = 100 * time.Millisecond
	planMaxMoves     = 64 // experts a layer
	// copySlowdown is the part by which passes take longer while a rank copies experts.
	copySlowdown = 0.15
	// moveWeight is the price of a copy in the step time that it costs: copies load the
	// link of the weights beside slowing passes.
	moveWeight = 5
)

// moveCost is the step time that copying one expert costs: all ranks copy at once.
func moveCost(copyTime time.Duration, ranks int) time.Duration {
	return time.Duration(moveWeight * copySlowdown * float64(copyTime) / float64(ranks))
}

func (m *Mapper) newLeading() *leading {
	e := m.engine
	shape := rebalance.Shape{Ranks: m.own.Size, Layers: e.Layers, Experts: e.Experts, SlotsPerRank: e.Places}
	return &leading{
		coordinator: mapswitch.New(m.own.Rank, m.own.Size, m.firstEpoch),
		shape:       shape,
		members:     make(map[int]*member),
		planner: rebalance.NewPlanner(rebalance.Config{
			Shape: shape, ExpertSize: 1, StepTime: planStepTime, StepInterval: planStepInterval,
			Horizon: planHorizon, MoveCost: moveCost(e.CopyTime, m.own.Size), ChangeCost: planChangeCost,
			Window: 1, Delay: 2, MaxMoves: planMaxMoves, MaxNewPerRank: e.Spare,
			LoadTime: e.CopyTime, LoadSlowdown: copySlowdown,
		}),
	}
}

// heard takes in a rank's hello; addr is nil for the own rank.
func (l *leading) heard(addr *net.UDPAddr, rank int, h *helloBody) {
	mb := &member{addr: addr, heard: time.Now(), rows: Rows{Version: h.Version, Experts: h.Experts}}
	if len(h.Load) == l.shape.Layers*l.shape.Experts {
		mb.load = restore(h.Load, h.Most)
	}
	l.members[rank] = mb
	if now := time.Now(); h.Shifted {
		if now.Sub(l.shiftHeard) > shiftTold {
			l.shifts(now)
		}
		l.shiftHeard = now
	}
}

// shifts has the next plan wait until all ranks have told of a new demand.
func (l *leading) shifts(now time.Time) {
	l.shiftedAt = now
	l.nextRound = earlier(l.nextRound, now.Add(shiftSettle))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// awaitsRanks reports whether the demand has just shifted, so that not all ranks have
// told of the new one.
func (l *leading) awaitsRanks() bool { return time.Since(l.shiftedAt) < shiftSettle }

// outdated reports whether the demand has shifted since the change under way was planned.
func (l *leading) outdated() bool { return l.shiftedAt.After(l.planned) && !l.awaitsRanks() }

// complete reports whether every rank was heard lately.
func (l *leading) complete(size int) bool {
	for r := range size {
		mb := l.members[r]
		if mb == nil || time.Since(mb.heard) > memberTimeout {
			return false
		}
	}
	return true
}

// stepRounds advances the rounds of the leader and returns when it is due next.
func (m *Mapper) stepRounds(ctx context.Context) time.Duration {
	l := m.lead
	if l == nil || !m.leading && !l.unfinished() && m.own.State.Held == mapswitch.NoPass {
		return idleRound
	}
	now := time.Now()
	if l.round != nil {
		if !l.round.done() {
			return m.pressRound(ctx, now)
		}
		m.endRound(ctx)
	}
	if wait := l.nextRound.Sub(now); wait > 0 {
		return wait
	}
	if !l.complete(m.own.Size) {
		return idleRound
	}
	return m.beginRound(ctx, now)
}

// endRound hands the states of all ranks to the coordinator.
func (m *Mapper) endRound(ctx context.Context) {
	l := m.lead
	states := l.round.states()
	if l.round.prepares && l.copiedAt.IsZero() {
		l.copiedAt = time.Now().Add(l.copying)
	}
	l.round = nil
	before := l.coordinator.Phase()
	l.commands = l.coordinator.Round(states, l.inForce(states))
	after := l.coordinator.Phase()
	if before != after {
		m.logPhase(before, after)
	}
	if before == mapswitch.Releasing && after == mapswitch.Idle {
		m.changes.Inc(1)
	}
	if before == mapswitch.Preparing && after == mapswitch.Preparing {
		m.reconsider()
	}
	if m.leading && l.coordinator.Ready() {
		m.plan(ctx, states)
	}
	l.nextRound = time.Now().Add(l.pause())
}

// pause is the time until the next round.
func (l *leading) pause() time.Duration {
	pause := pauseIn(l.coordinator.Phase())
	if l.coordinator.Phase() == mapswitch.Preparing {
		if l.copiedAt.IsZero() {
			return 0
		}
		pause = max(pause, time.Until(l.copiedAt))
	}
	if l.shiftedAt.After(l.planned) {
		return min(pause, max(shiftSettle-time.Since(l.shiftedAt), calmRound))
	}
	return pause
}

// reconsider gives up a change whose copies take too long, or which is for a demand that
// is no more.
func (m *Mapper) reconsider() {
	l := m.lead
	demand, known := l.demand()
	outdated := known && l.outdated() && distance(demand.Load, l.plannedFor) >= shiftDistance
	if !outdated && time.Since(l.begun) < 2*l.copying+copySlack {
		return
	}
	l.coordinator.Abandon()
	l.commands = nil
	m.abandoned.Inc(1)
	m.opts.Logger.Info().Str("event", "map-abandoned").Int64("version", l.coordinator.Version()).Bool("demand_shifted", outdated).
		Int64("since_begin_ms", time.Since(l.begun).Milliseconds()).Msg("")
}

// unfinished reports whether a change has begun that must not be left.
func (l *leading) unfinished() bool {
	p := l.coordinator.Phase()
	return p != mapswitch.Idle && p != mapswitch.Preparing
}

func pauseIn(p mapswitch.Phase) time.Duration {
	switch p {
	case mapswitch.Idle:
		return planInterval
	case mapswitch.Preparing:
		return copyRound
	default:
		return busyRound
	}
}

func (m *Mapper) logPhase(before, after mapswitch.Phase) {
	c := m.lead.coordinator
	m.opts.Logger.Info().Str("event", "map-change").Str("group", m.own.Group).Str("from", before.String()).Str("to", after.String()).
		Int64("version", c.Version()).Int64("held_pass", c.Pass()).Int64("pass", m.own.State.Pass).
		Int64("since_begin_ms", time.Since(m.lead.begun).Milliseconds()).Msg("")
}

// inForce returns the map in force, or nil if the ranks' hellos don't agree with their
// states yet.
func (l *leading) inForce(states []mapswitch.State) [][][]uint16 {
	rows := make([][][]uint16, l.shape.Layers)
	for r := range states {
		mb := l.members[r]
		if mb == nil || mb.rows.Version != states[r].Version || len(mb.rows.Experts) != l.shape.Layers {
			return nil
		}
		for layer, experts := range mb.rows.Experts {
			rows[layer] = append(rows[layer], experts)
		}
	}
	return rows
}

// plan begins a change if one pays.
func (m *Mapper) plan(ctx context.Context, states []mapswitch.State) {
	l := m.lead
	current := l.inForce(states)
	if current == nil || l.awaitsRanks() || !l.outdated() && time.Since(l.planned) < planInterval {
		return
	}
	demand, ok := l.demand()
	switch {
	case ok:
		if l.unsteady(demand) {
			return
		}
		m.remember(ctx, demand)
		l.planner.Observe(demand)
	case states[m.own.Rank].Version == 0 && len(m.remembered) == len(demand.Load):
		// The group has formed anew and nothing was chosen yet.
		demand.Load = m.remembered
		l.planner.Observe(demand)
	default:
		return
	}
	l.planned = time.Now()
	from := mapOf(l.shape, current, demand)
	plan := l.planner.Plan(from, int64(l.shape.Layers*l.shape.LayerSlots()))
	if plan.Moved == 0 {
		return
	}
	rows := rowsOf(plan.Map)
	if !l.coordinator.Begin(rows, digestsOf(rows, l.shape.Ranks), 1) {
		return
	}
	most := mostNew(l.shape, from, plan.Map)
	l.commands, l.plannedFor = nil, demand.Load
	l.begun = time.Now()
	l.copying = time.Duration(most) * m.engine.CopyTime
	l.copiedAt = time.Time{}
	m.opts.Logger.Info().Str("event", "map-planned").Str("group", m.own.Group).Int64("version", l.coordinator.Version()).
		Int("copies", plan.Moved).Int("copies_of_one_rank", most).Float64("skew", rebalance.Skew(from, demand)).
		Float64("skew_after", rebalance.Skew(plan.Map, demand)).Float64("trust", l.planner.Trust()).Msg("")
	l.nextRound = time.Now()
}

// unsteadyDistance is the part of the group's demand that moves between two looks from
// which it seems to be shifting, though no rank is sure of it yet.
const unsteadyDistance = 0.15

// unsteady reports whether the demand seems to be shifting, and notes it if so.
func (l *leading) unsteady(demand rebalance.Popularity) bool {
	before := l.lookedAt
	l.lookedAt = demand.Load
	if before == nil || l.outdated() || distance(before, demand.Load) < unsteadyDistance {
		return false
	}
	l.shifts(time.Now())
	return true
}

// demand sums up the recent demand of all ranks.
func (l *leading) demand() (rebalance.Popularity, bool) {
	p := rebalance.Popularity{Experts: l.shape.Experts, Load: make([]float64, l.shape.Layers*l.shape.Experts)}
	total := 0.0
	for r := range l.shape.Ranks {
		mb := l.members[r]
		if mb == nil || mb.load == nil || time.Since(mb.heard) > memberTimeout {
			return p, false
		}
		for i, v := range mb.load {
			p.Load[i] += v
			total += v
		}
	}
	return p, total > 0
}
