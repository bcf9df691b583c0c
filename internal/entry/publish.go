package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/membership"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// publish makes the current control state visible to traffic goroutines.
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

// snapshot returns the routing state of the configured pools.
func (c *control) snapshot() *routing.Snapshot {
	s := &routing.Snapshot{AvailabilityZone: c.entry.opts.Identity.AvailabilityZone}
	if c.index == nil {
		return s
	}
	s.Drained = c.index.AvailabilityZoneDrained(s.AvailabilityZone)
	pools := c.index.Config().Pools
	targets, peers := c.targetsByPool(), c.remotePeers()
	s.Pools = make([]routing.Pool, len(pools))
	for i := range pools {
		name := pools[i].Name
		s.Pools[i] = routing.Pool{Name: name, Targets: targets[name], Peers: make([]routing.Peer, 0, len(peers))}
		var last *remotePeer
		for j := range peers {
			last = peers[j].addTo(&s.Pools[i], last)
		}
	}
	return s
}

// targetsByPool returns the linked targets of each pool, sorted by agent name.
func (c *control) targetsByPool() map[string][]routing.Target {
	targets := make(map[string][]routing.Target)
	for _, agent := range sortedKeys(c.agents) {
		if a := c.agents[agent]; len(a.links) > 0 {
			targets[a.identity.Pool] = append(targets[a.identity.Pool], c.routingTarget(a))
		}
	}
	return targets
}

func (c *control) routingTarget(a *agentState) routing.Target {
	return routing.Target{
		Agent:       a.identity.Name,
		Incarnation: a.identity.Incarnation,
		Report:      a.report,
		Requests:    a.requests,
		Suspected:   c.isSuspected(a.identity.Name),
		Leaving:     c.isLeaving(a.identity.Name),
		Drained:     c.index.InstanceDrained(a.identity.Name),
	}
}

// remotePeer is a linked entry of another availability zone.
type remotePeer struct {
	pools       map[string]*poolState
	zoneDrained bool
	// peer contains the values that are the same for every pool.
	peer routing.Peer
}

// remotePeers returns the linked entries of other availability zones, sorted by
// availability zone and name.
func (c *control) remotePeers() []remotePeer {
	peers := make([]remotePeer, 0, len(c.peers))
	for _, name := range sortedKeys(c.peers) {
		s := c.peers[name]
		zone := s.identity.AvailabilityZone
		if zone == c.entry.opts.Identity.AvailabilityZone || len(s.links) == 0 {
			continue
		}
		drained := c.index.AvailabilityZoneDrained(zone)
		peers = append(peers, remotePeer{pools: s.pools, zoneDrained: drained, peer: routing.Peer{
			Entry:            name,
			AvailabilityZone: zone,
			Suspected:        c.isSuspected(name),
			Leaving:          c.isLeaving(name),
			Drained:          drained || c.index.InstanceDrained(name),
		}})
	}
	slices.SortStableFunc(peers, func(a, b remotePeer) int {
		return strings.Compare(a.peer.AvailabilityZone, b.peer.AvailabilityZone)
	})
	return peers
}

// addTo adds the peer to p if it reported that pool, and its targets unless its
// availability zone is drained. It returns the last peer that reported the pool; last is
// the one before. Entries of one availability zone mostly report the same targets, so a
// peer's targets are compared with those of last before they are added one by one.
func (r *remotePeer) addTo(p *routing.Pool, last *remotePeer) *remotePeer {
	pool := r.pools[p.Name]
	if pool == nil {
		return last
	}
	peer := r.peer
	peer.Report, peer.Requests = pool.report, pool.requests
	p.Peers = append(p.Peers, peer)
	if r.zoneDrained || last != nil && r.sameTargets(last, p.Name) {
		return r
	}
	for _, agent := range pool.agents {
		remote := routing.RemoteTarget{Agent: agent, AvailabilityZone: peer.AvailabilityZone}
		if !slices.Contains(p.Remote, remote) {
			p.Remote = append(p.Remote, remote)
		}
	}
	return r
}

// sameTargets reports whether two peers are of the same availability zone and reported
// the same targets of a pool.
func (r *remotePeer) sameTargets(other *remotePeer, pool string) bool {
	return r.peer.AvailabilityZone == other.peer.AvailabilityZone &&
		slices.Equal(r.pools[pool].agents, other.pools[pool].agents)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}

// isSuspected reports whether an agent or entry is unknown, was silent for too long, or
// failed dispatches.
func (c *control) isSuspected(name string) bool {
	p, known := c.trackerOf(name).State(time.Now(), name)
	return !known || p.State == membership.Suspect || p.State == membership.Dead
}

// isLeaving reports whether an agent or entry has reported that it takes no new work, or
// the platform's list shows it as leaving.
func (c *control) isLeaving(name string) bool {
	p, known := c.trackerOf(name).State(time.Now(), name)
	return known && p.State == membership.Leaving || c.listedAsLeaving(name)
}
