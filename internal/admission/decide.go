package admission

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/fairness"
)

// closed returns the reason for which no request is taken at all.
func (c *Controller) closed() *apierr.Error {
	switch {
	case c.draining:
		return apierr.New(apierr.KindDraining, "target")
	case c.down:
		return apierr.New(apierr.KindTargetUnreachable, "target")
	default:
		return nil
	}
}

// unreachable refuses a request whose expected wait is too long.
func (c *Controller) unreachable(now time.Duration, it Item) *apierr.Error {
	wait := c.waitBehind(c.queue.Ahead(it.Organisation, it.Weight, it.Priority))
	if err := c.tooLate(now, it.Deadline, wait); err != nil {
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

// tooLate refuses a request that would end after its deadline. One that can run
// now is held against the mean service time; one that has to wait against a high
// quantile, because a place given to a request that then ends late is lost to all.
func (c *Controller) tooLate(now, deadline, wait time.Duration) *apierr.Error {
	service := c.service.mean()
	if wait > 0 {
		service = c.service.high()
	}
	late := now + wait + service - deadline
	if late <= 0 {
		return nil
	}
	return refusal(apierr.KindDeadlineUnreachable, "target", min(late, wait))
}

// giveUp returns the refusal of a waiting request, or nil if it may still wait.
func (c *Controller) giveUp(now time.Duration, w fairness.Item, wait time.Duration) *apierr.Error {
	if err := c.tooLate(now, w.Deadline, wait); err != nil {
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
		return Decision{Err: refusal(apierr.KindOverloaded, "queue", c.waitBehind(c.queue.Len()))}
	}
	d := Decision{Verdict: Queue}
	if res.HasEvicted {
		err := refusal(apierr.KindOverloaded, "queue", c.waitBehind(c.queue.Len()))
		d.Effects.Refused = []Refused{{ID: res.Evicted.ID, Err: err}}
	}
	return c.startOffered(now, it.ID, d)
}

// startOffered starts what the free places allow, the offered request perhaps among it.
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

// dispatch starts waiting requests in the free places, and gives up those that
// would end too late.
func (c *Controller) dispatch(now time.Duration) Effects {
	var e Effects
	for !c.down && c.free() > 0 {
		w, ok := c.queue.Pop()
		if !ok {
			break
		}
		if err := c.giveUp(now, w, 0); err != nil {
			e.Refused = append(e.Refused, Refused{ID: w.ID, Err: err})
			continue
		}
		c.start(now, w.ID)
		e.Start = append(e.Start, w.ID)
	}
	return e
}

// afterFall gives up what a lowered limit cannot serve in time.
func (c *Controller) afterFall(now time.Duration) Effects {
	e := c.dispatch(now)
	e.Refused = append(e.Refused, c.Expire(now)...)
	return e
}

func (c *Controller) start(now time.Duration, id uint64) {
	c.running[id] = runStart{at: now, running: len(c.running) + 1}
}

func (c *Controller) free() int { return c.limiter.Limit() - len(c.running) }

// waitBehind returns the expected wait of a request with ahead requests before it.
func (c *Controller) waitBehind(ahead int) time.Duration {
	places := ahead + 1 - c.free()
	if places <= 0 {
		return 0
	}
	return c.service.mean() * time.Duration(places) / time.Duration(c.limiter.Limit())
}

// refusal returns an error that asks the caller to wait for at least after.
func refusal(k apierr.Kind, detail string, after time.Duration) *apierr.Error {
	err := apierr.New(k, detail)
	err.RetryAfter = after
	return err
}
