package group

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/expertmap"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

// event changes the driver's state; apply runs on the driver's goroutine only.
type event interface {
	apply(ctx context.Context, d *Driver)
}

type (
	peerUp   struct{ peer link.Peer }
	peerDown struct{ peer link.Peer }
	received struct {
		from string
		m    message.Message
	}
	configured     struct{ cfg Config }
	popularitySeen struct {
		popularity rebalance.Popularity
		active     []byte
		err        error
	}
	registered  struct{ members []Member }
	engineSeen  struct{ began time.Time }
	rankStarted struct {
		began  time.Time
		start  expertmap.RankStart
		engine expertmap.EngineState
	}
	loaded struct {
		incarnation uint64
		version     uint64
		data        []byte
		err         error
	}
	ordered struct {
		incarnation uint64
		reply       expertmap.Reply
		err         error
	}
)

func (ev peerUp) apply(_ context.Context, d *Driver) {
	d.peers[ev.peer.Identity().Name] = ev.peer
}

func (ev peerDown) apply(_ context.Context, d *Driver) {
	name := ev.peer.Identity().Name
	if d.peers[name] == ev.peer {
		delete(d.peers, name)
	}
}

func (ev received) apply(ctx context.Context, d *Driver) { d.receive(ctx, ev.from, ev.m) }

// receive handles a message of another agent of the group, or of this one.
func (d *Driver) receive(ctx context.Context, from string, m message.Message) {
	switch m := m.(type) {
	case *message.MapState, *message.MapPromise:
		if d.coordinator != nil {
			d.coordinate(ctx, expertmap.FromRank{Message: m})
		}
	case *message.MapPreload:
		d.servePreload(ctx, from, m)
	case *message.MapPreloaded:
		d.preloaded(ctx, m)
	default:
		d.toRank(ctx, expertmap.Received{From: from, Message: m})
	}
}

func (ev configured) apply(ctx context.Context, d *Driver) {
	if d.cfg == nil {
		d.begin(ctx, ev.cfg)
	}
}

func (ev registered) apply(_ context.Context, d *Driver) {
	for _, m := range ev.members {
		d.members[m.Rank] = m
		if m.Rank != d.opts.Rank && d.peers[m.Name] == nil {
			d.opts.Dial(m.Address)
		}
	}
}
