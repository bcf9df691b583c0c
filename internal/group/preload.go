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
	// preloadTimeout bounds a preload; the plan is given up then.
	preloadTimeout = 10 * time.Minute
)

// preload is a planned map whose weights the ranks are loading. Loading takes far
// longer than the lead of a change; ranks that promised early would hold the group.
type preload struct {
	round  uint64
	data   []byte
	began  time.Duration
	sent   time.Duration
	loaded map[int]bool
}

// beginPreload asks every rank to load the weights of m.
func (d *Driver) beginPreload(ctx context.Context, m []byte) {
	d.preloadRound++
	d.preload = &preload{round: d.preloadRound, data: m, began: d.now(), loaded: make(map[int]bool)}
	d.sendPreloads(ctx)
}

// sendPreloads asks the ranks that have not answered.
func (d *Driver) sendPreloads(ctx context.Context) {
	p := d.preload
	p.sent = d.now()
	m := &message.MapPreload{Group: d.opts.Group, Fence: d.fence, Round: p.round, Map: p.data}
	for r := range d.cfg.Shape.Ranks {
		if d.preload == p && !p.loaded[r] {
			d.sendToRank(ctx, expertmap.Send{Rank: r, Message: m})
		}
	}
}

// tickPreload repeats unanswered preloads and gives up an overdue one.
func (d *Driver) tickPreload(ctx context.Context) {
	p := d.preload
	switch {
	case p == nil:
	case d.coordinator == nil, d.now()-p.began > preloadTimeout:
		d.preload = nil
	case d.now()-p.sent > preloadResend:
		d.sendPreloads(ctx)
	}
}

// preloaded counts an answer and proposes the map after the last one.
func (d *Driver) preloaded(ctx context.Context, m *message.MapPreloaded) {
	p := d.preload
	if p == nil || d.coordinator == nil || m.Fence != d.fence || m.Round != p.round {
		return
	}
	p.loaded[m.Rank] = true
	if len(p.loaded) < d.cfg.Shape.Ranks {
		return
	}
	d.preload = nil
	d.coordinate(ctx, expertmap.Propose{Map: p.data})
}

// servePreload loads weights for the coordinator named from; a request for a load
// that is under way already is passed over.
func (d *Driver) servePreload(ctx context.Context, from string, m *message.MapPreload) {
	key := preloadKey{fence: m.Fence, round: m.Round}
	if d.rank == nil || m.Group != d.opts.Group || m.Fence < d.rank.Fence() || d.loading == key {
		return
	}
	d.loading = key
	l := expertmap.Load{Map: m.Map}
	start := d.pacer.Reserve(d.now(), d.loadSize(l))
	go func() {
		err := d.loadWeights(ctx, l, start)
		d.send(ctx, preloadEnded{key: key, from: from, data: m.Map, err: err})
	}()
}

// preloadKey identifies a preload of any coordinator.
type preloadKey struct{ fence, round uint64 }

// preloadEnded reports the end of loading weights ahead.
type preloadEnded struct {
	key  preloadKey
	from string
	data []byte
	err  error
}

// apply answers the coordinator; after a failure its next request loads again.
func (ev preloadEnded) apply(ctx context.Context, d *Driver) {
	if d.loading == ev.key {
		d.loading = preloadKey{}
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
