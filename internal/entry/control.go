package entry

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/membership"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// linksPerRemoteZone is the number of peer entries in each other availability zone
// to which an entry keeps links.
const linksPerRemoteZone = 3

// minStopTime is the minimum time between the announcement of the stop to the peers and
// the end of the entry.
const minStopTime = 500 * time.Millisecond

// agentState is the state of one agent, as seen by this entry.
type agentState struct {
	identity message.Identity
	links    []link.Peer
	requests *routing.Counter
	report   routing.Report
}

// peerState is the state of one peer entry, as seen by this entry.
type peerState struct {
	identity   message.Identity
	links      []link.Peer
	pools      map[string]*poolState
	lastReport sentReport
}

// poolState is a peer entry's report about one pool of its availability zone, and
// the number of requests that this entry has in flight to the pool through that peer.
type poolState struct {
	requests *routing.Counter
	report   routing.Report
	agents   []string
}

// control is the state that the control goroutine owns. Its times are counted from the
// entry's start.
type control struct {
	entry         *Entry
	index         *config.Index
	stopping      bool
	stoppingSince time.Duration
	agents        map[string]*agentState
	peers         map[string]*peerState
	dials         map[string]dial
	// agentTracker tracks the membership state of agents, peerTracker that of entries,
	// which report less often.
	agentTracker *membership.Tracker
	peerTracker  *membership.Tracker
	// listedLeaving holds, by name, the incarnations that the platform's list shows as leaving.
	listedLeaving map[string]uint64
	// dirty is true while the published view is older than the control state.
	dirty bool
	// peersAdded is true if an entry was linked since the last announceNewPeers.
	peersAdded        bool
	lastReportAt      time.Duration
	lastReportCheckAt time.Duration
	// reportedDigest is the digest of the pools and targets at the time of the last reports.
	reportedDigest uint64
	lastTickAt     time.Duration
}

func newControl(e *Entry) *control {
	return &control{
		entry:        e,
		agents:       make(map[string]*agentState),
		peers:        make(map[string]*peerState),
		dials:        make(map[string]dial),
		agentTracker: membership.New(membership.Config{}),
		peerTracker: membership.New(membership.Config{
			SuspectAfter: 2*maxReportInterval + reportCheckInterval, DeadAfter: 4 * maxReportInterval,
		}),
	}
}

// trackerOf returns the tracker that is responsible for the named process.
func (c *control) trackerOf(name string) *membership.Tracker {
	if c.peers[name] != nil {
		return c.peerTracker
	}
	return c.agentTracker
}

// finished reports whether the entry is stopping, no request is in flight, and
// minStopTime has passed. During that time the entry refuses requests that peers
// forwarded before they learned of the stop.
func (c *control) finished() bool {
	return c.stopping && c.entry.limiter.inFlight() == 0 && c.entry.now()-c.stoppingSince >= minStopTime
}

// nextTick returns the time of the next call of tick, counted from the entry's start.
func (c *control) nextTick() time.Duration {
	report := c.lastReportCheckAt + reportCheckInterval
	if !c.dirty && !c.stopping {
		return report
	}
	return min(report, c.lastTickAt+tickInterval)
}

// tick publishes collected changes and sends reports to the peers when they are due.
func (c *control) tick() {
	now := c.entry.now()
	c.lastTickAt = now
	if now-c.lastReportCheckAt >= reportCheckInterval {
		c.sendReportsIfDue()
		c.expireDials(now)
		c.announceNewPeers()
		c.dirty = true // processes that were silent for too long become suspected
	}
	if c.dirty {
		c.publish()
	}
}

// addAgentLink adds a new link to an agent; a new incarnation starts with an empty state.
func (c *control) addAgentLink(p link.Peer) {
	id := p.Identity()
	a := c.agents[id.Name]
	if a == nil || a.identity.Incarnation != id.Incarnation {
		a = &agentState{identity: id, requests: new(routing.Counter)}
		c.agents[id.Name] = a
	}
	a.links = append(a.links, p)
	c.agentTracker.RecordActivity(time.Now(), id, false)
	c.publish()
}

// addPeerLink adds a new link to an entry; a new incarnation starts with an empty state.
func (c *control) addPeerLink(p link.Peer) {
	id := p.Identity()
	s := c.peers[id.Name]
	if s == nil || s.identity.Incarnation != id.Incarnation {
		s = &peerState{identity: id, pools: make(map[string]*poolState)}
		c.peers[id.Name] = s
	}
	s.links = append(s.links, p)
	c.peerTracker.RecordActivity(time.Now(), id, false)
	c.publish()
	c.sendReport(s, p, c.zoneLoads(), c.entry.evidence(c.entry.now(), len(c.peers)+1))
	c.sendMembersTo(p)
	c.peersAdded = true
}

// removeLink removes a link; a process without links receives no new work.
func (c *control) removeLink(p link.Peer) {
	name := p.Identity().Name
	remaining := 0
	if a := c.agents[name]; a != nil {
		a.links = withoutLink(a.links, p)
		remaining += len(a.links)
	}
	if s := c.peers[name]; s != nil {
		s.links = withoutLink(s.links, p)
		remaining += len(s.links)
	}
	if remaining == 0 {
		c.trackerOf(name).RecordLinkLoss(name)
	}
	c.publish()
}

func withoutLink(links []link.Peer, p link.Peer) []link.Peer {
	kept := make([]link.Peer, 0, len(links))
	for _, l := range links {
		if l != p {
			kept = append(kept, l)
		}
	}
	return kept
}

// updateLoad records an agent's load report.
func (c *control) updateLoad(p link.Peer, load message.Load) {
	a := c.agents[p.Identity().Name]
	if a == nil || a.identity.Incarnation != p.Identity().Incarnation {
		return
	}
	if !a.report.Update(load, a.requests.InFlight()) {
		return
	}
	if load.State == message.TargetLeaving || load.State == message.TargetDown {
		c.publish()
		return
	}
	c.dirty = true
}

// updateZone records a peer's report about its availability zone.
func (c *control) updateZone(p link.Peer, r *message.ZoneReport) {
	s := c.peers[p.Identity().Name]
	if s == nil {
		return
	}
	c.peerTracker.RecordActivity(time.Now(), p.Identity(), r.Leaving)
	pools := make(map[string]*poolState, len(r.Pools))
	for _, pool := range r.Pools {
		state := s.pools[pool.Pool]
		if state == nil {
			state = &poolState{requests: new(routing.Counter)}
		}
		state.report.Update(pool.Load, state.requests.InFlight())
		if !r.SameAgents {
			state.agents = pool.Agents
		}
		pools[pool.Pool] = state
	}
	s.pools = pools
	if r.Leaving {
		c.publish()
		return
	}
	c.dirty = true
}

// applyConfig applies a configuration.
func (c *control) applyConfig(x *config.Index) {
	c.index = x
	c.publish()
	c.reportToPeers()
}

// stop makes the entry refuse new work and announces that to the peers.
func (c *control) stop() {
	c.stopping = true
	c.stoppingSince = c.entry.now()
	c.publish()
	c.reportToPeers()
	c.entry.opts.Logger.Info().Str("event", "stopping").Int("requests", c.entry.limiter.inFlight()).Msg("")
}
