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

// probe is one target that is kept full.
type probe struct {
	spec engineSpec
	// sigma is the spread of the requests' sizes.
	sigma float64
	// hideWork keeps the sizes from the admission.
	hideWork bool
	seed     uint64
}

// saturate offers more than the target can take for d and returns its agent.
// change, if any, runs at the given time.
func (p probe) saturate(d time.Duration, at time.Duration, change func(*agent)) *agent {
	c := newClock(p.seed)
	a := &agent{
		name: "target", clock: c, hideWork: p.hideWork,
		engine: &engine{spec: p.spec, clock: c, startID: 1}, jobs: make(map[uint64]*job),
	}
	a.admitter = admission.New(admission.Config{
		Limit: p.spec.limit, ColdLimit: p.spec.coldLimit, ProbeWhileCold: true, QueueLimit: 2 * p.spec.limit,
	})
	rng := rand.New(rand.NewPCG(p.seed, 1))
	running := func() bool { return false }
	c.every(20*time.Millisecond, running, func() { p.fill(a, rng) })
	c.every(50*time.Millisecond, running, func() { a.apply(a.observe()) })
	c.every(heartbeatInterval, running, func() {
		startID, cold := a.engine.startID, a.engine.warmth() < 1
		c.after(5*time.Second, func() { a.apply(a.admitter.Report(c.now, startID, cold)) })
	})
	if change != nil {
		c.after(at, func() { change(a) })
	}
	c.runUntil(d)
	return a
}

func (p probe) fill(a *agent, rng *rand.Rand) {
	org := &organisation{name: "o", weight: 1}
	for !a.engine.down && a.admitter.Load(a.clock.now).Queued < p.spec.limit {
		size := math.Exp(rng.NormFloat64()*p.sigma - p.sigma*p.sigma/2)
		req := &request{
			org: org, prefix: rng.Uint64N(20),
			decode: scale(2*time.Second, size), deadline: a.clock.now + time.Hour,
		}
		a.offer(req, routing.Choice{}, func(reply) {})
	}
}

// observe reports the gap between tokens of every running request.
func (a *agent) observe() admission.Effects {
	var e admission.Effects
	for _, run := range a.engine.runs {
		more := a.admitter.(*admission.Controller).Progress(a.clock.now, a.engine.strain(run))
		e.Refused = append(e.Refused, more.Refused...)
		e.Start = append(e.Start, more.Start...)
	}
	return e
}

// TestColdTargetNeverFalls warms many kinds of engine under full pressure: quick
// and slow to warm, up to four times slower when cold, with even and uneven
// requests whose size the admission knows or not.
func TestColdTargetNeverFalls(t *testing.T) {
	for _, warmAfter := range []float64{20, 80, 150, 300, 1000} {
		for _, coldSlowdown := range []float64{1, 2, 4} {
			for _, sigma := range []float64{0, 0.5, 0.8} {
				spec := draftingPool().engine
				spec.warmAfter, spec.coldSlowdown = warmAfter, coldSlowdown
				warmUp(t, probe{spec: spec, sigma: sigma})
				warmUp(t, probe{spec: spec, sigma: sigma, hideWork: true})
			}
		}
	}
}

// warmUp warms an engine with several seeds; earlier rules fell over with 2 and 9.
func warmUp(t *testing.T, p probe) {
	t.Helper()
	for _, p.seed = range []uint64{*seedFlag, 2, 9} {
		a := p.saturate(15*time.Minute, 0, nil)
		assert.Equal(t, a.engine.falls, 0, "%+v", p)
		if p.spec.warmAfter <= 300 {
			assert.Assert(t, a.admitter.Load(0).Limit > 2*p.spec.coldLimit, "%+v never warms", p)
		}
	}
}

// TestWarmTargetTurnsColdWithoutWarning turns a full warm target cold, by a
// restart or silently, while reports are 5 s old.
func TestWarmTargetTurnsColdWithoutWarning(t *testing.T) {
	ways := map[string]func(*agent){
		"restart": func(a *agent) { a.engine.fall(); a.engine.cold(); a.engine.falls-- },
		"silent":  func(a *agent) { a.engine.turnCold() },
	}
	for name, change := range ways {
		for seed := uint64(1); seed <= 5; seed++ {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				p := probe{spec: draftingPool().engine, sigma: 0.5, seed: seed}
				a := p.saturate(15*time.Minute, 5*time.Minute, func(a *agent) {
					assert.Equal(t, a.admitter.Load(0).Limit, p.spec.limit, "warm before the change")
					change(a)
				})
				assert.Equal(t, a.engine.falls, 0)
				assert.Equal(t, a.admitter.Load(0).Limit, p.spec.limit, "warm again")
			})
		}
	}
}

// coldPhases are short: the zone leaves early and stays out for a minute.
var coldPhases = Phases{
	Measured: 20 * time.Second, Drained: 60 * time.Second, Returned: 120 * time.Second,
	Settled: 200 * time.Second, End: 220 * time.Second,
}

// TestReturnedZoneNeverFalls returns each whole availability zone cold at high
// load with 5 s old reports, and shows that a fixed limit would not bear it.
func TestReturnedZoneNeverFalls(t *testing.T) {
	s := policy(0.85, 5*time.Second)
	s.Phases = coldPhases
	for zone := range zones {
		s.DrainedZone = zone
		assert.Equal(t, run(s).falls, 0, "zone %s", zones[zone])
	}
	s.FixedLimit = true
	assert.Assert(t, run(s).falls > 0, "the fault must be real")
}

// TestManyEntriesOneColdTarget lets sixty entries with 5 s old reports send twice
// what one target bears when warm, from its first moment on.
func TestManyEntriesOneColdTarget(t *testing.T) {
	p := draftingPool()
	p.targets = []int{1, 0, 0}
	s := policy(2, 5*time.Second)
	s.Phases, s.KeepZone = coldPhases, true
	s.Entries, s.Pools = []int{20, 20, 20}, []poolSpec{p}
	s.ColdStart = true
	w := run(s)
	assert.Equal(t, w.falls, 0)
	assert.Assert(t, len(w.entries) >= 50)
	s.FixedLimit = true
	assert.Assert(t, run(s).falls > 0, "the fault must be real")
}
