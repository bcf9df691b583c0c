package expertmap

import (
	"testing"

	"gotest.tools/v3/assert"
)

// canResolve reports whether a coordinator with the next fencing number can bring
// the group of w to one map and through all steps, without further faults.
func canResolve(w *modelState) bool {
	w = w.clone()
	for i := range w.ranks {
		w.mutableRank(i)
		w.finishWork(i)
		if w.ranks[i].Excluded() {
			w.crashEngine(i)
		}
	}
	w.startCoordinator()
	c := w.coords[len(w.coords)-1]
	if !w.runWithoutFaults(c) {
		return false
	}
	for range modelSteps * modelRanks {
		for i := range w.ranks {
			if w.canEnter(i) {
				w.enter(i)
			}
		}
	}
	w.checkStuck()
	for i := range w.engines {
		if w.engines[i].State.Step < w.variant.steps {
			return false
		}
	}
	return !w.broken && !w.stuck
}

func TestExplorationFindsNoViolation(t *testing.T) {
	cases := map[string]struct {
		v      variant
		faults budget
	}{
		"no fault, slow loads":              {variant{slowLoads: true}, budget{rounds: 2}},
		"two coordinators, slow loads":      {variant{slowLoads: true}, budget{coordinators: 1, rounds: 1}},
		"engine crash and timeouts":         {variant{}, budget{engineCrashes: 1, rounds: 2}},
		"two engine crashes":                {variant{}, budget{engineCrashes: 2, rounds: 2}},
		"engine crash, two coordinators":    {variant{}, budget{engineCrashes: 1, coordinators: 1, rounds: 1}},
		"agent crash, two coordinators":     {variant{}, budget{agentCrashes: 1, coordinators: 1, rounds: 1}},
		"agent crash, engines ignore fence": {variant{ignoresFencing: true}, budget{agentCrashes: 1, coordinators: 1, rounds: 1}},
		"three coordinators":                {variant{}, budget{coordinators: 2, rounds: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const sampleEvery = 61
			sampled, unresolved := 0, 0
			c.v.steps = switchStep
			res := explore(newModelState(&c.v, c.faults), exploreLimit, func(n int, w *modelState) {
				if n%sampleEvery != 0 {
					return
				}
				sampled++
				if !canResolve(w) {
					unresolved++
				}
			})
			t.Logf("%d states, depth %d, complete %v; %d sampled", res.states, res.depth, res.complete, sampled)
			assert.Assert(t, res.trace == nil, res.trace.String())
			assert.Equal(t, unresolved, 0)
			assert.Assert(t, res.aborted)
			if exploreLimit > 100_000 {
				assert.Assert(t, res.committed && res.complete)
			}
		})
	}
}

func TestExplorationFindsEachMissingGuard(t *testing.T) {
	type want struct{ broken, stuck bool }
	cases := map[string]struct {
		v      variant
		faults budget
		want   want
	}{
		"naive broadcast": {variant{naive: true, stepsOnly: true}, budget{rounds: 1}, want{broken: true}},
		"no hold":         {variant{noHold: true, stepsOnly: true}, budget{rounds: 1}, want{broken: true}},
		"no unanimity":    {variant{noUnanimity: true, stepsOnly: true}, budget{rounds: 1}, want{broken: true}},
		"no fence":        {variant{noFence: true}, budget{coordinators: 1, rounds: 1}, want{stuck: true}},
		"no release": {
			variant{noRelease: true},
			budget{engineCrashes: 1, coordinators: 1, rounds: 1},
			want{broken: true},
		},
		"late order to an engine that ignores fences": {
			variant{ignoresFencing: true, ignoresExclusion: true},
			budget{agentCrashes: 1, coordinators: 1, rounds: 1},
			want{stuck: true},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.v.steps = switchStep
			res := explore(newModelState(&c.v, c.faults), 100_000, nil)
			t.Logf("%d states, broken %v, stuck %v: %v", res.states, res.broken, res.stuck, res.trace)
			assert.Equal(t, want{res.broken, res.stuck}, c.want)
		})
	}
}
