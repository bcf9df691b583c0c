package entry

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// event changes the control state; apply runs on the control goroutine only.
type event interface{ apply(c *control) }

type (
	peerUp   struct{ peer link.Peer }
	peerDown struct {
		peer  link.Peer
		cause error
	}
	heartbeat struct {
		peer link.Peer
		beat *message.Heartbeat
	}
	loadSeen struct {
		peer link.Peer
		load message.Load
	}
	zoneReport struct {
		peer   link.Peer
		report *message.ZoneReport
	}
	// dispatched reports whether a dispatch got any answer from the named agent or entry;
	// an answer counts as a sign of life of an agent.
	dispatched struct {
		name     string
		answered bool
	}
	members    struct{ list []message.Member }
	configured struct{ index *config.Index }
	stopAsked  struct{}
	dumpAsked  struct{ reply chan State }
)

func (ev peerUp) apply(c *control) {
	if ev.peer.Identity().Role == message.RoleAgent {
		c.agentUp(ev.peer)
		c.tellMembersTo(ev.peer)
		return
	}
	c.peerUp(ev.peer)
}

func (ev peerDown) apply(c *control) { c.linkDown(ev.peer) }

func (ev heartbeat) apply(c *control) {
	c.tracker.Heard(time.Now(), ev.peer.Identity(), ev.beat.Leaving)
	c.loadSeen(ev.peer, ev.beat.Load)
}

func (ev loadSeen) apply(c *control) { c.loadSeen(ev.peer, ev.load) }

func (ev dispatched) apply(c *control) {
	if ev.answered {
		c.trackerOf(ev.name).Succeeded(ev.name)
		if a := c.agents[ev.name]; a != nil {
			c.tracker.Heard(time.Now(), a.identity, false)
		}
		return
	}
	c.trackerOf(ev.name).Failed(time.Now(), ev.name)
	c.dirty = true
}

func (ev zoneReport) apply(c *control) { c.zoneReport(ev.peer, ev.report) }

func (ev members) apply(c *control) { c.learn(ev.list) }

func (ev configured) apply(c *control) { c.configure(ev.index) }

func (ev stopAsked) apply(c *control) { c.stop() }

func (ev dumpAsked) apply(c *control) { ev.reply <- c.state() }
