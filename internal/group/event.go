package group

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/expertmap"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

// event is an input that changes the driver's state. apply runs only on the
// driver's goroutine.
type event interface {
	apply(ctx context.Context, d *Driver)
}

type (
	// peerUp reports that a link to another agent is up, peerDown that it has ended.
	peerUp   struct{ peer link.Peer }
	peerDown struct{ peer link.Peer }
	// messageReceived reports a message from the agent named from.
	messageReceived struct {
		from    string
		message message.Message
	}
	// configured reports a call of Configure.
	configured struct{ cfg Config }
	// popularityRead reports the popularity and the active map, as read from the engine.
	popularityRead struct {
		popularity rebalance.Popularity
		active     []byte
		err        error
	}
	// membersRead reports the members of the group, as read from the platform.
	membersRead struct{ members []Member }
	// engineStateRead reports the start time of the engine.
	engineStateRead struct{ startedAt time.Time }
	// rankStarted reports that the state from which the rank starts has been read.
	rankStarted struct {
		startedAt time.Time
		start     expertmap.RankStart
		engine    expertmap.EngineState
	}
	// loadEnded reports that the weights of a prepared map were loaded or failed to load.
	loadEnded struct {
		incarnation uint64
		version     uint64
		data        []byte
		err         error
	}
	// orderEnded reports the engine's answer to an order, or the error of the call.
	orderEnded struct {
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

func (ev messageReceived) apply(ctx context.Context, d *Driver) {
	d.handleMessage(ctx, ev.from, ev.message)
}

// handleMessage handles a message from another agent of the group or from this one.
func (d *Driver) handleMessage(ctx context.Context, from string, m message.Message) {
	switch m := m.(type) {
	case *message.MapState, *message.MapPromise:
		if d.coordinator != nil {
			d.stepCoordinator(ctx, expertmap.FromRank{Message: m})
		}
	case *message.MapPreload:
		d.handlePreload(ctx, from, m)
	case *message.MapPreloaded:
		d.handlePreloaded(ctx, m)
	default:
		d.stepRank(ctx, expertmap.Received{From: from, Message: m})
	}
}

func (ev configured) apply(ctx context.Context, d *Driver) {
	if d.cfg == nil {
		d.startWithConfig(ctx, ev.cfg)
	}
}

func (ev membersRead) apply(_ context.Context, d *Driver) {
	for _, m := range ev.members {
		d.members[m.Rank] = m
		if m.Rank != d.opts.Rank && d.peers[m.Name] == nil {
			d.opts.Dial(m.Address)
		}
	}
}
