package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/quarantine"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// maxReportInterval is the age of the last reports from which the next check sends new
// ones to the peer entries although the usable targets have not changed. A change is
// reported at the next check.
const maxReportInterval = 2 * time.Second

// sentReport identifies the pools and targets last sent to a peer entry, and the link
// over which they were sent.
type sentReport struct {
	link link.Peer
	// targetsDigest is the digest of the named pools and targets.
	targetsDigest uint64
}

// zoneLoads are the pool reports of this availability zone, with and without the names
// of the targets.
type zoneLoads struct {
	named, unnamed []message.PoolReport
	// targetsDigest is the digest of the named pools and targets.
	targetsDigest uint64
}

// sendReportsIfDue sends reports to the peers if the usable targets have changed or the
// last reports are at least maxReportInterval old.
func (c *control) sendReportsIfDue() {
	c.lastReportCheckAt = c.entry.now()
	loads := c.zoneLoads()
	if c.lastReportCheckAt-c.lastReportAt >= maxReportInterval || loads.targetsDigest != c.reportedDigest {
		c.sendReports(loads)
	}
}

// reportToPeers sends reports to the peers at once.
func (c *control) reportToPeers() { c.sendReports(c.zoneLoads()) }

// sendReports sends a report to every linked entry. Entries of other availability zones
// receive the loads of this zone; for those of the local zone the report contains no
// loads and shows that this entry is alive.
func (c *control) sendReports(loads zoneLoads) {
	c.lastReportAt = c.entry.now()
	c.reportedDigest = loads.targetsDigest
	evidence := c.entry.evidence(c.lastReportAt, len(c.peers)+1)
	for _, s := range c.peers {
		if len(s.links) > 0 {
			c.sendReport(s, s.links[0], loads, evidence)
		}
	}
}

// sendReport sends a report to one peer over l. It contains the names of the targets
// only if they have not been sent to the peer over that link yet.
func (c *control) sendReport(s *peerState, l link.Peer, loads zoneLoads, evidence []quarantine.Evidence) {
	r := &message.ZoneReport{Leaving: c.stopping, Evidence: evidence}
	if c.index != nil {
		r.ConfigRevision = c.index.Revision()
	}
	report := sentReport{link: l, targetsDigest: loads.targetsDigest}
	if s.identity.AvailabilityZone != c.entry.opts.Identity.AvailabilityZone {
		r.Pools = loads.named
		if s.lastReport == report {
			r.Pools, r.SameAgents = loads.unnamed, true
		}
	}
	if l.Send(r) == nil {
		s.lastReport = report
	}
}

// zoneLoads returns the loads of this availability zone. They are empty without a
// configuration.
func (c *control) zoneLoads() zoneLoads {
	if c.index == nil {
		return zoneLoads{}
	}
	named := c.poolReports()
	return zoneLoads{named: named, unnamed: withoutNames(named), targetsDigest: targetsDigest(named)}
}

// poolReports returns the reports of the pools with usable targets, or none if this
// availability zone is drained.
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

// targetsDigest returns a hash of the names of the pools and targets in the reports.
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
