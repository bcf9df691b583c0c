package experiment

import "github.com/gentiantrail/gentiantrail/internal/routing"

// drainZone drains the scenario's availability zone.
func (sim *simulation) drainZone() {
	zone := zones[sim.scenario.DrainedZone]
	for _, a := range sim.agents {
		if a.zone == zone {
			sim.afterConfigDelay(a.admission.Drain)
		}
	}
	for _, e := range sim.entries {
		sim.afterConfigDelay(func() { e.setDrained(sim, zone, true) })
	}
}

// returnZone returns the drained availability zone to service with new agents and cold
// engines.
func (sim *simulation) returnZone() {
	zone := zones[sim.scenario.DrainedZone]
	for i, old := range sim.agents {
		if old.zone != zone {
			continue
		}
		old.stopped = true
		sim.addEngineCounts(old)
		sim.agents[i] = sim.newAgent(old.name, zone, sim.poolSpec(old.pool))
		sim.relink(old, sim.agents[i])
	}
	for _, e := range sim.entries {
		sim.afterConfigDelay(func() { e.setDrained(sim, zone, false) })
	}
}

// relink links the entries that were linked to old to its new incarnation a.
func (sim *simulation) relink(old, a *agent) {
	for _, e := range sim.entries {
		if e.agents[old.name] != old {
			continue
		}
		e.agents[a.name] = a
		for i := range e.snapshot.Pools {
			for j := range e.snapshot.Pools[i].Targets {
				t := &e.snapshot.Pools[i].Targets[j]
				if t.Agent == a.name {
					*t = routing.Target{Agent: a.name, Incarnation: t.Incarnation + 1, Drained: t.Drained, Requests: new(routing.Counter)}
				}
			}
		}
	}
}

// setDrained applies at one entry a configuration that drains the availability zone, or
// ends its drain.
func (e *entry) setDrained(sim *simulation, zone string, drained bool) {
	e.snapshot.Drained = drained && e.zone == zone
	for i := range e.snapshot.Pools {
		p := &e.snapshot.Pools[i]
		for j := range p.Targets {
			if e.agents[p.Targets[j].Agent].zone == zone {
				p.Targets[j].Drained = drained
			}
		}
		for j := range p.Peers {
			if p.Peers[j].AvailabilityZone == zone {
				p.Peers[j].Drained = drained
			}
		}
	}
}

// poolSpec returns the pool with the given name, or a zero value if there is none.
func (sim *simulation) poolSpec(name string) poolSpec {
	for _, p := range sim.pools {
		if p.name == name {
			return p
		}
	}
	return poolSpec{}
}
