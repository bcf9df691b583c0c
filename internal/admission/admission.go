// Package admission decides, in the agent of one target, which requests run now, which
// wait and which are refused immediately.
//
// A Controller runs at most as many requests as the warm-up limit allows, shares the
// slots between organisations by weight, bounds its queue in length and waiting time,
// and refuses a request as soon as it is expected to miss its deadline. It reads no
// clock: methods that need the time take it as the duration since any fixed instant.
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
	// running is the number of running requests just after the start.
	running int
}

// Controller is the admission controller of one target. It is not safe for concurrent use.
type Controller struct {
	cfg          Config
	limiter      *warmup.Limiter
	queue        *fairness.Queue
	running      map[uint64]runStart
	serviceTimes estimate
	reports      uint64
	draining     bool
	down         bool
}

// New returns a Controller for a target that is initially assumed to be cold and healthy.
func New(cfg Config) *Controller {
	c := &Controller{
		limiter: warmup.New(warmup.Config{Limit: cfg.Limit, ColdLimit: cfg.ColdLimit, ProbeWhileCold: cfg.ProbeWhileCold}),
		queue:   fairness.New(fairness.Limits{}),
		running: make(map[uint64]runStart),
	}
	c.serviceTimes.assumed = cfg.ServiceTime
	c.Configure(cfg)
	return c
}

// Configure replaces the configuration. Waiting and running requests are not affected.
func (c *Controller) Configure(cfg Config) {
	c.cfg = cfg
	c.limiter.Configure(warmup.Config{Limit: cfg.Limit, ColdLimit: cfg.ColdLimit, ProbeWhileCold: cfg.ProbeWhileCold})
	c.queue.SetLimits(fairness.Limits{Items: cfg.QueueLimit, PerOrganisation: cfg.OrganisationQueueLimit})
}

// Offer decides whether a new request runs, waits or is refused.
func (c *Controller) Offer(now time.Duration, it Item) Decision {
	if err := c.refusalReason(); err != nil {
		return Decision{Err: err}
	}
	if err := c.checkWait(now, it); err != nil {
		return Decision{Err: err}
	}
	if c.freeSlots() > 0 && c.queue.Len() == 0 {
		c.queue.Charge(fairness.Item{Organisation: it.Organisation, Weight: it.Weight})
		c.start(now, it.ID)
		return Decision{Verdict: Run}
	}
	if it.NoWait {
		return Decision{Err: refusal(apierr.KindOverloaded, "no free place", c.expectedWait(c.queue.Len()))}
	}
	return c.enqueue(now, it)
}

// Finish ends a running request and returns the requests to start or refuse as a result.
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
		c.serviceTimes.add(r.ServiceTime)
	}
	lowered := c.limiter.HandleCompletion(now, warmup.Sample{
		StartedAt:   started.at,
		Running:     started.running,
		ServiceTime: r.ServiceTime,
		Work:        r.Work,
		OK:          r.OK,
	})
	if lowered {
		return c.handleLoweredLimit(now)
	}
	return c.dispatch(now)
}

// HandleProgress records the latency of one step of a running request, as a ratio to the usual
// latency. If it shows that the target turned cold, the limit is lowered and the requests
// to start or refuse are returned.
func (c *Controller) HandleProgress(now time.Duration, ratio float64) Effects {
	if !c.limiter.HandleProgress(now, ratio) {
		return Effects{}
	}
	return c.handleLoweredLimit(now)
}

// HandleReport records the start id and the cold state that the engine reports. If they lower
// the limit, the requests to start or refuse are returned.
func (c *Controller) HandleReport(now time.Duration, startID uint64, cold bool) Effects {
	if !c.limiter.HandleReport(now, startID, cold) {
		return Effects{}
	}
	return c.handleLoweredLimit(now)
}

// Remove removes a waiting request. It returns true if the request was waiting; the
// request has then not started and never will.
func (c *Controller) Remove(_ time.Duration, id uint64) bool {
	return c.queue.Remove(id)
}

// Expire refuses every waiting request that can no longer meet its deadline or has
// waited too long. It must be called at a fixed interval.
func (c *Controller) Expire(now time.Duration) []Refused {
	var refused []Refused
	kept := 0
	for _, w := range c.queue.Order() {
		wait := c.expectedWait(kept)
		err := c.checkWaiting(now, w, wait)
		if err == nil {
			kept++
			continue
		}
		c.queue.Remove(w.ID)
		refused = append(refused, Refused{ID: w.ID, Err: err})
	}
	return refused
}

// Drain refuses all new requests from now on. Waiting and running requests stay.
func (c *Controller) Drain() { c.draining = true }

// Undrain accepts new requests again.
func (c *Controller) Undrain() { c.draining = false }

// SetHealthy records whether the target passes its health check. If the target went down,
// its waiting requests are refused, so that other targets can serve them.
func (c *Controller) SetHealthy(now time.Duration, healthy bool) Effects {
	c.down = !healthy
	if healthy {
		return c.dispatch(now)
	}
	var e Effects
	for it, ok := c.queue.Pop(); ok; it, ok = c.queue.Pop() {
		e.Refused = append(e.Refused, Refused{ID: it.ID, Err: c.refusalReason()})
	}
	return e
}

// Idle reports whether no request waits or runs.
func (c *Controller) Idle() bool { return len(c.running) == 0 && c.queue.Len() == 0 }

// Load returns the load report for the entries.
func (c *Controller) Load(_ time.Duration) message.Load {
	c.reports++
	return message.Load{
		State:       c.state(),
		Running:     len(c.running),
		Queued:      c.queue.Len(),
		Limit:       c.limiter.Limit(),
		QueueLimit:  c.cfg.QueueLimit,
		ServiceTime: c.serviceTimes.mean(),
		WaitTime:    c.expectedWait(c.queue.Len()),
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
