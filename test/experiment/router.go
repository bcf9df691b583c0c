package experiment

import (
	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// router chooses where an entry sends a request.
type router func(e *entry, r routing.Request) routing.Choice

// policyRouter is the product's own decision.
func policyRouter(e *entry, r routing.Request) routing.Choice {
	return e.snap.Pick(r, e.world.clock.rng)
}

// newRoundRobin returns a baseline that takes all targets of the region in turn.
func newRoundRobin() router {
	turn := make(map[*entry]int)
	return func(e *entry, r routing.Request) routing.Choice {
		targets := usableTargets(e, r)
		if len(targets) == 0 {
			return noTarget(r)
		}
		turn[e]++
		return routing.Choice{Destination: routing.ToAgent, Target: targets[turn[e]%len(targets)]}
	}
}

// leastLoaded is a baseline that takes the target with the lowest reported load.
func leastLoaded(e *entry, r routing.Request) routing.Choice {
	var best *routing.Target
	for _, t := range usableTargets(e, r) {
		if best == nil || reported(t) < reported(best) {
			best = t
		}
	}
	if best == nil {
		return noTarget(r)
	}
	return routing.Choice{Destination: routing.ToAgent, Target: best}
}

func reported(t *routing.Target) float64 {
	load := t.Report.Load
	return float64(load.Running+load.Queued) / float64(max(load.Limit, 1))
}

func noTarget(r routing.Request) routing.Choice {
	return routing.Choice{Err: apierr.New(apierr.KindNoTarget, r.Pool)}
}

func usableTargets(e *entry, r routing.Request) []*routing.Target {
	var usable []*routing.Target
	for i := range e.snap.Pools {
		p := &e.snap.Pools[i]
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
