package group

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/expertmap"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

const (
	// preloadResend is the time after which unanswered preloads are sent again.
	preloadResend = 2 * time.Second
	// preloadTimeout is the time after which an unfinished preload is cancelled and
	// its plan abandoned.
	preloadTimeout = 10 * time.Minute
)

// preload is a planned map whose weights the ranks are loading before the change
// starts. Loading takes far longer than the steps between a prepare and its switch
// step, so without a preload the ranks that promise early would stop the group at
// the switch step.
type preload struct {
	round     uint64
	data      []byte
	startedAt time.Duration
	sentAt    time.Duration
	loaded    map[int]bool
}

// beginPreload asks every rank to load the weights of m.
func (d *Driver) beginPreload(ctx context.Context, m []byte) {
	d.preloadRound++
	d.preload = &preload{round: d.preloadRound, data: m, startedAt: d.now(), loaded: make(map[int]bool)}
	d.sendPreloads(ctx)
}

// sendPreloads sends the request to the ranks that have not answered.
func (d *Driver) sendPreloads(ctx context.Context) {
	p := d.preload
	p.sentAt = d.now()
	m := &message.MapPreload{Group: d.opts.Group, Fence: d.fence, Round: p.round, Map: p.data}
	for r := range d.cfg.Shape.Ranks {
		if d.preload == p && !p.loaded[r] {
			d.sendToRank(ctx, expertmap.Send{Rank: r, Message: m})
		}
	}
}

// tickPreload repeats unanswered requests and cancels a preload that takes too long
// or whose coordinator has ended.
func (d *Driver) tickPreload(ctx context.Context) {
	p := d.preload
	switch {
	case p == nil:
	case d.coordinator == nil, d.now()-p.startedAt > preloadTimeout:
		d.preload = nil
	case d.now()-p.sentAt > preloadResend:
		d.sendPreloads(ctx)
	}
}

// handlePreloaded records a rank's answer and, after the last one, proposes the map.
func (d *Driver) handlePreloaded(ctx context.Context, m *message.MapPreloaded) {
	p := d.preload
	if p == nil || d.coordinator == nil || m.Fence != d.fence || m.Round != p.round {
		return
	}
	p.loaded[m.Rank] = true
	if len(p.loaded) < d.cfg.Shape.Ranks {
		return
	}
	d.preload = nil
	d.stepCoordinator(ctx, expertmap.Propose{Map: p.data})
}

// handlePreload loads weights on behalf of the coordinator named from. It ignores a
// request for a load that is already in progress.
func (d *Driver) handlePreload(ctx context.Context, from string, m *message.MapPreload) {
	key := preloadKey{fence: m.Fence, round: m.Round}
	if d.rank == nil || m.Group != d.opts.Group || m.Fence < d.rank.Fence() || d.activePreload == key {
		return
	}
	d.activePreload = key
	l := expertmap.Load{Map: m.Map}
	start := d.pacer.Reserve(d.now(), d.loadSize(l))
	go func() {
		err := d.loadWeights(ctx, l, start)
		d.deliverWithContext(ctx, preloadEnded{key: key, from: from, data: m.Map, err: err})
	}()
}

// preloadKey identifies a preload of any coordinator.
type preloadKey struct{ fence, round uint64 }

// preloadEnded reports that the weights of a preload were loaded or failed to load.
type preloadEnded struct {
	key  preloadKey
	from string
	data []byte
	err  error
}

// apply answers the coordinator. After a failure it sends no answer, so that the
// coordinator's next request starts the load again.
func (ev preloadEnded) apply(ctx context.Context, d *Driver) {
	if d.activePreload == ev.key {
		d.activePreload = preloadKey{}
	}
	if ev.err != nil {
		d.logEvent("weights-not-loaded").Str("detail", ev.err.Error()).Msg("")
		return
	}
	d.loadedMap = ev.data
	d.respond(ctx, ev.from, &message.MapPreloaded{
		Group: d.opts.Group, Rank: d.opts.Rank, Fence: ev.key.fence, Round: ev.key.round,
	})
}
