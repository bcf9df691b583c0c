package entry

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/membership"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// linksPerRemoteZone is the number of peer entries that an entry keeps links to
// in each other availability zone.
const linksPerRemoteZone = 3

// stopLinger is the least time between telling the peers of the stop and the entry's
// end.
const stopLinger = 500 * time.Millisecond

// agentState is what the control goroutine knows of one agent.
type agentState struct {
	identity message.Identity
	links    []link.Peer
	sent     *routing.Counter
	report   routing.Report
}

// peerState is what the control goroutine knows of one entry.
type peerState struct {
	identity message.Identity
	links    []link.Peer
	pools    map[string]*poolState
	told     reported
}

// poolState is what a peer entry reported about one pool of its availability zone,
// and the requests that this entry has sent to the pool through it.
type poolState struct {
	sent   *routing.Counter
	report routing.Report
	agents []string
}

// control is the state that the control goroutine owns.
type control struct {
	entry     *Entry
	index     *config.Index
	stopping  bool
	stoppedAt time.Duration
	agents    map[string]*agentState
	peers     map[string]*peerState
	dialled   map[string]dial
	// tracker holds the beliefs about agents, peerTracker those about entries, which
	// report less often.
	tracker     *membership.Tracker
	peerTracker *membership.Tracker
	// dirty tells that the view is older than what the control goroutine knows.
	// listedLeaving holds the incarnations that the platform\'s list calls leaving.
	listedLeaving map[string]uint64
	dirty         bool
	// joined tells that an entry was linked since the last tellMembers.
	joined     bool
	lastReport time.Duration
	lastCheck  time.Duration
	// reportedTargets is the digest of the targets named in the last reports.
	reportedTargets uint64
	lastTick        time.Duration
}

func newControl(e *Entry) *control {
	return &control{
		entry:   e,
		agents:  make(map[string]*agentState),
		peers:   make(map[string]*peerState),
		dialled: make(map[string]dial),
		tracker: membership.New(membership.Config{}),
		peerTracker: membership.New(membership.Config{
			SuspectAfter: 2*peerReportInterval + reportInterval, DeadAfter: 4 * peerReportInterval,
		}),
	}
}

// trackerOf returns the tracker that knows the named process.
func (c *control) trackerOf(name string) *membership.Tracker {
	if c.peers[name] != nil {
		return c.peerTracker
	}
	return c.tracker
}

// finished tells that the entry is stopping, no request is in flight, and requests
// that peers passed on before they heard of it have been refused.
func (c *control) finished() bool {
	return c.stopping && c.entry.gate.inFlight() == 0 && c.entry.now()-c.stoppedAt >= stopLinger
}

// due returns when tick is to be called next.
func (c *control) due() time.Duration {
	report := c.lastCheck + reportInterval
	if !c.dirty && !c.stopping {
		return report
	}
	return min(report, c.lastTick+tickInterval)
}

// tick publishes collected changes and reports to the peers.
func (c *control) tick() {
	now := c.entry.now()
	c.lastTick = now
	if now-c.lastCheck >= reportInterval {
		c.checkReport()
		c.forgetDials(now)
		c.tellJoined()
		c.dirty = true // silence changes what is believed of the peers
	}
	if c.dirty {
		c.publish()
	}
}

// agentUp takes in a new link to an agent; a new incarnation starts afresh.
func (c *control) agentUp(p link.Peer) {
	id := p.Identity()
	a := c.agents[id.Name]
	if a == nil || a.identity.Incarnation != id.Incarnation {
		a = &agentState{identity: id, sent: new(routing.Counter)}
		c.agents[id.Name] = a
	}
	a.links = append(a.links, p)
	c.tracker.Heard(time.Now(), id, false)
	c.publish()
}

// peerUp takes in a new link to an entry.
func (c *control) peerUp(p link.Peer) {
	id := p.Identity()
	s := c.peers[id.Name]
	if s == nil || s.identity.Incarnation != id.Incarnation {
		s = &peerState{identity: id, pools: make(map[string]*poolState)}
		c.peers[id.Name] = s
	}
	s.links = append(s.links, p)
	c.peerTracker.Heard(time.Now(), id, false)
	c.publish()
	c.sendReport(s, p, c.zoneLoads())
	c.tellMembersTo(p)
	c.joined = true
}

// linkDown removes a link; a process without links gets no new work.
func (c *control) linkDown(p link.Peer) {
	name := p.Identity().Name
	left := 0
	if a := c.agents[name]; a != nil {
		a.links = remove(a.links, p)
		left += len(a.links)
	}
	if s := c.peers[name]; s != nil {
		s.links = remove(s.links, p)
		left += len(s.links)
	}
	if left == 0 {
		c.trackerOf(name).Lost(name)
	}
	c.publish()
}

func remove(links []link.Peer, p link.Peer) []link.Peer {
	kept := make([]link.Peer, 0, len(links))
	for _, l := range links {
		if l != p {
			kept = append(kept, l)
		}
	}
	return kept
}

// loadSeen takes in a load report of an agent.
func (c *control) loadSeen(p link.Peer, load message.Load) {
	a := c.agents[p.Identity().Name]
	if a == nil || a.identity.Incarnation != p.Identity().Incarnation {
		return
	}
	if !a.report.Update(load, a.sent.InFlight()) {
		return
	}
	if load.State == message.TargetLeaving || load.State == message.TargetDown {
		c.publish()
		return
	}
	c.dirty = true
}

// zoneReport takes in a peer's report about its availability zone.
func (c *control) zoneReport(p link.Peer, r *message.ZoneReport) {
	s := c.peers[p.Identity().Name]
	if s == nil {
		return
	}
	c.peerTracker.Heard(time.Now(), p.Identity(), r.Leaving)
	reported := make(map[string]*poolState, len(r.Pools))
	for _, pool := range r.Pools {
		st := s.pools[pool.Pool]
		if st == nil {
			st = &poolState{sent: new(routing.Counter)}
		}
		st.report.Update(pool.Load, st.sent.InFlight())
		if !r.SameAgents {
			st.agents = pool.Agents
		}
		reported[pool.Pool] = st
	}
	s.pools = reported
	if r.Leaving {
		c.publish()
		return
	}
	c.dirty = true
}

// configure puts a configuration in force.
func (c *control) configure(x *config.Index) {
	c.index = x
	c.publish()
	c.reportToPeers()
}

// stop refuses new work and tells the peers.
func (c *control) stop() {
	c.stopping = true
	c.stoppedAt = c.entry.now()
	c.publish()
	c.reportToPeers()
	c.entry.opts.Logger.Info().Str("event", "stopping").Int("requests", c.entry.gate.inFlight()).Msg("")
}
