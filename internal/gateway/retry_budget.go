package gateway

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/retry"
)

// takeRepeat takes one repeat of the request from its service's retry budget, and returns false if
// there is none left.
func (g *Gateway) takeRepeat(x *exchange) bool {
	g.mu.Lock()
	b, now := g.budget(x.service), g.now()
	status := b.Status(now)
	repeat, granted := b.Take(now)
	g.mu.Unlock()
	if granted {
		x.unsentRepeat = &repeat
	}
	g.logRepeat(x, status, granted, now)
	return granted
}

// budgetAllows reports whether a repeat of the request may be sent.
func (g *Gateway) budgetAllows(x *exchange) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return x.unsentRepeat != nil || g.budget(x.service).Allows(g.now())
}

// recordRepeatSent records when the attempt was sent, if it is a repeat. Sent is zero if no byte
// was: then the repeat may still be sent to another target.
func (a *attempt) recordRepeatSent(sent time.Time) {
	if a.repeat == nil {
		return
	}
	repeat := *a.repeat
	a.repeat = nil
	if sent.IsZero() {
		a.g.returnRepeat(a.x) // of another attempt that was not sent either
		a.x.unsentRepeat = &repeat
		return
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.g.budget(a.x.service).RecordSent(a.g.now(), sent.Sub(a.g.start), repeat)
}

// returnRepeat returns a repeat of the request that was taken and not sent.
func (g *Gateway) returnRepeat(x *exchange) {
	if x.unsentRepeat == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(x.service).Return(*x.unsentRepeat)
	x.unsentRepeat = nil
}

// countRequest adds a caller's request to its service's retry budget and to the demand of its level.
func (g *Gateway) countRequest(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(x.service).RecordRequest(g.now(), g.pauses.EarliestArrival(x.firstByte.Sub(g.start)))
	if x.leveled {
		g.balancer.RecordArrival(g.now(), x.service, x.level)
	}
}

// budget returns a service's retry budget; g.mu must be held. One that is made now is known from the
// start of the process on, as the process has sent no repeat to the service before.
func (g *Gateway) budget(service string) *retry.FleetBudget {
	b := g.budgets[service]
	if b == nil {
		b = retry.NewFleetBudget(g.view.Load().shares.retries)
		g.budgets[service] = b
	}
	return b
}
