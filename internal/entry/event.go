package entry

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// event is a change of the control state; apply runs on the control goroutine only.
type event interface{ apply(c *control) }

type (
	linkOpened struct{ peer link.Peer }
	linkClosed struct {
		peer  link.Peer
		cause error
	}
	heartbeatReceived struct {
		peer      link.Peer
		heartbeat *message.Heartbeat
	}
	loadReceived struct {
		peer link.Peer
		load message.Load
	}
	zoneReportReceived struct {
		peer   link.Peer
		report *message.ZoneReport
	}
	// dispatchFinished reports whether the named agent or entry answered a dispatch at all.
	// An agent's answer counts as activity, like a heartbeat.
	dispatchFinished struct {
		name     string
		answered bool
	}
	membersReceived struct{ list []message.Member }
	configReceived  struct{ index *config.Index }
	// evidenceChanged reports that this entry has seen a target end under a request.
	evidenceChanged struct{}
	stopRequested   struct{}
	stateRequested  struct{ reply chan State }
)

func (ev linkOpened) apply(c *control) {
	if ev.peer.Identity().Role == message.RoleAgent {
		c.addAgentLink(ev.peer)
		c.sendMembersTo(ev.peer)
		return
	}
	c.addPeerLink(ev.peer)
}

func (ev linkClosed) apply(c *control) { c.removeLink(ev.peer) }

func (ev heartbeatReceived) apply(c *control) {
	c.agentTracker.RecordActivity(time.Now(), ev.peer.Identity(), ev.heartbeat.Leaving)
	c.updateLoad(ev.peer, ev.heartbeat.Load)
}

func (ev loadReceived) apply(c *control) { c.updateLoad(ev.peer, ev.load) }

func (ev dispatchFinished) apply(c *control) {
	if ev.answered {
		c.trackerOf(ev.name).RecordSuccess(ev.name)
		if a := c.agents[ev.name]; a != nil {
			c.agentTracker.RecordActivity(time.Now(), a.identity, false)
		}
		return
	}
	c.trackerOf(ev.name).RecordFailure(time.Now(), ev.name)
	c.dirty = true
}

func (ev zoneReportReceived) apply(c *control) { c.updateZone(ev.peer, ev.report) }

func (ev membersReceived) apply(c *control) { c.dialMissing(ev.list) }

func (ev configReceived) apply(c *control) { c.applyConfig(ev.index) }

func (ev stopRequested) apply(c *control) { c.stop() }

func (ev stateRequested) apply(c *control) { ev.reply <- c.state() }

func (evidenceChanged) apply(c *control) { c.reportToPeers() }
