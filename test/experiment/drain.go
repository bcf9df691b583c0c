package experiment

import "github.com/gentiantrail/gentiantrail/internal/routing"

// drain takes the scenario's availability zone out.
func (w *world) drain() {
	zone := zones[w.scenario.DrainedZone]
	for _, a := range w.agents {
		if a.zone == zone {
			w.soon(a.admitter.Drain)
		}
	}
	for _, e := range w.entries {
		w.soon(func() { e.setDrained(w, zone, true) })
	}
}

// restore brings the zone back with new, cold targets and new agents.
func (w *world) restore() {
	zone := zones[w.scenario.DrainedZone]
	for i, old := range w.agents {
		if old.zone != zone {
			continue
		}
		old.stopped = true
		w.retire(old)
		w.agents[i] = w.newAgent(old.name, zone, w.poolSpec(old.pool))
		w.replace(old, w.agents[i])
	}
	for _, e := range w.entries {
		w.soon(func() { e.setDrained(w, zone, false) })
	}
}

// replace links the entries of old to a new incarnation.
func (w *world) replace(old, a *agent) {
	for _, e := range w.entries {
		if e.agents[old.name] != old {
			continue
		}
		e.agents[a.name] = a
		for i := range e.snap.Pools {
			for j := range e.snap.Pools[i].Targets {
				t := &e.snap.Pools[i].Targets[j]
				if t.Agent == a.name {
					*t = routing.Target{Agent: a.name, Incarnation: t.Incarnation + 1, Drained: t.Drained, Sent: new(routing.Counter)}
				}
			}
		}
	}
}

// setDrained brings a configuration into force at one entry.
func (e *entry) setDrained(w *world, zone string, drained bool) {
	e.snap.Drained = drained && e.zone == zone
	for i := range e.snap.Pools {
		p := &e.snap.Pools[i]
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

func (w *world) poolSpec(name string) poolSpec {
	for _, p := range w.pools {
		if p.name == name {
			return p
		}
	}
	return poolSpec{}
}
