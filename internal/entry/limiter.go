package entry

import (
	"sync"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/config"
)

// limiter bounds the number of requests in flight, in total and for each organisation.
type limiter struct {
	limit int

	mu             sync.Mutex
	total          int
	byOrganisation map[string]int
}

func newLimiter(limit int) *limiter {
	return &limiter{limit: limit, byOrganisation: make(map[string]int)}
}

// acquire takes a slot for a request of o, or returns the refusal if a limit is reached.
func (g *limiter) acquire(o *config.Organisation) *apierr.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.total >= g.limit {
		return apierr.New(apierr.KindOverloaded, "the entry has too many requests in flight")
	}
	if g.byOrganisation[o.Name] >= o.MaxWaiting {
		return apierr.New(apierr.KindOrganisationLimit, o.Name)
	}
	g.total++
	g.byOrganisation[o.Name]++
	return nil
}

// release releases a slot of o.
func (g *limiter) release(o *config.Organisation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total--
	g.byOrganisation[o.Name]--
	if g.byOrganisation[o.Name] == 0 {
		delete(g.byOrganisation, o.Name)
	}
}

// inFlight returns the number of requests that hold a slot.
func (g *limiter) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total
}
