package gateway

import "github.com/gentiantrail/gentiantrail/internal/retry"

// takeRepeat takes one repeat of the request from its service's retry budget, and returns false if
// there is none left.
func (g *Gateway) takeRepeat(x *exchange) bool {
	g.mu.Lock()
	b, now := g.budget(x.service), g.now()
	status := b.Status(now)
	granted := b.Take(now)
	g.mu.Unlock()
	g.logRepeat(x, status, granted, now)
	return granted
}

// countRequest adds a caller's request to its service's retry budget and to the demand of its level.
func (g *Gateway) countRequest(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(x.service).RecordRequest(g.now())
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
