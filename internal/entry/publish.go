package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/membership"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// publish makes the present control state visible to traffic goroutines.
func (c *control) publish() {
	c.dirty = false
	v := &view{
		index:    c.index,
		routing:  c.snapshot(),
		links:    make(map[string]link.Peer, len(c.agents)+len(c.peers)),
		stopping: c.stopping,
	}
	for name, a := range c.agents {
		if len(a.links) > 0 {
			v.links[name] = a.links[0]
		}
	}
	for name, s := range c.peers {
		if len(s.links) > 0 {
			v.links[name] = s.links[0]
		}
	}
	c.entry.view.Store(v)
}

// snapshot builds what requests are routed by.
func (c *control) snapshot() *routing.Snapshot {
	s := &routing.Snapshot{AvailabilityZone: c.entry.opts.Identity.AvailabilityZone}
	if c.index == nil {
		return s
	}
	s.Drained = c.index.AvailabilityZoneDrained(s.AvailabilityZone)
	pools := c.index.Config().Pools
	s.Pools = make([]routing.Pool, len(pools))
	for i := range pools {
		s.Pools[i] = c.pool(pools[i].Name)
	}
	return s
}

// pool builds what requests for one pool are routed by.
func (c *control) pool(name string) routing.Pool {
	p := routing.Pool{Name: name}
	for _, agent := range sortedKeys(c.agents) {
		a := c.agents[agent]
		if a.identity.Pool == name && len(a.links) > 0 {
			p.Targets = append(p.Targets, c.target(a))
		}
	}
	for _, peer := range sortedKeys(c.peers) {
		c.addPeer(&p, c.peers[peer])
	}
	return p
}

func (c *control) target(a *agentState) routing.Target {
	return routing.Target{
		Agent:       a.identity.Name,
		Incarnation: a.identity.Incarnation,
		Report:      a.report,
		Sent:        a.sent,
		Suspected:   c.suspected(a.identity.Name),
		Leaving:     c.leaving(a.identity.Name),
		Drained:     c.index.InstanceDrained(a.identity.Name),
	}
}

// addPeer adds a peer of another availability zone that reported the pool.
func (c *control) addPeer(p *routing.Pool, s *peerState) {
	zone := s.identity.AvailabilityZone
	st := s.pools[p.Name]
	if zone == c.entry.opts.Identity.AvailabilityZone || len(s.links) == 0 || st == nil {
		return
	}
	drained := c.index.AvailabilityZoneDrained(zone)
	p.Peers = append(p.Peers, routing.Peer{
		Entry:            s.identity.Name,
		AvailabilityZone: zone,
		Report:           st.report,
		Sent:             st.sent,
		Suspected:        c.suspected(s.identity.Name),
		Leaving:          c.leaving(s.identity.Name),
		Drained:          drained || c.index.InstanceDrained(s.identity.Name),
	})
	if drained {
		return
	}
	for _, agent := range st.agents {
		remote := routing.RemoteTarget{Agent: agent, AvailabilityZone: zone}
		if !slices.Contains(p.Remote, remote) {
			p.Remote = append(p.Remote, remote)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}

// suspected tells whether a peer was silent for too long or failed dispatches.
func (c *control) suspected(name string) bool {
	p, known := c.tracker.State(time.Now(), name)
	return !known || p.State == membership.Suspect || p.State == membership.Dead
}

// leaving tells whether a peer has said that it takes no new work.
func (c *control) leaving(name string) bool {
	p, known := c.tracker.State(time.Now(), name)
	return known && p.State == membership.Leaving
}

// reportToPeers sends this availability zone's loads to the entries of the others.
func (c *control) reportToPeers() {
	c.lastReport = c.entry.now()
	r := &message.ZoneReport{Leaving: c.stopping}
	if c.index != nil {
		r.ConfigRevision = c.index.Revision()
		r.Pools = c.poolReports()
	}
	for _, s := range c.peers {
		for _, l := range s.links {
			_ = l.Send(r)
		}
	}
}

// poolReports sums up the usable targets of each pool.
func (c *control) poolReports() []message.PoolReport {
	snapshot := c.snapshot()
	if snapshot.Drained {
		return nil
	}
	reports := make([]message.PoolReport, 0, len(snapshot.Pools))
	for i := range snapshot.Pools {
		p := &snapshot.Pools[i]
		r := message.PoolReport{Pool: p.Name, Load: snapshot.ZoneLoad(p.Name), Agents: usableAgents(p)}
		if len(r.Agents) > 0 {
			reports = append(reports, r)
		}
	}
	return reports
}

func usableAgents(p *routing.Pool) []string {
	var names []string
	for i := range p.Targets {
		if t := &p.Targets[i]; t.Usable() {
			names = append(names, t.Agent)
		}
	}
	return names
}
