package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function that is scheduled to run at a time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// clock is a simulated clock. It runs events in order of their time, and events of the
// same time in the order in which they were scheduled.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
	rng    *rand.Rand
}

func newClock(seed uint64) *clock {
	return &clock{rng: rand.New(rand.NewPCG(seed, 0))}
}

// after schedules run at d from now.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + d, seq: c.seq, run: run})
}

// every schedules run every d, first at d from now, until stop returns true.
func (c *clock) every(d time.Duration, stop func() bool, run func()) {
	c.after(d, func() {
		if stop() {
			return
		}
		run()
		c.every(d, stop, run)
	})
}

// runUntil runs the events scheduled before end and sets the clock to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at < end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
