package expertmap

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// newRound queries all ranks again. A change that is not committed is aborted by
// it: a version of this fence counts as committed only if c.committed names it.
func (c *Coordinator) newRound(now time.Duration) []CoordinatorEffect {
	if c.round == maxRound {
		c.phase = PhaseStopped
		return nil
	}
	c.round++
	for i := range c.ranks {
		c.ranks[i] = rankView{}
	}
	var effects []CoordinatorEffect
	if c.change.version != 0 {
		effects = append(effects, Changed{Version: c.change.version})
	}
	c.change = change{}
	c.enter(PhaseQuery, now)
	return append(effects, c.send(now)...)
}

func (c *Coordinator) enter(p Phase, now time.Duration) {
	c.phase, c.since = p, now
}

// settleIfKnown settles the group once all ranks are bound to this round.
func (c *Coordinator) settleIfKnown(now time.Duration) []CoordinatorEffect {
	for _, v := range c.ranks {
		if !v.known {
			return nil
		}
	}
	lead := c.leader()
	if lead == nil {
		c.version++
		c.target = c.version
		c.keepMap(c.target, c.cfg.Initial)
	} else {
		if c.missingMap(lead) != 0 {
			return c.fetchMaps(lead)
		}
		c.resolveAll()
		c.target = c.newestCommitted()
	}
	c.prepareJoin(lead)
	c.enter(PhaseSettle, now)
	if effects := c.finishSettle(now); c.phase != PhaseSettle {
		return effects
	}
	return c.send(now)
}

// leader returns the state of the rank that has come furthest, or nil if no rank holds a map.
func (c *Coordinator) leader() *message.MapState {
	var lead *message.MapState
	for i := range c.ranks {
		s := &c.ranks[i].state
		if s.Active == 0 {
			continue
		}
		if lead == nil || s.Step > lead.Step || s.Step == lead.Step && s.Entered && !lead.Entered {
			lead = s
		}
	}
	return lead
}

// missingMap returns a version that a rank without a map needs and whose bytes are unknown.
func (c *Coordinator) missingMap(lead *message.MapState) uint64 {
	blank := false
	for _, v := range c.ranks {
		blank = blank || v.blank()
	}
	if !blank {
		return 0
	}
	for _, version := range [...]uint64{lead.Active, lead.PendingVersion()} {
		if version != 0 && c.mapOf(version) == nil {
			return version
		}
	}
	return 0
}

func (c *Coordinator) fetchMaps(lead *message.MapState) []CoordinatorEffect {
	c.ranks[lead.Rank].known = false
	q := &message.MapQuery{Group: c.cfg.Group, Fence: c.fence, Round: c.round, WantMaps: true}
	return []CoordinatorEffect{Send{Rank: lead.Rank, Message: q}}
}

// resolveAll decides every version that some rank still holds undecided.
func (c *Coordinator) resolveAll() {
	for _, v := range c.ranks {
		version := v.state.Prepared
		if version == 0 || version>>roundBits == c.fence || c.inheritedDecision(version) != nil {
			continue
		}
		c.inherited = append(c.inherited, decision{version, c.mustCommit(version)})
	}
}

// mustCommit decides a version of an earlier coordinator. All ranks are bound to
// this fence, so the earlier coordinator can't decide any more. No rank, dead or
// alive, has switched to the version unless all ranks had committed it; so it
// may be aborted if no rank that holds a map has.
func (c *Coordinator) mustCommit(version uint64) bool {
	for _, v := range c.ranks {
		if v.state.Committed == version || v.state.Active == version {
			return true
		}
	}
	return false
}

func (c *Coordinator) inheritedDecision(version uint64) *decision {
	for i := range c.inherited {
		if c.inherited[i].version == version {
			return &c.inherited[i]
		}
	}
	return nil
}

// decide returns the decision on version.
func (c *Coordinator) decide(version uint64) *message.MapDecide {
	commit := version == c.committed
	if d := c.inheritedDecision(version); d != nil {
		commit = d.commit
	}
	return &message.MapDecide{Group: c.cfg.Group, Version: version, Fence: c.fence, Commit: commit}
}

func (c *Coordinator) newestCommitted() uint64 {
	newest := uint64(0)
	for _, v := range c.ranks {
		newest = max(newest, v.state.Committed)
		if v.state.Prepared != 0 && c.decide(v.state.Prepared).Commit {
			newest = max(newest, v.state.Prepared)
		}
	}
	return newest
}

// finishSettle releases the target once every rank has committed it, and ends
// the settling once every rank is released.
func (c *Coordinator) finishSettle(now time.Duration) []CoordinatorEffect {
	switched, released := true, true
	for _, v := range c.ranks {
		if !v.settled(c.target) {
			return nil
		}
		switched = switched && v.state.Active == c.target
		released = released && v.released(c.target)
	}
	if !released {
		if c.phase == PhaseRelease {
			return nil
		}
		c.phase = PhaseRelease
		return c.send(now)
	}
	c.enter(PhaseIdle, now)
	if c.proposal == nil || !switched {
		return nil
	}
	return c.prepare(now)
}

// prepareJoin fixes the state that ranks without a map take over: the leader's
// in this round. The group can't leave it behind, as it steps only together.
func (c *Coordinator) prepareJoin(lead *message.MapState) {
	if lead == nil {
		c.join = message.MapJoin{Step: 1, Active: c.target}
		return
	}
	c.join = message.MapJoin{Step: lead.Step, Active: lead.Active}
	pending := lead.PendingVersion()
	if pending == 0 || lead.Prepared != 0 && !c.decide(pending).Commit {
		return
	}
	c.join.Pending, c.join.PendingStep = pending, lead.PendingStep
}

func (c *Coordinator) joinFor(incarnation uint64) *message.MapJoin {
	j := c.join
	j.Group, j.Fence, j.Round, j.Incarnation = c.cfg.Group, c.fence, c.round, incarnation
	j.ActiveMap, j.PendingMap = c.mapOf(j.Active), c.mapOf(j.Pending)
	return &j
}
