package entry

import (
	"slices"
	"sync"

	"github.com/gentiantrail/gentiantrail/internal/observe"
)

// requestTable contains what a stop logs of each request in flight.
type requestTable struct {
	mu       sync.Mutex
	requests map[*exchange]observe.Unfinished
}

func newRequestTable() *requestTable {
	return &requestTable{requests: make(map[*exchange]observe.Unfinished)}
}

// record adds x, or its latest attempt. The caller owns x.
func (t *requestTable) record(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[x] = observe.Unfinished{
		Request: x.req.RequestID, Organisation: x.req.Organisation, Service: x.req.Service,
		Target: x.target, Attempts: x.attempts, Arrived: x.arrived,
	}
}

func (t *requestTable) remove(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, x)
}

// Unfinished returns the requests in flight, the oldest first.
func (e *Entry) Unfinished() []observe.Unfinished {
	e.requests.mu.Lock()
	defer e.requests.mu.Unlock()
	list := make([]observe.Unfinished, 0, len(e.requests.requests))
	for _, u := range e.requests.requests {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b observe.Unfinished) int { return a.Arrived.Compare(b.Arrived) })
	return list
}
