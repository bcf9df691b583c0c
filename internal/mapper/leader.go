package mapper

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

const (
	// memberTimeout is the age up to which a rank's heartbeat is used for a plan.
	memberTimeout = 1500 * time.Millisecond
	// retryInterval is the time after which an unanswered request of a round is sent again.
	retryInterval = 40 * time.Millisecond
	// mapRetryInterval is used instead while maps are sent: each has a size of some
	// kilobytes.
	mapRetryInterval = 300 * time.Millisecond
	// copyGrace is added to twice the expected copy time to give the time after which a
	// change is abandoned.
	copyGrace = 4 * time.Second
)

// Estimates with which the planner weighs a change; see rebalance.Config. Demand shifts
// every few seconds, and passes are slightly slower while experts are copied.
const (
	planStepTime     = 15 * time.Millisecond
	planStepInterval = 80 * time.Millisecond
	planHorizon      = 5 * time.Second
	planChangeCost   = 100 * time.Millisecond
	planMaxMoves     = 64 // experts per layer
	// copySlowdown is the share by which passes take longer while a rank copies experts.
	copySlowdown = 0.15
	// moveWeight multiplies the step time that a copy costs, since copies also load the
	// link over which weights are read.
	moveWeight = 5
)

// moveCost returns the step time that copying one expert costs, given that all ranks copy
// at the same time.
func moveCost(copyTime time.Duration, ranks int) time.Duration {
	return time.Duration(moveWeight * copySlowdown * float64(copyTime) / float64(ranks))
}

func (m *Mapper) newLeaderState() *leaderState {
	e := m.engine
	shape := rebalance.Shape{Ranks: m.local.Size, Layers: e.Layers, Experts: e.Experts, SlotsPerRank: e.SlotsPerRank}
	return &leaderState{
		coordinator: mapswitch.New(m.local.Rank, m.local.Size, m.firstEpoch),
		shape:       shape,
		members:     make(map[int]*member),
		demands:     make(map[int]rankDemand),
		collectors:  make(map[int]appointment),
		planner: rebalance.NewPlanner(rebalance.Config{
			Shape: shape, ExpertSize: 1, StepTime: planStepTime, StepInterval: planStepInterval,
			Horizon: planHorizon, MoveCost: moveCost(e.CopyTime, m.local.Size), ChangeCost: planChangeCost,
			Window: 1, Delay: 2, MaxMoves: planMaxMoves, MaxNewPerRank: e.MaxCopiesPerChange,
			LoadTime: e.CopyTime, LoadSlowdown: copySlowdown,
		}),
	}
}

// handleHeartbeat records a rank's heartbeat; addr is nil for the local rank.
func (l *leaderState) handleHeartbeat(addr *net.UDPAddr, rank int, h *heartbeat) {
	mb := l.members[rank]
	if mb == nil {
		mb = &member{}
		l.members[rank] = mb
	}
	if len(h.Experts) > 0 || h.Version != mb.rows.Version {
		mb.rows = RankExperts{Version: h.Version, Experts: h.Experts}
	}
	mb.addr, mb.lastSeen = addr, time.Now()
	if len(h.Load) > 0 {
		l.recordDemand(rank, &demandReport{Load: h.Load, Max: h.Max, Ranks: []int{rank}})
	}
	l.recordShiftReport(h.Shifted)
}

// recordShiftReport handles a report that says whether the demand has shifted.
func (l *leaderState) recordShiftReport(shifted bool) {
	if now := time.Now(); shifted {
		if now.Sub(l.lastShiftReport) > shiftReportTime {
			l.recordShift(now)
		}
		l.lastShiftReport = now
	}
}

// recordShift postpones the next plan until all ranks have reported the new demand.
func (l *leaderState) recordShift(now time.Time) {
	l.shiftedAt = now
	l.nextRound = earlier(l.nextRound, now.Add(l.settleTime()))
}

// settleTime returns the time after the first report of a shift within which all ranks detect
// and report it. Collectors forward the reports at their polls.
func (l *leaderState) settleTime() time.Duration {
	if l.shape.Ranks > collectorBlock {
		return shiftSettleTime + pollInterval
	}
	return shiftSettleTime
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// awaitingHeartbeats reports whether the demand shifted so recently that some ranks may not
// have reported the new demand.
func (l *leaderState) awaitingHeartbeats() bool { return time.Since(l.shiftedAt) < l.settleTime() }

// planOutdated reports whether the demand has shifted since the last plan was made, and the
// ranks have had time to report the new demand.
func (l *leaderState) planOutdated() bool {
	return l.shiftedAt.After(l.plannedAt) && !l.awaitingHeartbeats()
}

// allRanksSeen reports whether every rank has sent a heartbeat within memberTimeout.
func (l *leaderState) allRanksSeen(size int) bool {
	for r := range size {
		if !l.rankSeen(r) {
			return false
		}
	}
	return true
}

// stepRounds advances the leader's rounds and returns the time until it is due again.
func (m *Mapper) stepRounds(ctx context.Context) time.Duration {
	l := m.leaderState
	if l == nil || !m.isLeader && !l.mustFinish() && m.local.State.HeldPass == mapswitch.NoPass {
		return idleRoundPause
	}
	now := time.Now()
	if l.round != nil {
		if !l.round.done() {
			return m.continueRound(ctx, now)
		}
		m.finishRound(ctx)
	}
	if wait := l.nextRound.Sub(now); wait > 0 {
		return wait
	}
	if !l.allRanksSeen(m.local.Size) {
		return idleRoundPause
	}
	return m.startRound(ctx, now)
}

// finishRound passes the states of all ranks to the coordinator.
func (m *Mapper) finishRound(ctx context.Context) {
	l := m.leaderState
	states := l.round.states()
	if l.round.sendsPrepare && l.copyDueAt.IsZero() {
		l.copyDueAt = time.Now().Add(l.copyTime)
	}
	l.round = nil
	before := l.coordinator.Phase()
	l.commands = l.coordinator.Round(states)
	after := l.coordinator.Phase()
	if before != after {
		m.logPhase(before, after)
	}
	if before == mapswitch.Releasing && after == mapswitch.Idle {
		m.changes.Inc(1)
		if l.planned.version == l.coordinator.Version() {
			l.lastMap = l.planned
		}
	}
	if before == mapswitch.Preparing && after == mapswitch.Preparing {
		m.abandonStaleChange()
	}
	if m.isLeader && !m.stopping && l.coordinator.Ready() {
		m.planChange(ctx, states)
	}
	l.nextRound = time.Now().Add(l.roundPause())
}

// roundPause returns the time until the next round.
func (l *leaderState) roundPause() time.Duration {
	pause := phasePause(l.coordinator.Phase())
	if l.coordinator.Phase() == mapswitch.Idle && l.shape.Ranks > smallGroupSize {
		pause *= 2
	}
	if l.coordinator.Phase() == mapswitch.Preparing {
		if l.copyDueAt.IsZero() {
			return 0
		}
		pause = max(pause, time.Until(l.copyDueAt))
	}
	if l.shiftedAt.After(l.plannedAt) {
		return min(pause, max(l.settleTime()-time.Since(l.shiftedAt), settleRoundPause))
	}
	return pause
}

// abandonStaleChange abandons a change whose copies take too long, or for which the demand
// has shifted since it was planned.
func (m *Mapper) abandonStaleChange() {
	l := m.leaderState
	demand, known := l.demand()
	outdated := known && l.planOutdated() && distance(demand.Load, l.plannedDemand) >= shiftThreshold
	if !outdated && time.Since(l.begunAt) < 2*l.copyTime+copyGrace {
		return
	}
	l.coordinator.Abandon()
	l.commands = nil
	m.abandoned.Inc(1)
	m.opts.Logger.Info().Str("event", "map-abandoned").Int64("version", l.coordinator.Version()).Bool("demand_shifted", outdated).
		Int64("since_begin_ms", time.Since(l.begunAt).Milliseconds()).Msg("")
}

// mustFinish reports whether a change has advanced so far that it must be completed.
func (l *leaderState) mustFinish() bool {
	p := l.coordinator.Phase()
	return p != mapswitch.Idle && p != mapswitch.Preparing
}

// phasePause returns the time between two rounds in a phase.
func phasePause(p mapswitch.Phase) time.Duration {
	switch p {
	case mapswitch.Idle:
		return planInterval
	case mapswitch.Preparing:
		return copyRoundPause
	default:
		return switchRoundPause
	}
}

func (m *Mapper) logPhase(before, after mapswitch.Phase) {
	c := m.leaderState.coordinator
	m.opts.Logger.Info().Str("event", "map-change").Str("group", m.local.Group).Str("from", before.String()).Str("to", after.String()).
		Int64("version", c.Version()).Int("held_rank", c.Holder()).Int64("held_pass", c.HoldPass()).Int64("pass", m.local.State.Pass).
		Int64("since_begin_ms", time.Since(m.leaderState.begunAt).Milliseconds()).Msg("")
}

// activeMap returns the active map, or nil while the versions in the ranks' heartbeats
// differ from those in their states, or a rank's experts do not fit the engine's description.
func (l *leaderState) activeMap(states []mapswitch.State) [][][]uint16 {
	if l.lastMap.activeIn(states) {
		return l.lastMap.rows
	}
	rows := make([][][]uint16, l.shape.Layers)
	for r := range states {
		mb := l.members[r]
		if mb == nil || mb.rows.Version != states[r].Version || !fitsShape(l.shape, mb.rows.Experts) {
			return nil
		}
		for layer, experts := range mb.rows.Experts {
			rows[layer] = append(rows[layer], experts)
		}
	}
	return rows
}

// activeIn reports whether every rank uses the map.
func (s *switchedMap) activeIn(states []mapswitch.State) bool {
	for i := range states {
		if states[i].Epoch != s.epoch || states[i].Version != s.version {
			return false
		}
	}
	return s.rows != nil
}

// planChange makes a plan when one is due, and begins a change if its gain exceeds its
// cost.
func (m *Mapper) planChange(ctx context.Context, states []mapswitch.State) {
	l := m.leaderState
	active := l.activeMap(states)
	if active == nil || l.awaitingHeartbeats() || !l.planOutdated() && time.Since(l.plannedAt) < planInterval {
		return
	}
	demand, ok := l.demand()
	switch {
	case ok:
		if l.demandUnsteady(demand) {
			return
		}
		m.saveDemand(ctx, demand)
		l.planner.Observe(demand)
	case states[m.local.Rank].Version == 0 && len(m.lastPlannedDemand) == len(demand.Load):
		// The group has just formed and no experts have been chosen yet.
		demand.Load = m.lastPlannedDemand
		l.planner.Observe(demand)
	default:
		return
	}
	l.plannedAt = time.Now()
	from := mapFromRows(l.shape, active, demand)
	plan := l.planner.Plan(from, int64(l.shape.Layers*l.shape.LayerSlots()))
	if plan.Moved == 0 {
		return
	}
	rows := withoutFillers(rowsFromMap(plan.Map), active, from)
	if !l.coordinator.Begin(rows, rankDigests(rows, l.shape.Ranks), 1) {
		return
	}
	maxCopies := maxNewExperts(l.shape, from, plan.Map)
	l.planned = switchedMap{epoch: states[m.local.Rank].Epoch, version: l.coordinator.Version(), rows: rows}
	l.commands, l.plannedDemand = nil, demand.Load
	l.begunAt = time.Now()
	l.copyTime = time.Duration(maxCopies) * m.engine.CopyTime
	l.copyDueAt = time.Time{}
	m.opts.Logger.Info().Str("event", "map-planned").Str("group", m.local.Group).Int64("version", l.coordinator.Version()).
		Int("copies", plan.Moved).Int("copies_of_one_rank", maxCopies).Float64("skew", rebalance.Skew(from, demand)).
		Float64("skew_after", rebalance.Skew(plan.Map, demand)).Float64("trust", l.planner.RealisedShare()).Msg("")
	l.nextRound = time.Now()
}

// unsteadyThreshold is the share of the group's demand that moves between two evaluations
// from which the demand may be shifting, although no rank has detected a shift yet.
const unsteadyThreshold = 0.15

// demandUnsteady reports whether the demand seems to be shifting, and records a shift if
// so.
func (l *leaderState) demandUnsteady(demand rebalance.Popularity) bool {
	before := l.lastDemand
	l.lastDemand = demand.Load
	if before == nil || l.planOutdated() || distance(before, demand.Load) < unsteadyThreshold {
		return false
	}
	l.recordShift(time.Now())
	return true
}

// demand returns the sum of the recent demand of all ranks. It returns false if the demand
// of a rank is missing or outdated, or if the sum is zero.
func (l *leaderState) demand() (rebalance.Popularity, bool) {
	p := rebalance.Popularity{Experts: l.shape.Experts, Load: make([]float64, l.shape.Layers*l.shape.Experts)}
	reports := slices.SortedFunc(maps.Values(l.demands), func(a, b rankDemand) int { return b.reportedAt.Compare(a.reportedAt) })
	covered := make([]bool, l.shape.Ranks)
	count, total := 0, 0.0
	for _, d := range reports {
		if time.Since(d.reportedAt) > memberTimeout || !claimRanks(covered, d.ranks) {
			continue
		}
		count += len(d.ranks)
		for i, v := range d.load {
			p.Load[i] += v
			total += v
		}
	}
	return p, count == l.shape.Ranks && total > 0
}

// claimRanks marks the ranks of a report as covered. It returns false, and marks none, if one is
// covered by a newer report or does not exist.
func claimRanks(covered []bool, ranks []int) bool {
	for _, r := range ranks {
		if r < 0 || r >= len(covered) || covered[r] {
			return false
		}
	}
	for _, r := range ranks {
		covered[r] = true
	}
	return true
}
