// Package fairness shares one target between organisations by weight.
//
// Queue is a start-time fair queue (Goyal, Vin and Cheng, "Start-time Fair
// Queueing", SIGCOMM 1996) whose flows are organisations. It is work-conserving: an
// organisation that waits alone may use the whole target and is not charged for that
// later. An organisation that used less than its share has a credit of a few requests,
// which go first; an idle organisation accumulates no more credit than that. Within an
// organisation, higher priorities go first, and equal priorities in order of arrival.
package fairness

import (
	"slices"
	"time"
)

// Item is one waiting request.
type Item struct {
	// ID is unique among the waiting requests.
	ID uint64
	// Organisation identifies the flow that the request is charged to.
	Organisation string
	// Weight is the organisation's relative share; values below 1 count as 1.
	Weight int
	// Priority orders the requests of one organisation; higher values go first.
	Priority int
	// Enqueued is the time of arrival.
	Enqueued time.Duration
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Duration
}

// creditRequests is the number of requests that an organisation that used less than its
// share may send at once before it has to wait for its turn again.
const creditRequests = 4

// Limits contains the limits of a Queue.
type Limits struct {
	// Items is the maximum number of waiting requests in total.
	Items int
	// PerOrganisation is the maximum number of waiting requests per organisation; zero means
	// Items.
	PerOrganisation int
}

// Queue is a bounded weighted fair queue. It is not safe for concurrent use.
type Queue struct {
	limits      Limits
	flows       []*flow
	length      int
	virtualTime float64
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	if limits.PerOrganisation <= 0 {
		limits.PerOrganisation = limits.Items
	}
	return &Queue{limits: limits}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// OrganisationLen returns the number of waiting requests of one organisation.
func (q *Queue) OrganisationLen(organisation string) int {
	if f := q.findFlow(organisation); f != nil {
		return len(f.items)
	}
	return 0
}

// SetLimits changes the limits. Requests that are already waiting stay.
func (q *Queue) SetLimits(limits Limits) {
	if limits.PerOrganisation <= 0 {
		limits.PerOrganisation = limits.Items
	}
	q.limits = limits
}

// PushResult is the result of Push.
type PushResult struct {
	// Queued is true if the item was queued.
	Queued bool
	// OrganisationFull is true if the item's organisation has reached PerOrganisation.
	OrganisationFull bool
	// Evicted is the request that was removed to make room; valid if HasEvicted.
	Evicted Item
	// HasEvicted is true if a request of another organisation was removed.
	HasEvicted bool
}

// Push adds it to the queue. If the queue is full, the last request of the organisation
// that holds the most slots relative to its weight is evicted, so that a flood from one
// organisation cannot block the others. If that organisation is it.Organisation, nothing
// is evicted and it is not queued.
func (q *Queue) Push(it Item) PushResult {
	it.Weight = max(it.Weight, 1)
	f := q.flowOf(it)
	if len(f.items) >= q.limits.PerOrganisation {
		return PushResult{OrganisationFull: true}
	}
	var res PushResult
	if q.length >= q.limits.Items {
		victim := q.largestForWeight(f)
		if victim == nil || victim == f {
			return res
		}
		res.Evicted, res.HasEvicted = victim.dropLast(), true
		q.length--
	}
	if len(f.items) == 0 {
		f.start = q.startOf(f)
	}
	f.insert(it)
	q.length++
	res.Queued = true
	return res
}

// Pop removes and returns the next request in fair order. It returns false if the queue
// is empty.
func (q *Queue) Pop() (Item, bool) {
	f := q.next()
	if f == nil {
		return Item{}, false
	}
	it := f.items[0]
	f.items = slices.Delete(f.items, 0, 1)
	q.length--
	q.serve(f, f.start)
	return it, true
}

// Charge accounts for a request that runs without having been queued.
func (q *Queue) Charge(it Item) {
	it.Weight = max(it.Weight, 1)
	f := q.flowOf(it)
	q.serve(f, q.startOf(f))
}

// startOf returns the virtual start time of a new request of an idle flow.
func (q *Queue) startOf(f *flow) float64 {
	return max(q.virtualTime-creditRequests/float64(f.weight), f.finish)
}

// serve advances the virtual time to start and charges f for one request.
func (q *Queue) serve(f *flow, start float64) {
	q.virtualTime = max(q.virtualTime, start)
	f.finish = start + 1/float64(f.weight)
	f.start = f.finish
	q.dropIdle()
}

// Remove removes a waiting request; it returns false if no request with this id waits.
func (q *Queue) Remove(id uint64) bool {
	for _, f := range q.flows {
		i := slices.IndexFunc(f.items, func(it Item) bool { return it.ID == id })
		if i < 0 {
			continue
		}
		f.items = slices.Delete(f.items, i, i+1)
		q.length--
		return true
	}
	return false
}

// Order returns the waiting requests in the order in which Pop would return them if no
// more requests arrived.
func (q *Queue) Order() []Item {
	c := q.clone()
	order := make([]Item, 0, q.length)
	for it, ok := c.Pop(); ok; it, ok = c.Pop() {
		order = append(order, it)
	}
	return order
}

// Ahead estimates the number of waiting requests that would be served before a new one.
func (q *Queue) Ahead(organisation string, weight, priority int) int {
	share := 1 / float64(max(weight, 1))
	start, ahead := max(q.virtualTime-creditRequests*share, 0), 0
	if f := q.findFlow(organisation); f != nil {
		ahead = f.before(priority)
		start = max(start, f.finish)
		if len(f.items) > 0 {
			start = f.start
		}
	}
	start += float64(ahead) * share
	for _, g := range q.flows {
		if g.organisation != organisation {
			ahead += g.countStartingBy(start)
		}
	}
	return ahead
}
