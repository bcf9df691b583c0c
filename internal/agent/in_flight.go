package agent

import (
	"slices"

	"github.com/gentiantrail/gentiantrail/internal/observe"
)

// unfinished returns the open jobs, the oldest first; it runs on the control goroutine.
func (c *control) unfinished() []observe.Unfinished {
	list := make([]observe.Unfinished, 0, len(c.jobs))
	for _, j := range c.jobs {
		u := observe.Unfinished{
			Request: j.req.RequestID, Organisation: j.req.Organisation, Service: j.req.Service, Arrived: j.arrived(),
		}
		if phase(j.phase.Load()) == phaseStarted {
			u.Attempts = 1
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b observe.Unfinished) int { return a.Arrived.Compare(b.Arrived) })
	return list
}

// Unfinished returns the requests that wait or run, the oldest first, or none after Close.
func (a *Agent) Unfinished() []observe.Unfinished {
	reply := make(chan []observe.Unfinished, 1)
	a.post(jobsRequested{reply: reply})
	select {
	case list := <-reply:
		return list
	case <-a.closed:
		return nil
	}
}
