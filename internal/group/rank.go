package group

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/expertmap"
	"github.com/gentiantrail/gentiantrail/internal/lease"
)

// startRank makes the rank once the platform has told the lease's fence and the
// engine its state; until then the rank answers nobody.
func (d *Driver) startRank(ctx context.Context, checksFencing bool) {
	for ctx.Err() == nil {
		started, err := d.readStart(ctx, checksFencing)
		if err == nil {
			d.send(ctx, started)
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
		began: time.Now().Add(-age),
		start: expertmap.RankStart{
			Group: d.opts.Group, Index: d.opts.Rank, Incarnation: newIncarnation(), Fence: fence,
			ChecksFencing: checksFencing, EngineIsNew: age < time.Since(d.start),
		},
		engine: state,
	}, nil
}

// restartRank forgets the rank and makes a new one from the engine's state.
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
	d.engineBegan = ev.began
	d.loadedMap = ev.engine.ActiveMap
	d.rank = expertmap.NewRank(ev.start)
	d.incarnation = ev.start.Incarnation
	d.logEvent("rank-started").Uint64("fence", ev.start.Fence).Uint64("active", ev.engine.Active).Msg("")
	if d.rank.Excluded() {
		d.logEvent("rank-excluded").Str("detail", "the engine ignores fencing; restart it to take part in changes").Msg("")
	}
	d.blank = ev.engine.Active == 0
}

// tickHello makes a rank without a map known to the coordinator, whoever it is,
// until it has joined.
func (d *Driver) tickHello(ctx context.Context) {
	if !d.blank || d.rank == nil || d.rank.Excluded() || d.now()-d.helloAt < helloInterval {
		return
	}
	d.helloAt = d.now()
	if d.coordinator != nil {
		d.coordinate(ctx, expertmap.FromRank{Message: d.rank.Hello()})
	}
	for _, p := range d.peers {
		_ = p.Send(d.rank.Hello())
	}
}

// toRank hands an event to the rank and carries out its effects.
func (d *Driver) toRank(ctx context.Context, ev expertmap.RankEvent) {
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
			go d.orderEngine(ctx, d.incarnation, e)
		}
	}
}

// loadSize returns the size of the weights of l that the rank does not hold yet.
func (d *Driver) loadSize(l expertmap.Load) int64 {
	return movedBytes(d.opts.Rank, d.cfg.ExpertSize, d.loadedMap, l.Map)
}

// load brings the weights of a prepared map into memory.
func (d *Driver) load(ctx context.Context, incarnation uint64, l expertmap.Load, start time.Duration) {
	err := d.loadWeights(ctx, l, start)
	d.send(ctx, loaded{incarnation: incarnation, version: l.Version, data: l.Map, err: err})
}

// loadWeights loads weights once the weight store's rate allows it.
func (d *Driver) loadWeights(ctx context.Context, l expertmap.Load, start time.Duration) error {
	select {
	case <-time.After(start - d.now()):
		return d.opts.Engine.Load(ctx, l)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Driver) orderEngine(ctx context.Context, incarnation uint64, o expertmap.Order) {
	reply, err := d.opts.Engine.Order(ctx, o)
	select {
	case d.events <- ordered{incarnation: incarnation, reply: reply, err: err}:
	case <-ctx.Done():
	}
}

func (ev loaded) apply(ctx context.Context, d *Driver) {
	if ev.incarnation != d.incarnation {
		return
	}
	if ev.err != nil {
		d.logEvent("weights-not-loaded").Str("detail", ev.err.Error()).Msg("")
		return
	}
	d.loadedMap = ev.data
	d.toRank(ctx, expertmap.Loaded{Version: ev.version})
}

// apply takes the engine's answer. Without one, the order may or may not have been
// carried out: the rank starts again from the engine's state.
func (ev ordered) apply(ctx context.Context, d *Driver) {
	if ev.incarnation != d.incarnation {
		return
	}
	if ev.err == nil {
		d.blank = ev.reply.State.Active == 0
		d.toRank(ctx, expertmap.Ordered{Reply: ev.reply})
		return
	}
	d.logEvent("engine-order-failed").Str("detail", ev.err.Error()).Msg("")
	d.restartRank(ctx)
}

// watchEngine looks for restarts of the engine until ctx ends.
func (d *Driver) watchEngine(ctx context.Context) {
	for ctx.Err() == nil {
		if age, _, err := d.opts.Engine.State(ctx); err == nil {
			d.post(engineSeen{began: time.Now().Add(-age)})
		}
		select {
		case <-time.After(engineInterval):
		case <-ctx.Done():
		}
	}
}

// apply starts the rank again when its engine has started since.
func (ev engineSeen) apply(ctx context.Context, d *Driver) {
	if d.rank != nil && ev.began.Sub(d.engineBegan) > engineClockSlack {
		d.logEvent("engine-restarted").Msg("")
		d.restartRank(ctx)
	}
}
