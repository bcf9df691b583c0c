package group

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/expertmap"
	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

// Estimates and limits with which the planner weighs the costs and gains of a
// change; see rebalance.Config.
const (
	planStepTime     = 15 * time.Millisecond
	planStepInterval = 29 * time.Millisecond
	planHorizon      = 10 * time.Minute
	planMoveCost     = 10 * time.Millisecond
	planChangeCost   = 50 * time.Millisecond
	planWindow       = 1  // reports
	planDelay        = 2  // reports
	planMaxMoves     = 24 // experts per layer
)

// planScheduler decides at the coordinator when the map is changed and to which map.
type planScheduler struct {
	cfg                Config
	planner            *rebalance.Planner
	lastDecision       time.Duration
	awaitingPopularity bool
}

func newPlanScheduler(c Config) *planScheduler {
	return &planScheduler{cfg: c, planner: rebalance.NewPlanner(rebalance.Config{
		Shape: c.Shape, ExpertSize: c.ExpertSize,
		StepTime: planStepTime, StepInterval: planStepInterval, Horizon: planHorizon,
		MoveCost: planMoveCost, ChangeCost: planChangeCost,
		Window: planWindow, Delay: planDelay, MaxMoves: planMaxMoves,
	})}
}

// budget returns the number of bytes that one decision may move within the weight
// store's rate.
func (p *planScheduler) budget() int64 {
	return int64(p.cfg.RebalanceInterval.Seconds() * float64(p.cfg.WeightRate))
}

// initialMap returns the encoded map for a group whose ranks hold no map. Its
// replicas are distributed evenly, as for the same load on all experts.
func initialMap(s rebalance.Shape) ([]byte, error) {
	even := rebalance.Popularity{Experts: s.Experts, Load: make([]float64, s.Layers*s.Experts)}
	for i := range even.Load {
		even.Load[i] = 1
	}
	return rebalance.Repack(s, even).Encode()
}

// rebalance requests the popularity from the engine when the next decision is due.
func (d *Driver) rebalance(ctx context.Context) {
	p := d.plan
	idle := d.coordinator != nil && d.coordinator.Phase() == expertmap.PhaseIdle
	if !idle || p.awaitingPopularity || d.preload != nil || d.now()-p.lastDecision < p.cfg.RebalanceInterval {
		return
	}
	p.awaitingPopularity = true
	p.lastDecision = d.now()
	go func() {
		popularity, err := d.opts.Engine.Popularity(ctx)
		if err != nil {
			d.deliverWithContext(ctx, popularityRead{err: err})
			return
		}
		_, state, err := d.opts.Engine.State(ctx)
		d.deliverWithContext(ctx, popularityRead{popularity: popularity, active: state.ActiveMap, err: err})
	}()
}

// deliverWithContext adds an event to the driver's queue. It waits for room in the
// queue until ctx ends.
func (d *Driver) deliverWithContext(ctx context.Context, ev event) {
	select {
	case d.events <- ev:
	case <-ctx.Done():
	}
}

// apply decides whether to change the map.
func (ev popularityRead) apply(ctx context.Context, d *Driver) {
	d.plan.awaitingPopularity = false
	if ev.err != nil {
		d.logEvent("popularity-unknown").Str("detail", ev.err.Error()).Msg("")
		return
	}
	current, err := rebalance.DecodeMap(ev.active)
	shape := d.plan.cfg.Shape
	if err != nil || current.Shape != shape || len(ev.popularity.Load) != shape.Layers*shape.Experts {
		d.logEvent("popularity-unusable").Msg("")
		return
	}
	d.plan.planner.Observe(ev.popularity)
	plan := d.plan.planner.Plan(current, d.plan.budget())
	if plan.Moved == 0 || d.coordinator == nil {
		return
	}
	next, err := plan.Map.Encode()
	if err != nil {
		return
	}
	d.logEvent("map-proposed").Int("moved", plan.Moved).Int64("bytes", plan.Bytes).Float64("gain", plan.Gain).Msg("")
	d.beginPreload(ctx, next)
}

// movedBytes returns the size in bytes of the weights that a rank has to load to
// change from the map current to the map next.
func movedBytes(rank int, expertSize int64, current, next []byte) int64 {
	from, err := rebalance.DecodeMap(current)
	to, err2 := rebalance.DecodeMap(next)
	if err != nil || err2 != nil || from.Shape != to.Shape {
		return 0
	}
	moved := 0
	for l := range to.Shape.Layers {
		first := rank * to.Shape.SlotsPerRank
		held := make(map[uint16]bool, to.Shape.SlotsPerRank)
		for _, e := range from.Layer(l)[first : first+to.Shape.SlotsPerRank] {
			held[e] = true
		}
		for _, e := range to.Layer(l)[first : first+to.Shape.SlotsPerRank] {
			if !held[e] {
				moved++
			}
		}
	}
	return int64(moved) * expertSize
}
