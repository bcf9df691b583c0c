package expertmap

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// prepare starts the change to the waiting proposal.
func (c *Coordinator) prepare(now time.Duration) []CoordinatorEffect {
	step := uint64(0)
	for i := range c.ranks {
		step = max(step, c.ranks[i].state.Step)
	}
	c.version++
	c.change = change{version: c.version, step: step + 1 + c.cfg.Lead, data: c.proposal}
	c.proposal = nil
	c.keepMap(c.change.version, c.change.data)
	c.enter(PhasePrepare, now)
	return c.send(now)
}

// commitIfPromised commits the change once every rank has promised.
func (c *Coordinator) commitIfPromised(now time.Duration) []CoordinatorEffect {
	for _, v := range c.ranks {
		if !v.promised {
			return nil
		}
	}
	version := c.change.version
	c.committed, c.target, c.change = version, version, change{}
	for i := range c.ranks {
		c.ranks[i].state.Prepared = version
	}
	c.enter(PhaseSettle, now)
	effects := []CoordinatorEffect{Changed{Version: version, Committed: true}}
	return append(effects, c.send(now)...)
}

// pendingMessage returns the message that rank i has not answered yet, or nil.
func (c *Coordinator) pendingMessage(i int) message.Message {
	v := &c.ranks[i]
	switch c.phase {
	case PhaseQuery:
		if !v.known {
			return &message.MapQuery{Group: c.cfg.Group, Fence: c.fence, Round: c.round, WantMaps: v.state.Active != 0}
		}
	case PhaseSettle:
		if v.blank() {
			return c.joinFor(v.state.Incarnation)
		}
		if v.state.Prepared != 0 {
			return c.decide(v.state.Prepared)
		}
	case PhaseRelease:
		if !v.released(c.target) {
			d := c.decide(c.target)
			d.Commit, d.Release = true, true
			return d
		}
	case PhasePrepare:
		if !v.promised {
			ch := c.change
			return &message.MapPrepare{Group: c.cfg.Group, Version: ch.version, Step: ch.step, Fence: c.fence, Map: ch.data}
		}
	}
	return nil
}

// send sends every rank the message that it has not answered yet.
func (c *Coordinator) send(now time.Duration) []CoordinatorEffect {
	c.resent = now
	var effects []CoordinatorEffect
	for i := range c.ranks {
		if m := c.pendingMessage(i); m != nil {
			effects = append(effects, Send{Rank: i, Message: m})
		}
	}
	return effects
}
