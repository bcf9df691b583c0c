package experiment

import (
	"slices"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// verdict is how a request ended for its caller.
type verdict uint8

const (
	// served means a whole answer within the deadline.
	served verdict = iota
	// refused means an answer that the request was not run.
	refused
	// failed means no answer at the deadline, or a failure with an unknown outcome.
	failed
)

// result is the end of one request.
type result struct {
	req     *request
	verdict verdict
	kind    apierr.Kind
	// first is the time from arrival to the first token.
	first time.Duration
	// total is the time from arrival to the end of the answer.
	total time.Duration
}

// record notes the end of a request once.
func (w *world) record(req *request, r reply) {
	if req.recorded {
		return
	}
	req.recorded = true
	res := result{req: req, total: w.clock.now - req.arrived}
	switch {
	case r.err == nil:
		res.first = r.first - req.arrived
	case r.outcome == apierr.OutcomeNotRun:
		res.verdict, res.kind = refused, r.err.Kind
	default:
		res.verdict, res.kind = failed, r.err.Kind
	}
	w.results = append(w.results, res)
}

// closeBooks adds up what the engines know.
func (w *world) closeBooks() {
	for _, a := range w.agents {
		w.retire(a)
	}
}

// retire takes in the counts of an agent's engine.
func (w *world) retire(a *agent) {
	w.falls += a.engine.falls
	w.starts[a.pool] += a.engine.starts
	w.prefilled[a.pool] += a.engine.prefilled
}

// withRunCache returns p with the mean prefill of this run in place of a perfect cache.
func (w *world) withRunCache(p poolSpec) poolSpec {
	p.engine.prefillHit = w.prefilled[p.name] / time.Duration(max(w.starts[p.name], 1))
	return p
}

// summary describes the requests of one phase, pool and organisation size.
type summary struct {
	requests, served, refused, failed int
	first                             []time.Duration
	total                             []time.Duration
	// refusal is the time that refused callers waited for their answer.
	refusal []time.Duration
}

// selector picks results.
type selector func(*request) bool

func (w *world) summarise(pick selector) summary {
	var s summary
	for _, r := range w.results {
		if !pick(r.req) {
			continue
		}
		s.requests++
		switch r.verdict {
		case served:
			s.served++
			s.first = append(s.first, r.first)
			s.total = append(s.total, r.total)
		case refused:
			s.refused++
			s.refusal = append(s.refusal, r.total)
		default:
			s.failed++
		}
	}
	slices.Sort(s.first)
	slices.Sort(s.total)
	slices.Sort(s.refusal)
	return s
}

// quantile returns the q-quantile of sorted durations.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// lost returns how many of the losses pick selects.
func (l losses) lost(pick selector) int {
	n := 0
	for r := range l {
		if pick(r) {
			n++
		}
	}
	return n
}

// phase is a stretch of a run.
type phase struct {
	name       string
	start, end time.Duration
}

func (p Phases) list() []phase {
	return []phase{
		{"before", p.Measured, p.Drained},
		{"drained", p.Drained, p.Returned},
		{"return", p.Returned, p.Settled},
		{"after", p.Settled, p.End},
	}
}

func (p phase) holds(r *request) bool { return r.arrived >= p.start && r.arrived < p.end }
