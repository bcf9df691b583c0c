package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/standin/callers"
)

// Run sends the plan's requests and returns the report. Its requests are bounded
// by the plan's rates, phases and MaxOpen.
func Run(p *Plan) (*Report, error) {
	r := &runner{
		plan:   p,
		report: newReport(p),
		caller: callers.NewCaller(true, p.MaxOpen),
		open:   make(chan struct{}, p.MaxOpen),
		start:  time.Now(),
	}
	var wg sync.WaitGroup
	for i := range p.Jobs {
		wg.Go(func() { r.pace(i) })
	}
	wg.Wait()
	r.requests.Wait()
	if err := r.report.finish(p.Judges); err != nil {
		return nil, err
	}
	return r.report, nil
}

type runner struct {
	plan     *Plan
	report   *Report
	caller   *callers.Caller
	open     chan struct{}
	start    time.Time
	requests sync.WaitGroup
}

// pace sends the requests of one job at its rate.
func (r *runner) pace(job int) {
	j := &r.plan.Jobs[job]
	balancer := callers.NewBalancer(r.plan.entriesOf(j)...)
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
		mark := fmt.Sprintf("%s-%d-%d", j.Name, r.start.UnixNano(), n)
		r.requests.Go(func() {
			defer func() { <-r.open }()
			r.report.add(phase, job, r.caller.DoVia(context.Background(), balancer, j.request(n, mark)))
		})
	}
}
