package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/admission"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// saturation describes a run in which one target always has more requests than it can
// serve.
type saturation struct {
	spec engineSpec
	// sigma is the standard deviation of the logarithm of the requests' sizes.
	sigma float64
	// hideWork withholds the sizes from the admission control.
	hideWork bool
	seed     uint64
}

// run keeps the target's queue filled for d and returns its agent. It calls change, if
// not nil, at the given time.
func (s saturation) run(d time.Duration, at time.Duration, change func(*agent)) *agent {
	c := newClock(s.seed)
	a := &agent{
		name: "target", clock: c, hideWork: s.hideWork,
		engine: &engine{spec: s.spec, clock: c, startID: 1}, jobs: make(map[uint64]*job),
	}
	a.admission = admission.New(admission.Config{
		Limit: s.spec.limit, ColdLimit: s.spec.coldLimit, ProbeWhileCold: true, QueueLimit: 2 * s.spec.limit,
	})
	rng := rand.New(rand.NewPCG(s.seed, 1))
	never := func() bool { return false }
	c.every(20*time.Millisecond, never, func() { s.fill(a, rng) })
	c.every(50*time.Millisecond, never, func() { a.applyEffects(a.reportProgress()) })
	c.every(heartbeatInterval, never, func() {
		startID, cold := a.engine.startID, a.engine.warmth() < 1
		c.after(5*time.Second, func() { a.applyEffects(a.admission.HandleReport(c.now, startID, cold)) })
	})
	if change != nil {
		c.after(at, func() { change(a) })
	}
	c.runUntil(d)
	return a
}

// fill adds requests until as many are queued as the limit of the warm target.
func (s saturation) fill(a *agent, rng *rand.Rand) {
	org := &organisation{name: "o", weight: 1}
	for !a.engine.down && a.admission.Load(a.clock.now).Queued < s.spec.limit {
		size := math.Exp(rng.NormFloat64()*s.sigma - s.sigma*s.sigma/2)
		req := &request{
			org: org, prefix: rng.Uint64N(20),
			decode: scale(2*time.Second, size), deadline: a.clock.now + time.Hour,
		}
		a.offer(req, routing.Choice{}, func(reply) {})
	}
}

// reportProgress reports the gap between tokens of every running request, relative to the
// gap at the request's start, to the admission control.
func (a *agent) reportProgress() admission.Effects {
	var e admission.Effects
	for _, run := range a.engine.runs {
		more := a.admission.(*admission.Controller).HandleProgress(a.clock.now, a.engine.slowdownSinceStart(run))
		e.Refused = append(e.Refused, more.Refused...)
		e.Start = append(e.Start, more.Start...)
	}
	return e
}

// TestColdTargetNeverCrashes guards against a cold target that admits more requests than
// its capacity. It saturates engines that warm up after 20 to 1000 requests and are up to
// four times slower when cold. The sizes of the requests are equal or varied, and known
// to the admission control or not.
func TestColdTargetNeverCrashes(t *testing.T) {
	for _, warmAfter := range []float64{20, 80, 150, 300, 1000} {
		for _, coldSlowdown := range []float64{1, 2, 4} {
			for _, sigma := range []float64{0, 0.5, 0.8} {
				spec := draftingPool().engine
				spec.warmAfter, spec.coldSlowdown = warmAfter, coldSlowdown
				warmUp(t, saturation{spec: spec, sigma: sigma})
				warmUp(t, saturation{spec: spec, sigma: sigma, hideWork: true})
			}
		}
	}
}

// warmUp saturates a cold engine with several seeds. Seeds 2 and 9 crashed it under
// earlier admission rules.
func warmUp(t *testing.T, s saturation) {
	t.Helper()
	for _, s.seed = range []uint64{*seedFlag, 2, 9} {
		a := s.run(15*time.Minute, 0, nil)
		assert.Equal(t, a.engine.crashes, 0, "%+v", s)
		if s.spec.warmAfter <= 300 {
			assert.Assert(t, a.admission.Load(0).Limit > 2*s.spec.coldLimit, "%+v: the target did not become warm", s)
		}
	}
}

// TestWarmTargetTurnsColdWithoutWarning guards against overload of a saturated warm
// target that turns cold, by a restart or without one, while reports arrive 5 s late.
func TestWarmTargetTurnsColdWithoutWarning(t *testing.T) {
	changes := map[string]func(*agent){
		"restart": func(a *agent) { a.engine.crash(); a.engine.startCold(); a.engine.crashes-- },
		"silent":  func(a *agent) { a.engine.turnCold() },
	}
	for name, change := range changes {
		for seed := uint64(1); seed <= 5; seed++ {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				s := saturation{spec: draftingPool().engine, sigma: 0.5, seed: seed}
				a := s.run(15*time.Minute, 5*time.Minute, func(a *agent) {
					assert.Equal(t, a.admission.Load(0).Limit, s.spec.limit, "warm before the change")
					change(a)
				})
				assert.Equal(t, a.engine.crashes, 0)
				assert.Equal(t, a.admission.Load(0).Limit, s.spec.limit, "warm again")
			})
		}
	}
}

// coldPhases are the phases of a short run in which the availability zone is drained
// after 60 s and returns after 120 s.
var coldPhases = Phases{
	Measured: 20 * time.Second, Drained: 60 * time.Second, Returned: 120 * time.Second,
	Settled: 200 * time.Second, End: 220 * time.Second,
}

// TestReturnedZoneNeverCrashes guards against overload of the cold targets of an
// availability zone that returns at high load while reports arrive 5 s late. It checks
// each zone, and that a fixed limit does crash engines.
func TestReturnedZoneNeverCrashes(t *testing.T) {
	s := policy(0.85, 5*time.Second)
	s.Phases = coldPhases
	for zone := range zones {
		s.DrainedZone = zone
		assert.Equal(t, run(s).crashes, 0, "zone %s", zones[zone])
	}
	s.FixedLimit = true
	assert.Assert(t, run(s).crashes > 0, "a fixed limit must crash an engine, or the scenario tests nothing")
}

// TestManyEntriesOneColdTarget guards against overload of one cold target by many entries.
// Sixty entries, which receive reports 5 s late, send twice the throughput of the warm
// target from the start. With a fixed limit the engine does crash.
func TestManyEntriesOneColdTarget(t *testing.T) {
	p := draftingPool()
	p.targets = []int{1, 0, 0}
	s := policy(2, 5*time.Second)
	s.Phases, s.NoDrain = coldPhases, true
	s.Entries, s.Pools = []int{20, 20, 20}, []poolSpec{p}
	s.ColdStart = true
	sim := run(s)
	assert.Equal(t, sim.crashes, 0)
	assert.Assert(t, len(sim.entries) >= 50)
	s.FixedLimit = true
	assert.Assert(t, run(s).crashes > 0, "a fixed limit must crash an engine, or the scenario tests nothing")
}
