package group

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/expertmap"
	"github.com/gentiantrail/gentiantrail/internal/lease"
)

// startRank reads the lease's fencing number from the platform and the state from
// the engine, until both succeed, and then starts the rank. Until then the rank
// answers no messages.
func (d *Driver) startRank(ctx context.Context, checksFencing bool) {
	for ctx.Err() == nil {
		started, err := d.readStart(ctx, checksFencing)
		if err == nil {
			d.deliverWithContext(ctx, started)
			return
		}
		d.logEvent("rank-not-started").Str("detail", err.Error()).Msg("")
		select {
		case <-time.After(startRetry):
		case <-ctx.Done():
		}
	}
}

func (d *Driver) readStart(ctx context.Context, checksFencing bool) (rankStarted, error) {
	fence, err := lease.ReadFence(ctx, d.opts.Store, "leases/"+d.opts.Group)
	if err != nil {
		return rankStarted{}, err
	}
	age, state, err := d.opts.Engine.State(ctx)
	if err != nil {
		return rankStarted{}, err
	}
	return rankStarted{
		startedAt: time.Now().Add(-age),
		start: expertmap.RankStart{
			Group: d.opts.Group, Index: d.opts.Rank, Incarnation: newIncarnation(), Fence: fence,
			ChecksFencing: checksFencing, EngineIsNew: age < time.Since(d.start),
		},
		engine: state,
	}, nil
}

// restartRank drops the rank and starts a new one from the engine's state.
func (d *Driver) restartRank(ctx context.Context) {
	d.rank = nil
	d.incarnation = 0
	if !d.starting {
		d.starting = true
		go d.startRank(ctx, d.cfg.ChecksFencing)
	}
}

func (ev rankStarted) apply(_ context.Context, d *Driver) {
	d.starting = false
	d.engineStartedAt = ev.startedAt
	d.loadedMap = ev.engine.ActiveMap
	d.rank = expertmap.NewRank(ev.start)
	d.incarnation = ev.start.Incarnation
	d.logEvent("rank-started").Uint64("fence", ev.start.Fence).Uint64("active", ev.engine.Active).Msg("")
	if d.rank.Excluded() {
		d.logEvent("rank-excluded").Str("detail", "engine does not check fencing numbers; restart the engine to take part in map changes").Msg("")
	}
	d.lacksMap = ev.engine.Active == 0
}

// announceRank periodically announces a rank without a map to all linked agents
// until the rank has joined, because any of them may be the coordinator.
func (d *Driver) announceRank(ctx context.Context) {
	if !d.lacksMap || d.rank == nil || d.rank.Excluded() || d.now()-d.announcedAt < announceInterval {
		return
	}
	d.announcedAt = d.now()
	if d.coordinator != nil {
		d.stepCoordinator(ctx, expertmap.FromRank{Message: d.rank.Announcement()})
	}
	for _, p := range d.peers {
		_ = p.Send(d.rank.Announcement())
	}
}

// stepRank passes an event to the rank and carries out the resulting effects.
func (d *Driver) stepRank(ctx context.Context, ev expertmap.RankEvent) {
	if d.rank == nil {
		return
	}
	for _, effect := range d.rank.Step(ev) {
		switch e := effect.(type) {
		case expertmap.Respond:
			d.respond(ctx, e.To, e.Message)
		case expertmap.Load:
			go d.load(ctx, d.incarnation, e, d.pacer.Reserve(d.now(), d.loadSize(e)))
		case expertmap.Order:
			go d.sendOrder(ctx, d.incarnation, e)
		}
	}
}

// loadSize returns the size in bytes of the weights of l that the rank has not
// loaded yet.
func (d *Driver) loadSize(l expertmap.Load) int64 {
	return movedBytes(d.opts.Rank, d.cfg.ExpertSize, d.loadedMap, l.Map)
}

// load loads the weights of a prepared map into memory and reports the result to
// the driver.
func (d *Driver) load(ctx context.Context, incarnation uint64, l expertmap.Load, start time.Duration) {
	err := d.loadWeights(ctx, l, start)
	d.deliverWithContext(ctx, loadEnded{incarnation: incarnation, version: l.Version, data: l.Map, err: err})
}

// loadWeights waits until start, from which the weight store's rate allows the load,
// and loads the weights.
func (d *Driver) loadWeights(ctx context.Context, l expertmap.Load, start time.Duration) error {
	select {
	case <-time.After(start - d.now()):
		return d.opts.Engine.Load(ctx, l)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Driver) sendOrder(ctx context.Context, incarnation uint64, o expertmap.Order) {
	reply, err := d.opts.Engine.Order(ctx, o)
	select {
	case d.events <- orderEnded{incarnation: incarnation, reply: reply, err: err}:
	case <-ctx.Done():
	}
}

func (ev loadEnded) apply(ctx context.Context, d *Driver) {
	if ev.incarnation != d.incarnation {
		return
	}
	if ev.err != nil {
		d.logEvent("weights-not-loaded").Str("detail", ev.err.Error()).Msg("")
		return
	}
	d.loadedMap = ev.data
	d.stepRank(ctx, expertmap.Loaded{Version: ev.version})
}

// apply handles the engine's answer. Without an answer, it is unknown whether the
// order was carried out, so the rank starts again from the engine's state.
func (ev orderEnded) apply(ctx context.Context, d *Driver) {
	if ev.incarnation != d.incarnation {
		return
	}
	if ev.err == nil {
		d.lacksMap = ev.reply.State.Active == 0
		d.stepRank(ctx, expertmap.OrderAnswered{Reply: ev.reply})
		return
	}
	d.logEvent("engine-order-failed").Str("detail", ev.err.Error()).Msg("")
	d.restartRank(ctx)
}

// watchEngine checks the engine for restarts until ctx ends.
func (d *Driver) watchEngine(ctx context.Context) {
	for ctx.Err() == nil {
		if age, _, err := d.opts.Engine.State(ctx); err == nil {
			d.tryDeliver(engineStateRead{startedAt: time.Now().Add(-age)})
		}
		select {
		case <-time.After(engineInterval):
		case <-ctx.Done():
		}
	}
}

// apply restarts the rank if the engine has restarted since the rank's start.
func (ev engineStateRead) apply(ctx context.Context, d *Driver) {
	if d.rank != nil && ev.startedAt.Sub(d.engineStartedAt) > engineClockSlack {
		d.logEvent("engine-restarted").Msg("")
		d.restartRank(ctx)
	}
}
