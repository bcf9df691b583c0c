package experiment

import (
	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// router chooses where an entry sends a request.
type router func(e *entry, r routing.Request) routing.Choice

// policyRouter is the production routing decision.
func policyRouter(e *entry, r routing.Request) routing.Choice {
	return e.snapshot.Pick(r, e.sim.clock.rng)
}

// newRoundRobin returns a baseline router that uses all targets of the region in turn.
func newRoundRobin() router {
	next := make(map[*entry]int)
	return func(e *entry, r routing.Request) routing.Choice {
		targets := usableTargets(e, r)
		if len(targets) == 0 {
			return noTarget(r)
		}
		next[e]++
		return routing.Choice{Destination: routing.ToAgent, Target: targets[next[e]%len(targets)]}
	}
}

// leastLoaded is a baseline router that chooses the target with the lowest reported load.
func leastLoaded(e *entry, r routing.Request) routing.Choice {
	var best *routing.Target
	for _, t := range usableTargets(e, r) {
		if best == nil || reportedLoad(t) < reportedLoad(best) {
			best = t
		}
	}
	if best == nil {
		return noTarget(r)
	}
	return routing.Choice{Destination: routing.ToAgent, Target: best}
}

// reportedLoad returns the reported number of requests of a target as a fraction of its
// limit.
func reportedLoad(t *routing.Target) float64 {
	load := t.Report.Load
	return float64(load.Running+load.Queued) / float64(max(load.Limit, 1))
}

func noTarget(r routing.Request) routing.Choice {
	return routing.Choice{Err: apierr.New(apierr.KindNoTarget, r.Pool)}
}

// usableTargets returns the targets in the request's pool that are neither drained nor
// excluded.
func usableTargets(e *entry, r routing.Request) []*routing.Target {
	var usable []*routing.Target
	for i := range e.snapshot.Pools {
		p := &e.snapshot.Pools[i]
		for j := range p.Targets {
			t := &p.Targets[j]
			if p.Name == r.Pool && !t.Drained && !excluded(r, t.Agent) {
				usable = append(usable, t)
			}
		}
	}
	return usable
}

func excluded(r routing.Request, name string) bool {
	for _, x := range r.Excluded {
		if x == name {
			return true
		}
	}
	return false
}
