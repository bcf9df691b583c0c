package experiment

import (
	"slices"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// verdict is the result of a request from the caller's point of view.
type verdict uint8

const (
	// served means a complete answer within the deadline.
	served verdict = iota
	// refused means an answer that states that the request did not run.
	refused
	// failed means no answer at the deadline, or a failure with an unknown outcome.
	failed
)

// result describes how one request ended.
type result struct {
	req     *request
	verdict verdict
	kind    apierr.Kind
	// first is the time from arrival to the first token.
	first time.Duration
	// total is the time from arrival to the end of the answer.
	total time.Duration
}

// record adds the result of a request, unless it has been recorded already.
func (sim *simulation) record(req *request, r reply) {
	if req.recorded {
		return
	}
	req.recorded = true
	res := result{req: req, total: sim.clock.now - req.arrived}
	switch {
	case r.err == nil:
		res.first = r.first - req.arrived
	case r.outcome == apierr.OutcomeNotRun:
		res.verdict, res.kind = refused, r.err.Kind
	default:
		res.verdict, res.kind = failed, r.err.Kind
	}
	sim.results = append(sim.results, res)
}

// collectEngineCounts adds the counts of all current engines to the totals.
func (sim *simulation) collectEngineCounts() {
	for _, a := range sim.agents {
		sim.addEngineCounts(a)
	}
}

// addEngineCounts adds the counts of an agent's engine to the totals.
func (sim *simulation) addEngineCounts(a *agent) {
	sim.crashes += a.engine.crashes
	sim.prefills[a.pool] += a.engine.prefills
	sim.prefillTime[a.pool] += a.engine.prefillTime
}

// withRunCache returns p with the mean prefill time of this run as prefillHit, which
// replaces the assumption that every prefix is cached.
func (sim *simulation) withRunCache(p poolSpec) poolSpec {
	p.engine.prefillHit = sim.prefillTime[p.name] / time.Duration(max(sim.prefills[p.name], 1))
	return p
}

// summary summarises the results of selected requests, such as those of one phase, pool
// and organisation size. Its durations are sorted.
type summary struct {
	requests, served, refused, failed int
	first                             []time.Duration
	total                             []time.Duration
	// refusal contains the times from arrival to the answer of refused requests.
	refusal []time.Duration
}

// selector reports whether a request is selected.
type selector func(*request) bool

// summarise summarises the results of the requests that pick selects.
func (sim *simulation) summarise(pick selector) summary {
	var s summary
	for _, r := range sim.results {
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

// count returns the number of losses that pick selects.
func (l losses) count(pick selector) int {
	n := 0
	for r := range l {
		if pick(r) {
			n++
		}
	}
	return n
}

// phase is a named interval of a run.
type phase struct {
	name       string
	start, end time.Duration
}

// list returns the phases of which results are reported.
func (p Phases) list() []phase {
	return []phase{
		{"before", p.Measured, p.Drained},
		{"drained", p.Drained, p.Returned},
		{"return", p.Returned, p.Settled},
		{"after", p.Settled, p.End},
	}
}

// contains reports whether r arrived in the phase.
func (p phase) contains(r *request) bool { return r.arrived >= p.start && r.arrived < p.end }
