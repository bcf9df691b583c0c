package experiment

import (
	"fmt"
	"io"
	"time"
)

// sizes are the organisation sizes of tables.
var sizes = []struct {
	name string
	pick selector
}{
	{"all", func(*request) bool { return true }},
	{"large", func(r *request) bool { return r.org.large }},
	{"small", func(r *request) bool { return !r.org.large }},
}

// zoneHeader is the head of the table that writeZone fills.
const zoneHeader = "| run | pool | phase | organisations | requests | in deadline | refused | failed | " +
	"beyond blind bound | with the run's cache | beyond sized bound | first p50 | p95 | p99 | refusal p50 | p95 |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"

// writeZone writes the rows of a run: for each pool, phase and organisation size.
func (w *world) writeZone(out io.Writer) {
	for _, p := range w.pools {
		blind, cached, sized := w.blindBound(p), w.blindBound(w.withRunCache(p)), w.sizedBound(p)
		for _, ph := range w.scenario.Phases.list() {
			for _, size := range sizes {
				pick := func(r *request) bool { return r.pool == p.name && ph.holds(r) && size.pick(r) }
				s := w.summarise(pick)
				fmt.Fprintf(out, "| %s | %s | %s | %s | %d | %.2f %% | %d | %d | %s | %s | %s | %v | %v | %v | %v | %v |\n",
					w.scenario.Name, p.name, ph.name, size.name, s.requests, 100*share(s.served, s.requests), s.refused, s.failed,
					s.beyond(blind, pick), s.beyond(cached, pick), s.beyond(sized, pick),
					ms(quantile(s.first, 0.5)), ms(quantile(s.first, 0.95)), ms(quantile(s.first, 0.99)),
					ms(quantile(s.refusal, 0.5)), ms(quantile(s.refusal, 0.95)))
			}
		}
	}
}

// excess returns the losses beyond a bound as a share of the requests.
func (s summary) excess(bound losses, pick selector) float64 {
	return share(s.refused+s.failed-bound.lost(pick), s.requests)
}

func (s summary) beyond(bound losses, pick selector) string {
	return fmt.Sprintf("%.2f ‰", 1000*s.excess(bound, pick))
}

// floodHeader is the head of the table that writeFlood fills.
const floodHeader = "| run | organisations | phase | requests | in deadline | first p50 | p95 | p99 | answer p50 | p95 | p99 |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|\n"

// writeFlood writes the drafting rows of a run without a drain, whose middle phase is a flood.
func (w *world) writeFlood(out io.Writer) {
	names := []string{"quiet", "flood"}
	for _, size := range sizes[1:] {
		for i, ph := range w.scenario.Phases.list()[:len(names)] {
			s := w.summarise(func(r *request) bool { return r.pool == "drafting" && ph.holds(r) && size.pick(r) })
			fmt.Fprintf(out, "| %s | %s | %s | %d | %.2f %% | %v | %v | %v | %v | %v | %v |\n",
				w.scenario.Name, size.name, names[i], s.requests, 100*share(s.served, s.requests),
				ms(quantile(s.first, 0.5)), ms(quantile(s.first, 0.95)), ms(quantile(s.first, 0.99)),
				ms(quantile(s.total, 0.5)), ms(quantile(s.total, 0.95)), ms(quantile(s.total, 0.99)))
		}
	}
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

func ms(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
