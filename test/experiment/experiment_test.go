package experiment

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	printTables = flag.Bool("tables", false, "run the whole zone experiment and print its tables")
	seedFlag    = flag.Uint64("seed", 1, "seed of the runs")
)

var fullPhases = Phases{
	Measured: 240 * time.Second,
	Drained:  480 * time.Second,
	Returned: 780 * time.Second,
	Settled:  1020 * time.Second,
	End:      1260 * time.Second,
}

// policy is the product's own policy in the deployment that the package describes.
func policy(load float64, lag time.Duration) Scenario {
	return Scenario{
		Name: "policy", Seed: *seedFlag, Load: load, ReportLag: lag, Piggyback: true,
		DrainedZone: 1, Router: policyRouter, Phases: fullPhases,
	}
}

// contenders returns the policy and the baselines.
func contenders(load float64, lag time.Duration) []Scenario {
	plain := policy(load, lag)
	late := plain
	late.Name, late.Piggyback = "policy, heartbeats only", false
	rr := plain
	rr.Name, rr.Router, rr.Direct, rr.FixedLimit = "round robin, no warm-up", newRoundRobin(), true, true
	ll := plain
	ll.Name, ll.Router, ll.Direct, ll.Piggyback = "least loaded, stale reports", leastLoaded, true, false
	unlimited := plain
	unlimited.Name, unlimited.UnlimitedRetries = "unlimited retries", true
	return []Scenario{plain, late, rr, ll, unlimited}
}

func flood(factor float64) Scenario {
	s := policy(0.6, time.Second)
	s.Name, s.KeepZone, s.Flood = fmt.Sprintf("large ones send %.0fx", factor), true, factor
	return s
}

// TestZoneTables prints the tables of docs/MEASURES.md; see -tables.
func TestZoneTables(t *testing.T) {
	if !*printTables {
		t.Skip("prints tables with -tables")
	}
	for _, lag := range []time.Duration{time.Second, 5 * time.Second} {
		for _, load := range []float64{0.6, 0.85} {
			fmt.Printf("\nload %.0f %%, reports %v late, seed %d\n\n%s", 100*load, lag, *seedFlag, zoneHeader)
			for _, s := range contenders(load, lag) {
				w := run(s)
				w.writeZone(os.Stdout)
				fmt.Printf("\n%s: engines that fell over: %d; attempts a request: %.2f; mean prefill of drafts: %v\n\n",
					s.Name, w.falls, float64(w.attempts)/float64(len(w.requests)),
					ms(w.withRunCache(w.pools[0]).engine.prefillHit))
			}
		}
	}
}

// TestFloodTables prints the flood table of docs/MEASURES.md; see -tables.
func TestFloodTables(t *testing.T) {
	if !*printTables {
		t.Skip("prints tables with -tables")
	}
	fmt.Print("\n", floodHeader)
	for _, factor := range []float64{2, 3, 6} {
		s := flood(factor)
		run(s).writeFlood(os.Stdout)
		s.FixedLimit, s.Name = true, s.Name+", fixed limit"
		run(s).writeFlood(os.Stdout)
	}
}

// TestZoneLeavesAndReturns holds the goal at 60 % load with reports 5 s late: at
// most 1 in 1,000 requests is lost beyond the bound in any phase, and no engine
// falls over.
func TestZoneLeavesAndReturns(t *testing.T) {
	w := run(policy(0.6, 5*time.Second))
	assert.Equal(t, w.falls, 0)
	for _, p := range w.pools {
		bound := w.blindBound(p)
		for _, ph := range w.scenario.Phases.list() {
			pick := func(r *request) bool { return r.pool == p.name && ph.holds(r) }
			excess := w.summarise(pick).excess(bound, pick)
			assert.Assert(t, excess <= 0.001, "%s %s: %.4f beyond the bound", p.name, ph.name, excess)
		}
	}
}

// TestSmallOrganisationsDuringAFlood holds the whole answers of small
// organisations within 1.5 times their quiet 95th percentile while large ones
// send three times their usual load.
func TestSmallOrganisationsDuringAFlood(t *testing.T) {
	s := flood(3)
	s.Phases.Returned, s.Phases.Settled, s.Phases.End = 600*time.Second, 600*time.Second, 600*time.Second
	w := run(s)
	phases := w.scenario.Phases.list()
	p95 := func(ph phase) time.Duration {
		s := w.summarise(func(r *request) bool { return r.pool == "drafting" && ph.holds(r) && !r.org.large })
		return quantile(s.total, 0.95)
	}
	quiet, flooded := p95(phases[0]), p95(phases[1])
	assert.Assert(t, flooded <= quiet*3/2, "quiet %v, flood %v", quiet, flooded)
	assert.Equal(t, w.falls, 0)
}
