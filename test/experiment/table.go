package experiment

import (
	"fmt"
	"io"
	"time"
)

// sizes are the organisation sizes that tables have rows for.
var sizes = []struct {
	name string
	pick selector
}{
	{"all", func(*request) bool { return true }},
	{"large", func(r *request) bool { return r.org.large }},
	{"small", func(r *request) bool { return !r.org.large }},
}

// zoneHeader is the header of the table whose rows writeZone writes.
const zoneHeader = "| run | pool | phase | organisations | requests | in deadline | refused | failed | " +
	"beyond blind bound | with the run's cache | beyond sized bound | first p50 | p95 | p99 | refusal p50 | p95 |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"

// writeZone writes the rows of a run, one for each pool, phase and organisation size.
func (sim *simulation) writeZone(out io.Writer) {
	for _, p := range sim.pools {
		unknownSize, cached, knownSize := sim.unknownSizeBound(p), sim.unknownSizeBound(sim.withRunCache(p)), sim.knownSizeBound(p)
		for _, ph := range sim.scenario.Phases.list() {
			for _, size := range sizes {
				pick := func(r *request) bool { return r.pool == p.name && ph.contains(r) && size.pick(r) }
				s := sim.summarise(pick)
				fmt.Fprintf(out, "| %s | %s | %s | %s | %d | %.2f %% | %d | %d | %s | %s | %s | %v | %v | %v | %v | %v |\n",
					sim.scenario.Name, p.name, ph.name, size.name, s.requests, 100*share(s.served, s.requests), s.refused, s.failed,
					s.formatExcess(unknownSize, pick), s.formatExcess(cached, pick), s.formatExcess(knownSize, pick),
					roundMS(quantile(s.first, 0.5)), roundMS(quantile(s.first, 0.95)), roundMS(quantile(s.first, 0.99)),
					roundMS(quantile(s.refusal, 0.5)), roundMS(quantile(s.refusal, 0.95)))
			}
		}
	}
}

// excess returns the number of lost requests beyond a bound as a fraction of all
// requests.
func (s summary) excess(bound losses, pick selector) float64 {
	return share(s.refused+s.failed-bound.count(pick), s.requests)
}

func (s summary) formatExcess(bound losses, pick selector) string {
	return fmt.Sprintf("%.2f ‰", 1000*s.excess(bound, pick))
}

// floodHeader is the header of the table whose rows writeFlood writes.
const floodHeader = "| run | organisations | phase | requests | in deadline | first p50 | p95 | p99 | answer p50 | p95 | p99 |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|\n"

// writeFlood writes the rows of the drafting pool for a run without a drain: one for each
// organisation size, before and during the flood.
func (sim *simulation) writeFlood(out io.Writer) {
	names := []string{"quiet", "flood"}
	for _, size := range sizes[1:] {
		for i, ph := range sim.scenario.Phases.list()[:len(names)] {
			s := sim.summarise(func(r *request) bool { return r.pool == "drafting" && ph.contains(r) && size.pick(r) })
			fmt.Fprintf(out, "| %s | %s | %s | %d | %.2f %% | %v | %v | %v | %v | %v | %v |\n",
				sim.scenario.Name, size.name, names[i], s.requests, 100*share(s.served, s.requests),
				roundMS(quantile(s.first, 0.5)), roundMS(quantile(s.first, 0.95)), roundMS(quantile(s.first, 0.99)),
				roundMS(quantile(s.total, 0.5)), roundMS(quantile(s.total, 0.95)), roundMS(quantile(s.total, 0.99)))
		}
	}
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

func roundMS(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
