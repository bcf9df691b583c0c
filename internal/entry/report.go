package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// peerReportInterval is the longest time between two reports to peer entries. A
// change of the usable targets is reported at the next check.
const peerReportInterval = 2 * time.Second

// reported is what a peer entry was last told by name.
type reported struct {
	link link.Peer
	// targets is the digest of the named pools and targets.
	targets uint64
}

// zoneLoads is what this availability zone's targets can take.
type zoneLoads struct {
	named, unnamed []message.PoolReport
	// targets is the digest of the named pools and targets.
	targets uint64
}

// checkReport reports to the peers when the usable targets have changed or the
// last report is old.
func (c *control) checkReport() {
	c.lastCheck = c.entry.now()
	loads := c.zoneLoads()
	if c.lastCheck-c.lastReport >= peerReportInterval || loads.targets != c.reportedTargets {
		c.sendReports(loads)
	}
}

// reportToPeers reports at once.
func (c *control) reportToPeers() { c.sendReports(c.zoneLoads()) }

// sendReports sends a sign of life to the other entries, with this availability
// zone's loads to those of the other zones.
func (c *control) sendReports(loads zoneLoads) {
	c.lastReport = c.entry.now()
	c.reportedTargets = loads.targets
	for _, s := range c.peers {
		if len(s.links) > 0 {
			c.sendReport(s, s.links[0], loads)
		}
	}
}

// sendReport reports to one peer over l; targets are named only if the peer has
// not had their names over that link.
func (c *control) sendReport(s *peerState, l link.Peer, loads zoneLoads) {
	r := &message.ZoneReport{Leaving: c.stopping}
	if c.index != nil {
		r.ConfigRevision = c.index.Revision()
	}
	now := reported{link: l, targets: loads.targets}
	if s.identity.AvailabilityZone != c.entry.opts.Identity.AvailabilityZone {
		r.Pools = loads.named
		if s.told == now {
			r.Pools, r.SameAgents = loads.unnamed, true
		}
	}
	if l.Send(r) == nil {
		s.told = now
	}
}

// zoneLoads returns the loads of this availability zone, none without a configuration.
func (c *control) zoneLoads() zoneLoads {
	if c.index == nil {
		return zoneLoads{}
	}
	named := c.poolReports()
	return zoneLoads{named: named, unnamed: withoutNames(named), targets: targetsDigest(named)}
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

// withoutNames returns the reports without the targets' names.
func withoutNames(loads []message.PoolReport) []message.PoolReport {
	unnamed := make([]message.PoolReport, len(loads))
	for i, r := range loads {
		unnamed[i] = message.PoolReport{Pool: r.Pool, Load: r.Load}
	}
	return unnamed
}

// targetsDigest identifies the pools and targets that reports name.
func targetsDigest(loads []message.PoolReport) uint64 {
	d := xxhash.New()
	for _, r := range loads {
		_, _ = d.WriteString(r.Pool + "\x01")
		for _, agent := range r.Agents {
			_, _ = d.WriteString(agent + "\x00")
		}
	}
	return d.Sum64()
}
