// Package experiment drives the policy packages through a day at a small
// deployment with a fake clock: three availability zones, sixteen drafting and
// three permit targets, ten organisations, one availability zone that is drained
// and returns cold, and load reports that arrive late.
//
// The routing, admission, warm-up, fairness and retry code is the daemons' own;
// only engines, links and callers are fakes. Every run is a pure function of its
// Scenario, the seed included.
package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function that runs at a fixed instant.
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

// clock runs events in order of time, equal times in order of scheduling.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
	rng    *rand.Rand
}

func newClock(seed uint64) *clock {
	return &clock{rng: rand.New(rand.NewPCG(seed, 0))}
}

// after schedules run in d.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + d, seq: c.seq, run: run})
}

// every calls run at a fixed interval, first after one interval, until stop returns true.
func (c *clock) every(d time.Duration, stop func() bool, run func()) {
	c.after(d, func() {
		if stop() {
			return
		}
		run()
		c.every(d, stop, run)
	})
}

// runUntil runs the events before end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at < end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
