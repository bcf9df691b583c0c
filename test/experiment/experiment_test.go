package experiment

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"text/tabwriter"
	"time"
)

var (
	only        = flag.String("only", "", "print only the runs whose name starts so")
	printTables = flag.Bool("tables", false, "run the whole zone experiment and print its tables")
	seedFlag    = flag.Uint64("seed", 1, "seed of the printed runs")
)

var fullPhases = Phases{
	Measured: 120 * time.Second,
	Drained:  360 * time.Second,
	Returned: 660 * time.Second,
	Settled:  780 * time.Second,
	End:      1020 * time.Second,
}

func policy(load float64, lag time.Duration) Scenario {
	return Scenario{
		Name: "policy", Seed: *seedFlag, Load: load, ReportLag: lag, Piggyback: true,
		DrainedZone: 1, Router: policyRouter, Phases: fullPhases,
	}
}

func contenders(load float64, lag time.Duration) []Scenario {
	plain := policy(load, lag)
	late := plain
	late.Name, late.Piggyback = "policy, reports only", false
	rr := plain
	rr.Name, rr.Router, rr.Direct, rr.FixedDoor = "round robin, no warm-up", newRoundRobin(), true, true
	ll := plain
	ll.Name, ll.Router, ll.Direct, ll.Piggyback = "least-loaded, stale", leastLoaded, true, false
	unlimited := plain
	unlimited.Name, unlimited.UnlimitedRetries = "unlimited retries", true
	return []Scenario{plain, late, rr, ll, unlimited}
}

func TestZoneTables(t *testing.T) {
	if !*printTables {
		t.Skip("prints tables with -tables")
	}
	for _, lag := range []time.Duration{time.Second, 5 * time.Second} {
		for _, load := range []float64{0.6, 0.85} {
			fmt.Printf("\n## load %.0f%%, reports %v late, seed %d\n", load*100, lag, *seedFlag)
			for _, s := range contenders(load, lag) {
				if strings.HasPrefix(s.Name, *only) {
					printRun(run(s))
				}
			}
		}
	}
}

func printRun(w *world) {
	fmt.Printf("\n%s: falls=%d attempts/request=%.2f\n", w.scenario.Name, w.falls, float64(w.attempts)/float64(len(w.requests)))
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "pool\tphase\torganisations\trequests\tin deadline\trefused\tfailed\tbound blind\tbound sized\texcess blind\texcess sized\tfirst p50\tp95\tp99\trefused within\t")
	for _, p := range w.pools {
		blind, sized := w.blindBound(p), w.sizedBound(p)
		for _, ph := range w.scenario.Phases.list() {
			for _, size := range []string{"all", "large", "small"} {
				pick := func(r *request) bool {
					return r.pool == p.name && ph.holds(r) && (size == "all" || r.org.large == (size == "large"))
				}
				s := w.summarise(pick)
				nb, ns := countLost(blind, pick), countLost(sized, pick)
				lost := s.refused + s.failed
				fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%.3f%%\t%d\t%d\t%d\t%d\t%.2f‰\t%.2f‰\t%v\t%v\t%v\t%v\t\n",
					p.name, ph.name, size, s.requests, percent(s.served, s.requests), s.refused, s.failed, nb, ns,
					10*percent(lost-nb, s.requests), 10*percent(lost-ns, s.requests),
					ms(quantile(s.first, .5)), ms(quantile(s.first, .95)), ms(quantile(s.first, .99)), ms(s.slowestRefusal))
			}
		}
	}
	out.Flush()
}

func countLost(lost losses, pick selector) int {
	n := 0
	for r := range lost {
		if pick(r) {
			n++
		}
	}
	return n
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

func ms(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func flood(factor float64) Scenario {
	s := policy(0.6, time.Second)
	s.Name, s.KeepZone, s.Flood = fmt.Sprintf("large organisations send %.0fx", factor), true, factor
	return s
}

func TestFloodTables(t *testing.T) {
	if !*printTables {
		t.Skip("prints tables with -tables")
	}
	for _, factor := range []float64{2, 3, 6} {
		s := flood(factor)
		printFlood(run(s))
		s.FixedDoor, s.Name = true, s.Name+", fixed limit"
		printFlood(run(s))
	}
}

func printFlood(w *world) {
	fmt.Printf("\n%s, falls=%d\n", w.scenario.Name, w.falls)
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "organisations\tphase\trequests\tin deadline\tfirst p50\tp95\tp99\tanswer p50\tp95\tp99\t")
	for _, large := range []bool{false, true} {
		for _, ph := range w.scenario.Phases.list()[:2] {
			s := w.summarise(func(r *request) bool {
				return r.pool == "drafting" && ph.holds(r) && r.org.large == large
			})
			size, name := "small", "quiet"
			if large {
				size = "large"
			}
			if ph.start == w.scenario.Phases.Drained {
				name = "flood"
			}
			fmt.Fprintf(out, "%s\t%s\t%d\t%.3f%%\t%v\t%v\t%v\t%v\t%v\t%v\t\n", size, name, s.requests, percent(s.served, s.requests),
				ms(quantile(s.first, .5)), ms(quantile(s.first, .95)), ms(quantile(s.first, .99)),
				ms(quantile(s.total, .5)), ms(quantile(s.total, .95)), ms(quantile(s.total, .99)))
		}
	}
	out.Flush()
}
