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
func (l *limiter) acquire(o *config.Organisation) *apierr.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total >= l.limit {
		return apierr.New(apierr.KindOverloaded, "the entry has too many requests in flight")
	}
	if l.byOrganisation[o.Name] >= o.MaxWaiting {
		return apierr.New(apierr.KindOrganisationLimit, o.Name)
	}
	l.total++
	l.byOrganisation[o.Name]++
	return nil
}

// release releases a slot of o.
func (l *limiter) release(o *config.Organisation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.byOrganisation[o.Name]--
	if l.byOrganisation[o.Name] == 0 {
		delete(l.byOrganisation, o.Name)
	}
}

// inFlight returns the number of requests that hold a slot.
func (l *limiter) inFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
