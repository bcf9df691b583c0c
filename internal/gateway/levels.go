package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/priority"
)

// returningMargin is the time by which a caller's deadline is below its route's timeout if the
// caller was refused before. Less is lost on the way.
const returningMargin = 200 * time.Millisecond

// setLevel sets the request's level, if its service has levels.
func (x *exchange) setLevel() {
	x.leveled = x.view.leveled[x.service]
	effective := x.route.Priority
	if x.organisation != nil && x.organisation.Priority != nil {
		effective = *x.organisation.Priority
	}
	returning := x.route.Timeout > 0 && x.deadline.Sub(x.arrived) < x.route.Timeout-returningMargin
	x.level = priority.LevelOf(effective, x.route.Priority, returning)
}

// recordChoice records the choice of the request's first target, or its refusal for lack of capacity.
func (g *Gateway) recordChoice(x *exchange, c placement.Choice, refusal placement.Refusal) {
	x.levelCheck = c.Level
	if x.leveled && !x.admitted {
		switch refusal {
		case placement.NotRefused:
			g.levelMetrics.counters(x.level).admitted.Inc(1)
		case placement.Full:
			g.levelMetrics.counters(x.level).refusedForRoom.Inc(1)
		}
	}
	x.admitted = x.admitted || refusal == placement.NotRefused
}

// fullDetail returns the detail of a refusal for lack of capacity.
func (x *exchange) fullDetail() string {
	c := x.levelCheck
	if c == nil {
		return x.service
	}
	return fmt.Sprintf("%s: priority %s, load %.0f, limit %.0f, reserve %.0f", x.service, priority.LevelName(c.Priority), c.Load, c.Limit, c.Reserve)
}

// fullRetryAfter records that the caller is refused for lack of capacity. It returns the time after
// which the caller should retry.
func (g *Gateway) fullRetryAfter(x *exchange) time.Duration {
	if x.leveled {
		g.mu.Lock()
		after, ok := g.balancer.RecordRefusal(g.now(), x.service, x.level, x.remaining())
		g.mu.Unlock()
		if ok {
			return after
		}
	}
	return jittered(retryAfterOverload)
}

// reportReserves sets the gauges of the reserves.
func (g *Gateway) reportReserves() {
	g.mu.Lock()
	reserves := g.balancer.Reserves(g.now())
	g.mu.Unlock()
	for _, r := range reserves {
		g.levelMetrics.scope.Tagged(map[string]string{"service": r.Service, "priority": priority.LevelName(r.Priority)}).Gauge("reserve").Update(r.Reserve)
	}
}

// levelMetrics are the metrics of services with levels.
type levelMetrics struct {
	scope      tally.Scope
	byPriority sync.Map // of int to *levelCounters
}

type levelCounters struct{ admitted, refusedForRoom tally.Counter }

// counters returns the counters of a priority.
func (m *levelMetrics) counters(level int) *levelCounters {
	if c, ok := m.byPriority.Load(level); ok {
		return c.(*levelCounters)
	}
	s := m.scope.Tagged(map[string]string{"priority": priority.LevelName(level)})
	c, _ := m.byPriority.LoadOrStore(level, &levelCounters{admitted: s.Counter("admitted"), refusedForRoom: s.Counter("refused_for_room")})
	return c.(*levelCounters)
}

// maxDemandBytes bounds the encoded demand in a message, in bytes.
const maxDemandBytes = 400

// demandEntry is a priority.Report.
type demandEntry struct {
	_ struct{} `cbor:",toarray"`

	Service  uint32
	Priority int
	// Arrivals and Admitted are per second.
	Arrivals, Admitted shortFloat
}

// demand is the part of a message that reports a gateway's own demand.
type demand []demandEntry

// newDemand returns as many of the reports as maxDemandBytes allows.
func newDemand(reports []priority.Report) demand {
	d := make(demand, 0, len(reports))
	for _, r := range reports {
		d = append(d, demandEntry{Service: r.Service, Priority: r.Priority, Arrivals: shortFloat(r.Arrivals), Admitted: shortFloat(r.Admissions)})
	}
	for len(d) > 0 {
		// An error leaves the demand out of this message; the message itself reports it if it
		// can't be encoded.
		if b, err := shortFloats.Marshal(d); err == nil && len(b) <= maxDemandBytes {
			break
		}
		d = d[:len(d)-1]
	}
	return d
}

// decode returns the reports of a message.
func (d demand) decode() []priority.Report {
	reports := make([]priority.Report, 0, min(len(d), priority.MaxReports))
	for _, e := range d[:min(len(d), priority.MaxReports)] {
		reports = append(reports, priority.Report{
			Service: e.Service, Priority: e.Priority, Rates: priority.Rates{Arrivals: float64(e.Arrivals), Admissions: float64(e.Admitted)},
		})
	}
	return reports
}
