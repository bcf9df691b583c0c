package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/standin/callers"
)

// Run sends the plan's requests and returns the report. The plan's rates, phases and
// MaxInFlight bound the number of requests.
func Run(p *Plan) (*Report, error) {
	r := &runner{
		plan:   p,
		report: newReport(p),
		caller: callers.NewCaller(true, p.MaxInFlight),
		slots:  make(chan struct{}, p.MaxInFlight),
		start:  time.Now(),
	}
	var wg sync.WaitGroup
	for i := range p.Jobs {
		wg.Go(func() { r.sendAtRate(i) })
	}
	wg.Wait()
	r.requests.Wait()
	if err := r.report.finish(p.PlainServices); err != nil {
		return nil, err
	}
	return r.report, nil
}

type runner struct {
	plan     *Plan
	report   *Report
	caller   *callers.Caller
	slots    chan struct{} // one element for each request in flight
	start    time.Time
	requests sync.WaitGroup
}

// sendAtRate sends the requests of a job, given by its index, at the job's rate.
func (r *runner) sendAtRate(job int) {
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
		r.slots <- struct{}{}
		phase := r.plan.phaseAt(at)
		mark := fmt.Sprintf("%s-%d-%d", j.Name, r.start.UnixNano(), n)
		r.requests.Go(func() {
			defer func() { <-r.slots }()
			r.report.addResult(phase, job, r.caller.DoVia(context.Background(), balancer, j.request(n, mark)))
		})
	}
}
