package entry

import (
	"sync"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/config"
)

// gate bounds the requests in flight, in all and for each organisation.
type gate struct {
	limit int

	mu             sync.Mutex
	all            int
	byOrganisation map[string]int
}

func newGate(limit int) *gate {
	return &gate{limit: limit, byOrganisation: make(map[string]int)}
}

// enter takes a place for a request of o.
func (g *gate) enter(o *config.Organisation) *apierr.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.all >= g.limit {
		return apierr.New(apierr.KindOverloaded, "the entry has too many requests in flight")
	}
	if g.byOrganisation[o.Name] >= o.MaxWaiting {
		return apierr.New(apierr.KindOrganisationLimit, o.Name)
	}
	g.all++
	g.byOrganisation[o.Name]++
	return nil
}

// leave gives a place back.
func (g *gate) leave(o *config.Organisation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all--
	g.byOrganisation[o.Name]--
	if g.byOrganisation[o.Name] == 0 {
		delete(g.byOrganisation, o.Name)
	}
}

// inFlight returns the number of requests that hold a place.
func (g *gate) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.all
}
