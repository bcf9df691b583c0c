// Package admission decides, in the agent of one target, which requests run
// now, which wait and which are refused at once.
//
// A Controller runs no more requests than the warm-up limit allows, shares the
// places between organisations by weight, bounds its queue in count and time,
// and refuses a request as soon as it can be seen to miss its deadline. It holds
// no clock: every call carries the time since any fixed instant.
package admission

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/fairness"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/warmup"
)

// runStart describes the start of a running request.
type runStart struct {
	at time.Duration
	// running is the number of requests that ran just after the start.
	running int
}

// Controller is the admission of one target. It is not safe for concurrent use.
type Controller struct {
	cfg      Config
	limiter  *warmup.Limiter
	queue    *fairness.Queue
	running  map[uint64]runStart
	service  estimate
	reports  uint64
	draining bool
	down     bool
}

// New returns a Controller for a target that counts as cold and healthy.
func New(cfg Config) *Controller {
	c := &Controller{
		limiter: warmup.New(warmup.Config{Limit: cfg.Limit, ColdLimit: cfg.ColdLimit, ProbeWhileCold: cfg.ProbeWhileCold}),
		queue:   fairness.New(fairness.Limits{}),
		running: make(map[uint64]runStart),
	}
	c.service.assumed = cfg.ServiceTime
	c.Configure(cfg)
	return c
}

// Configure takes over new bounds; requests that wait or run stay.
func (c *Controller) Configure(cfg Config) {
	c.cfg = cfg
	c.limiter.Configure(warmup.Config{Limit: cfg.Limit, ColdLimit: cfg.ColdLimit, ProbeWhileCold: cfg.ProbeWhileCold})
	c.queue.SetLimits(fairness.Limits{Items: cfg.QueueLimit, PerOrganisation: cfg.OrganisationQueueLimit})
}

// Offer decides about a new request.
func (c *Controller) Offer(now time.Duration, it Item) Decision {
	if err := c.closed(); err != nil {
		return Decision{Err: err}
	}
	if err := c.unreachable(now, it); err != nil {
		return Decision{Err: err}
	}
	if c.free() > 0 && c.queue.Len() == 0 {
		c.queue.Charge(fairness.Item{Organisation: it.Organisation, Weight: it.Weight})
		c.start(now, it.ID)
		return Decision{Verdict: Run}
	}
	if it.NoWait {
		return Decision{Err: refusal(apierr.KindOverloaded, "no free place", c.waitBehind(c.queue.Len()))}
	}
	return c.enqueue(now, it)
}

// Finish ends a running request and returns what to do with the places it frees.
func (c *Controller) Finish(now time.Duration, id uint64, r Result) Effects {
	started, ok := c.running[id]
	if !ok {
		return Effects{}
	}
	delete(c.running, id)
	if r.Cancelled {
		return c.dispatch(now)
	}
	if r.OK {
		c.service.add(r.ServiceTime)
	}
	fell := c.limiter.Finished(now, warmup.Sample{
		StartedAt:   started.at,
		Running:     started.running,
		ServiceTime: r.ServiceTime,
		Work:        r.Work,
		OK:          r.OK,
	})
	if fell {
		return c.afterFall(now)
	}
	return c.dispatch(now)
}

// Progress takes in the latency of one step of a running request as a ratio to
// the usual one, and returns what to do if it shows that the target turned cold.
func (c *Controller) Progress(now time.Duration, ratio float64) Effects {
	if !c.limiter.Progress(now, ratio) {
		return Effects{}
	}
	return c.afterFall(now)
}

// Report takes in the engine's own report of its start id and cold state.
func (c *Controller) Report(now time.Duration, startID uint64, cold bool) Effects {
	if !c.limiter.Report(now, startID, cold) {
		return Effects{}
	}
	return c.afterFall(now)
}

// Remove takes a waiting request out. It returns true exactly if the request had
// not started and now never will.
func (c *Controller) Remove(_ time.Duration, id uint64) bool {
	return c.queue.Remove(id)
}

// Expire gives up every waiting request that can no longer meet its deadline or
// has waited too long. Call it at a fixed interval.
func (c *Controller) Expire(now time.Duration) []Refused {
	var refused []Refused
	kept := 0
	for _, w := range c.queue.Order() {
		wait := c.waitBehind(kept)
		err := c.giveUp(now, w, wait)
		if err == nil {
			kept++
			continue
		}
		c.queue.Remove(w.ID)
		refused = append(refused, Refused{ID: w.ID, Err: err})
	}
	return refused
}

// Drain refuses all new requests from now on. Those that wait or run stay.
func (c *Controller) Drain() { c.draining = true }

// Undrain takes new requests again.
func (c *Controller) Undrain() { c.draining = false }

// SetHealthy notes whether the target answers its health check. Waiting requests
// of a target that went down are refused, so that other targets can take them.
func (c *Controller) SetHealthy(now time.Duration, healthy bool) Effects {
	c.down = !healthy
	if healthy {
		return c.dispatch(now)
	}
	var e Effects
	for it, ok := c.queue.Pop(); ok; it, ok = c.queue.Pop() {
		e.Refused = append(e.Refused, Refused{ID: it.ID, Err: c.closed()})
	}
	return e
}

// Idle tells that no request waits or runs.
func (c *Controller) Idle() bool { return len(c.running) == 0 && c.queue.Len() == 0 }

// Load returns the report for entries.
func (c *Controller) Load(_ time.Duration) message.Load {
	c.reports++
	return message.Load{
		State:       c.state(),
		Running:     len(c.running),
		Queued:      c.queue.Len(),
		Limit:       c.limiter.Limit(),
		QueueLimit:  c.cfg.QueueLimit,
		ServiceTime: c.service.mean(),
		WaitTime:    c.waitBehind(c.queue.Len()),
		Seq:         c.reports,
	}
}

func (c *Controller) state() message.TargetState {
	switch {
	case c.down:
		return message.TargetDown
	case c.draining:
		return message.TargetLeaving
	default:
		return c.limiter.State()
	}
}
