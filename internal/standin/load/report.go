package load

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the longest recorded time in microseconds.
	histogramMax = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits is the precision of recorded times.
	histogramDigits = 3
)

// Report is the result of a run.
type Report struct {
	// Rows has one row for each phase and job.
	Rows []*Row `json:"rows"`
	// Lost counts runs that callers were told of and no judge recorded.
	Lost int `json:"lost"`
	// Doubled counts marks that were recorded more than once.
	Doubled int `json:"doubled"`
	// RanAnyway counts recorded runs whose callers were told not-run.
	RanAnyway int `json:"ran_anyway"`

	mu   sync.Mutex
	jobs int
	told map[string]verdict
	plan *Plan
}

// Row counts the requests of one job that were sent in one phase.
type Row struct {
	Phase    string         `json:"phase"`
	Job      string         `json:"job"`
	Sent     int            `json:"sent"`
	Verdicts map[string]int `json:"verdicts"`
	Kinds    map[string]int `json:"kinds,omitempty"`
	// FirstP50 to TotalP99 are times in milliseconds of complete answers.
	FirstP50 float64 `json:"first_p50_ms"`
	FirstP95 float64 `json:"first_p95_ms"`
	FirstP99 float64 `json:"first_p99_ms"`
	TotalP50 float64 `json:"total_p50_ms"`
	TotalP95 float64 `json:"total_p95_ms"`
	TotalP99 float64 `json:"total_p99_ms"`

	first *hdrhistogram.Histogram
	total *hdrhistogram.Histogram
}

func newReport(p *Plan) *Report {
	r := &Report{jobs: len(p.Jobs), told: make(map[string]verdict), plan: p}
	for _, ph := range p.Phases {
		for _, j := range p.Jobs {
			r.Rows = append(r.Rows, &Row{
				Phase: ph.Name, Job: j.Name,
				Verdicts: make(map[string]int), Kinds: make(map[string]int),
				first: hdrhistogram.New(1, histogramMax, histogramDigits),
				total: hdrhistogram.New(1, histogramMax, histogramDigits),
			})
		}
	}
	return r
}

func (r *Report) add(phase, job int, mark string, got reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.Rows[phase*r.jobs+job]
	row.Sent++
	row.Verdicts[got.verdict.String()]++
	if got.kind != "" {
		row.Kinds[got.kind]++
	}
	if got.verdict == complete {
		_ = row.first.RecordValue(got.firstByte.Microseconds())
		_ = row.total.RecordValue(got.total.Microseconds())
	}
	if r.plan.Jobs[job].Recorded {
		r.told[mark] = got.verdict
	}
}

// finish computes the percentiles.
func (r *Report) finish() {
	for _, row := range r.Rows {
		row.FirstP50, row.FirstP95, row.FirstP99 = percentiles(row.first)
		row.TotalP50, row.TotalP95, row.TotalP99 = percentiles(row.total)
	}
}

func percentiles(h *hdrhistogram.Histogram) (p50, p95, p99 float64) {
	const microsPerMilli = 1000
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return at(50), at(95), at(99)
}

// OK tells whether nothing was lost, doubled, cut off or wrongly answered.
func (r *Report) OK() bool {
	bad := r.Lost + r.Doubled + r.RanAnyway
	for _, row := range r.Rows {
		bad += row.Verdicts[broken.String()] + row.Verdicts[wrong.String()]
	}
	return bad == 0
}

// Write prints the report as a table.
func (r *Report) Write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "phase\tjob\tsent\tcomplete\tnot-run\tunknown\tfailed\tbroken\twrong\tfirst p50\tp95\tp99\ttotal p50\tp95\tp99 ms\t")
	for _, row := range r.Rows {
		v := row.Verdicts
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			row.Phase, row.Job, row.Sent, v["complete"], v["not-run"], v["unknown"], v["failed"], v["broken"], v["wrong"],
			row.FirstP50, row.FirstP95, row.FirstP99, row.TotalP50, row.TotalP95, row.TotalP99)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "lost %d, doubled %d, told not-run but ran %d\n", r.Lost, r.Doubled, r.RanAnyway)
	for _, row := range r.Rows {
		if len(row.Kinds) > 0 {
			fmt.Fprintf(w, "%s %s kinds: %v\n", row.Phase, row.Job, row.Kinds)
		}
	}
}
