package expertmap

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// prepare starts the change to the map of the pending proposal.
func (c *Coordinator) prepare(now time.Duration) []CoordinatorEffect {
	step := uint64(0)
	for i := range c.ranks {
		step = max(step, c.ranks[i].state.Step)
	}
	c.lastVersion++
	c.change = change{version: c.lastVersion, step: step + 1 + c.cfg.SwitchLead, data: c.proposal}
	c.proposal = nil
	c.storeMap(c.change.version, c.change.data)
	c.enterPhase(PhasePrepare, now)
	return c.sendPending(now)
}

// commitIfAllPromised commits the change once every rank has promised.
func (c *Coordinator) commitIfAllPromised(now time.Duration) []CoordinatorEffect {
	for _, v := range c.ranks {
		if !v.promised {
			return nil
		}
	}
	version := c.change.version
	c.committed, c.targetVersion, c.change = version, version, change{}
	for i := range c.ranks {
		c.ranks[i].state.Prepared = version
	}
	c.enterPhase(PhaseSettle, now)
	effects := []CoordinatorEffect{ChangeEnded{Version: version, Committed: true}}
	return append(effects, c.sendPending(now)...)
}

// pendingMessage returns the message that rank i still has to answer in the
// current phase, or nil if there is none.
func (c *Coordinator) pendingMessage(i int) message.Message {
	v := &c.ranks[i]
	switch c.phase {
	case PhaseQuery:
		if !v.known {
			return &message.MapQuery{Group: c.cfg.Group, Fence: c.fence, Round: c.round, WantMaps: v.state.Active != 0}
		}
	case PhaseSettle:
		if v.lacksMap() {
			return c.joinMessage(v.state.Incarnation)
		}
		if v.state.Prepared != 0 {
			return c.decisionMessage(v.state.Prepared)
		}
	case PhaseRelease:
		if !v.released(c.targetVersion) {
			d := c.decisionMessage(c.targetVersion)
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

// sendPending sends each rank its pending message, if any.
func (c *Coordinator) sendPending(now time.Duration) []CoordinatorEffect {
	c.lastSent = now
	var effects []CoordinatorEffect
	for i := range c.ranks {
		if m := c.pendingMessage(i); m != nil {
			effects = append(effects, Send{Rank: i, Message: m})
		}
	}
	return effects
}
