package fairness

import "slices"

// flow contains the waiting requests of one organisation.
type flow struct {
	organisation string
	weight       int
	// items is ordered by descending priority, then by arrival.
	items []Item
	// start is the virtual start time of items[0].
	start float64
	// finish is the virtual finish time of the request served last.
	finish float64
}

// insert inserts it after all items of the same or a higher priority.
func (f *flow) insert(it Item) {
	f.items = slices.Insert(f.items, f.before(it.Priority), it)
}

// before returns the number of items that are served before a new item of the given
// priority.
func (f *flow) before(priority int) int {
	i := slices.IndexFunc(f.items, func(it Item) bool { return it.Priority < priority })
	if i < 0 {
		return len(f.items)
	}
	return i
}

// dropLast removes the item that would be served last.
func (f *flow) dropLast() Item {
	last := len(f.items) - 1
	it := f.items[last]
	f.items = f.items[:last]
	return it
}

// countStartingBy returns the number of items whose virtual start time is at most start.
func (f *flow) countStartingBy(start float64) int {
	if len(f.items) == 0 || f.start > start {
		return 0
	}
	n := int((start-f.start)*float64(f.weight)) + 1
	return min(n, len(f.items))
}

func (q *Queue) findFlow(organisation string) *flow {
	for _, f := range q.flows {
		if f.organisation == organisation {
			return f
		}
	}
	return nil
}

// flowOf returns the flow of it.Organisation, created if needed, and updates its weight.
func (q *Queue) flowOf(it Item) *flow {
	f := q.findFlow(it.Organisation)
	if f == nil {
		f = &flow{organisation: it.Organisation}
		q.flows = append(q.flows, f)
	}
	f.weight = it.Weight
	return f
}

// next returns the backlogged flow with the lowest virtual start time. Ties are broken
// by the name of the organisation.
func (q *Queue) next() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		if best == nil || f.start < best.start || (f.start == best.start && f.organisation < best.organisation) {
			best = f
		}
	}
	return best
}

// largestForWeight returns the flow that holds the most queue slots relative to its
// weight, where newcomer counts as having one more; newcomer loses ties.
func (q *Queue) largestForWeight(newcomer *flow) *flow {
	best := newcomer
	most := float64(len(newcomer.items)+1) / float64(newcomer.weight)
	for _, f := range q.flows {
		if f == newcomer || len(f.items) == 0 {
			continue
		}
		if held := float64(len(f.items)) / float64(f.weight); held > most {
			best, most = f, held
		}
	}
	return best
}

// dropIdle removes the idle flows whose history no longer affects the order.
func (q *Queue) dropIdle() {
	q.flows = slices.DeleteFunc(q.flows, func(f *flow) bool {
		return len(f.items) == 0 && f.finish <= q.virtualTime-creditRequests/float64(f.weight)
	})
}

func (q *Queue) clone() *Queue {
	c := *q
	c.flows = make([]*flow, len(q.flows))
	for i, f := range q.flows {
		g := *f
		g.items = slices.Clone(f.items)
		c.flows[i] = &g
	}
	return &c
}
