package load

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Run sends the plan's requests and returns the report. Its requests are bounded
// by the plan's rates, phases and MaxOpen.
func Run(p *Plan) (*Report, error) {
	r := &runner{plan: p, report: newReport(p), open: make(chan struct{}, p.MaxOpen)}
	for i := range p.Jobs {
		r.callers = append(r.callers, newCallers(p, &p.Jobs[i]))
	}
	r.start = time.Now()
	var wg sync.WaitGroup
	for i := range p.Jobs {
		wg.Go(func() { r.pace(i) })
	}
	wg.Wait()
	r.requests.Wait()
	if err := r.judge(); err != nil {
		return nil, err
	}
	return r.report, nil
}

// newCallers returns a caller for each entry that a job uses.
func newCallers(p *Plan, j *Job) []*caller {
	addrs := p.Entries
	if len(j.Entries) > 0 {
		addrs = j.Entries
	}
	callers := make([]*caller, 0, len(addrs))
	for _, addr := range addrs {
		callers = append(callers, newCaller(addr, p.MaxOpen))
	}
	return callers
}

type runner struct {
	plan     *Plan
	report   *Report
	callers  [][]*caller
	open     chan struct{}
	start    time.Time
	requests sync.WaitGroup
}

// pace sends the requests of one job at its rate.
func (r *runner) pace(job int) {
	j := &r.plan.Jobs[job]
	interval := time.Duration(float64(time.Second) / j.Rate)
	end := r.plan.duration()
	for n := 0; ; n++ {
		at := time.Duration(n) * interval
		if at >= end {
			return
		}
		time.Sleep(time.Until(r.start.Add(at)))
		r.open <- struct{}{}
		phase := r.plan.phaseAt(at)
		r.requests.Go(func() {
			defer func() { <-r.open }()
			r.one(job, phase, n)
		})
	}
}

// one sends one request; an entry that refuses the connection is passed over, as
// the platform's balancer would do.
func (r *runner) one(job, phase, n int) {
	j := &r.plan.Jobs[job]
	mark := fmt.Sprintf("%s-%d-%d", j.Name, r.start.UnixNano(), n)
	key := j.Keys[n%len(j.Keys)]
	callers := r.callers[job]
	for i := range callers {
		c := callers[(n+i)%len(callers)]
		got, err := c.call(j, key, mark)
		if errors.Is(err, errNotConnected) {
			continue
		}
		r.report.add(phase, job, mark, got)
		return
	}
	r.report.add(phase, job, mark, reply{verdict: notRun, kind: "not-connected"})
}

// isDialError tells whether a connection could not be made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
