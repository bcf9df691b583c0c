package gateway

import "github.com/gentiantrail/gentiantrail/internal/retry"

// takeRepeat takes one repeat of the request from its service's retry budget, and returns false if
// there is none left.
func (g *Gateway) takeRepeat(x *exchange) bool {
	g.mu.Lock()
	w, now := g.budget(x.service), g.now()
	status := w.Status(now)
	granted := w.Take(now)
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

// budget returns a service's retry budget; g.mu must be held.
func (g *Gateway) budget(service string) *retry.Window {
	w := g.budgets[service]
	if w == nil {
		w = retry.NewWindow(g.view.Load().shares.retries)
		g.budgets[service] = w
	}
	return w
}
