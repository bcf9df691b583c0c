package load

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/standin/callers"
)

// Report is the result of a run.
type Report struct {
	// Rows has one row for each phase and job.
	Rows []*Row `json:"rows"`
	// Violations are the broken guarantees, one line each.
	Violations []string `json:"violations"`

	mu   sync.Mutex
	jobs int
}

// Row counts the requests of one job that were due to be sent in one phase.
type Row struct {
	Phase    string                  `json:"phase"`
	Job      string                  `json:"job"`
	Sent     int                     `json:"sent"`
	Verdicts map[callers.Verdict]int `json:"verdicts"`
	Kinds    map[string]int          `json:"kinds,omitempty"`
	// FirstP50 to TotalP99 are latency percentiles of complete answers in milliseconds:
	// First to the first byte of the body, Total to the end.
	FirstP50 float64 `json:"first_p50_ms"`
	FirstP95 float64 `json:"first_p95_ms"`
	FirstP99 float64 `json:"first_p99_ms"`
	TotalP50 float64 `json:"total_p50_ms"`
	TotalP95 float64 `json:"total_p95_ms"`
	TotalP99 float64 `json:"total_p99_ms"`

	results []callers.Result
}

func newReport(p *Plan) *Report {
	r := &Report{jobs: len(p.Jobs)}
	for _, ph := range p.Phases {
		for _, j := range p.Jobs {
			r.Rows = append(r.Rows, &Row{Phase: ph.Name, Job: j.Name})
		}
	}
	return r
}

func (r *Report) addResult(phase, job int, res callers.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.Rows[phase*r.jobs+job]
	row.results = append(row.results, res)
}

// finish summarises the rows and compares the answers with the runs that the services at
// the addresses plainServices recorded.
func (r *Report) finish(plainServices []string) error {
	var all []callers.Result
	for _, row := range r.Rows {
		row.summarize()
		all = append(all, row.results...)
	}
	if len(plainServices) == 0 {
		return nil
	}
	runs, err := readRuns(plainServices)
	if err != nil {
		return err
	}
	for _, v := range callers.FindViolations(all, runs) {
		r.Violations = append(r.Violations, v.String())
	}
	return nil
}

func (row *Row) summarize() {
	s := callers.Summarize(row.results)
	row.Sent, row.Verdicts, row.Kinds = s.Sent, s.Count, s.Kinds
	row.FirstP50, row.FirstP95, row.FirstP99 = millis(s.FirstP50), millis(s.FirstP95), millis(s.FirstP99)
	row.TotalP50, row.TotalP95, row.TotalP99 = millis(s.P50), millis(s.P95), millis(s.P99)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// OK reports whether no guarantee was broken and no answer was missing, cut off or wrong.
func (r *Report) OK() bool {
	problems := len(r.Violations)
	for _, row := range r.Rows {
		problems += row.Verdicts[callers.Broken] + row.Verdicts[callers.WrongAnswer] + row.Verdicts[callers.NoAnswer]
	}
	return problems == 0
}

// Write prints the report as a table.
func (r *Report) Write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "phase\tjob\tsent\t")
	for _, v := range callers.Verdicts {
		fmt.Fprintf(t, "%s\t", v)
	}
	fmt.Fprintln(t, "first p50\tp95\tp99\ttotal p50\tp95\tp99 ms\t")
	for _, row := range r.Rows {
		row.write(t)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "broken promises (lost, doubled, told not run but ran): %d\n", len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintln(w, v)
	}
	for _, row := range r.Rows {
		if len(row.Kinds) > 0 {
			fmt.Fprintf(w, "%s %s kinds: %v\n", row.Phase, row.Job, row.Kinds)
		}
	}
}

func (row *Row) write(t io.Writer) {
	fmt.Fprintf(t, "%s\t%s\t%d\t", row.Phase, row.Job, row.Sent)
	for _, v := range callers.Verdicts {
		fmt.Fprintf(t, "%d\t", row.Verdicts[v])
	}
	fmt.Fprintf(t, "%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
		row.FirstP50, row.FirstP95, row.FirstP99, row.TotalP50, row.TotalP95, row.TotalP99)
}
