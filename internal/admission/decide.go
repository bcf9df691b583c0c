package admission

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/fairness"
)

// refusalReason returns the reason for refusing all new requests, or nil.
func (c *Controller) refusalReason() *apierr.Error {
	switch {
	case c.draining:
		return apierr.New(apierr.KindDraining, "target")
	case c.down:
		return apierr.New(apierr.KindTargetUnreachable, "target")
	default:
		return nil
	}
}

// checkWait returns a refusal if the expected wait of a new request is too long.
func (c *Controller) checkWait(now time.Duration, it Item) *apierr.Error {
	wait := c.expectedWait(c.queue.Ahead(it.Organisation, it.Weight, it.Priority))
	if err := c.checkDeadline(now, it.Deadline, wait); err != nil {
		return err
	}
	if c.cfg.MaxWait > 0 && wait > c.cfg.MaxWait {
		return refusal(apierr.KindOverloaded, "queue", wait-c.cfg.MaxWait)
	}
	if it.MaxWait > 0 && wait > it.MaxWait {
		return refusal(apierr.KindOverloaded, "longer wait than asked", wait)
	}
	return nil
}

// checkDeadline returns a refusal if the request is expected to end after its deadline.
// For a request that can run now, the mean service time is assumed. For one that has to
// wait, a high quantile is assumed, because a slot spent on a request that ends after its
// deadline is wasted.
func (c *Controller) checkDeadline(now, deadline, wait time.Duration) *apierr.Error {
	service := c.serviceTimes.mean()
	if wait > 0 {
		service = c.serviceTimes.high()
	}
	excess := now + wait + service - deadline
	if excess <= 0 {
		return nil
	}
	return refusal(apierr.KindDeadlineUnreachable, "target", min(excess, wait))
}

// checkWaiting returns the refusal of a waiting request, or nil if it may continue to wait.
func (c *Controller) checkWaiting(now time.Duration, w fairness.Item, wait time.Duration) *apierr.Error {
	if err := c.checkDeadline(now, w.Deadline, wait); err != nil {
		return err
	}
	if c.cfg.MaxWait > 0 && now-w.Enqueued > c.cfg.MaxWait {
		return refusal(apierr.KindOverloaded, "queue", wait)
	}
	return nil
}

func (c *Controller) enqueue(now time.Duration, it Item) Decision {
	res := c.queue.Push(fairness.Item{
		ID:           it.ID,
		Organisation: it.Organisation,
		Weight:       it.Weight,
		Priority:     it.Priority,
		Enqueued:     now,
		Deadline:     it.Deadline,
	})
	if !res.Queued {
		return Decision{Err: refusal(apierr.KindOverloaded, "queue", c.expectedWait(c.queue.Len()))}
	}
	d := Decision{Verdict: Queue}
	if res.HasEvicted {
		err := refusal(apierr.KindOverloaded, "queue", c.expectedWait(c.queue.Len()))
		d.Effects.Refused = []Refused{{ID: res.Evicted.ID, Err: err}}
	}
	return c.startOffered(now, it.ID, d)
}

// startOffered starts requests in the free slots. If the offered request is among them,
// its verdict becomes Run.
func (c *Controller) startOffered(now time.Duration, id uint64, d Decision) Decision {
	e := c.dispatch(now)
	d.Effects.Refused = append(d.Effects.Refused, e.Refused...)
	for _, started := range e.Start {
		if started == id {
			d.Verdict = Run
			continue
		}
		d.Effects.Start = append(d.Effects.Start, started)
	}
	return d
}

// dispatch starts waiting requests in the free slots, and refuses those that would end
// too late.
func (c *Controller) dispatch(now time.Duration) Effects {
	var e Effects
	for !c.down && c.freeSlots() > 0 {
		w, ok := c.queue.Pop()
		if !ok {
			break
		}
		if err := c.checkWaiting(now, w, 0); err != nil {
			e.Refused = append(e.Refused, Refused{ID: w.ID, Err: err})
			continue
		}
		c.start(now, w.ID)
		e.Start = append(e.Start, w.ID)
	}
	return e
}

// handleLoweredLimit refuses the waiting requests that the lowered limit cannot serve in
// time.
func (c *Controller) handleLoweredLimit(now time.Duration) Effects {
	e := c.dispatch(now)
	e.Refused = append(e.Refused, c.Expire(now)...)
	return e
}

func (c *Controller) start(now time.Duration, id uint64) {
	c.running[id] = runStart{at: now, running: len(c.running) + 1}
}

func (c *Controller) freeSlots() int { return c.limiter.Limit() - len(c.running) }

// expectedWait returns the expected wait of a request with ahead requests before it.
func (c *Controller) expectedWait(ahead int) time.Duration {
	needed := ahead + 1 - c.freeSlots()
	if needed <= 0 {
		return 0
	}
	return c.serviceTimes.mean() * time.Duration(needed) / time.Duration(c.limiter.Limit())
}

// refusal returns an error that asks the caller to retry no earlier than after.
func refusal(k apierr.Kind, detail string, after time.Duration) *apierr.Error {
	err := apierr.New(k, detail)
	err.RetryAfter = after
	return err
}
