package expertmap

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// newRound queries all ranks again. It aborts a change that is not committed: a
// version created under this fencing number counts as committed only if it equals
// c.committed.
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
		effects = append(effects, ChangeEnded{Version: c.change.version})
	}
	c.change = change{}
	c.enterPhase(PhaseQuery, now)
	return append(effects, c.sendPending(now)...)
}

func (c *Coordinator) enterPhase(p Phase, now time.Duration) {
	c.phase, c.phaseStart = p, now
}

// settleIfAllKnown starts to settle the group once all ranks are bound to this
// round.
func (c *Coordinator) settleIfAllKnown(now time.Duration) []CoordinatorEffect {
	for _, v := range c.ranks {
		if !v.known {
			return nil
		}
	}
	furthest := c.furthestRank()
	if furthest == nil {
		c.lastVersion++
		c.targetVersion = c.lastVersion
		c.storeMap(c.targetVersion, c.cfg.Initial)
	} else {
		if c.missingMap(furthest) != 0 {
			return c.requestMaps(furthest)
		}
		c.decideInherited()
		c.targetVersion = c.newestCommitted()
	}
	c.setJoinState(furthest)
	c.enterPhase(PhaseSettle, now)
	if effects := c.finishSettle(now); c.phase != PhaseSettle {
		return effects
	}
	return c.sendPending(now)
}

// furthestRank returns the state of the rank that has advanced furthest, or nil if
// no rank holds a map.
func (c *Coordinator) furthestRank() *message.MapState {
	var furthest *message.MapState
	for i := range c.ranks {
		s := &c.ranks[i].state
		if s.Active == 0 {
			continue
		}
		if furthest == nil || s.Step > furthest.Step || s.Step == furthest.Step && s.Entered && !furthest.Entered {
			furthest = s
		}
	}
	return furthest
}

// missingMap returns a version that a rank without a map needs and whose encoded
// map is not stored, or zero if there is none.
func (c *Coordinator) missingMap(furthest *message.MapState) uint64 {
	needed := false
	for _, v := range c.ranks {
		needed = needed || v.lacksMap()
	}
	if !needed {
		return 0
	}
	for _, version := range [...]uint64{furthest.Active, furthest.PendingVersion()} {
		if version != 0 && c.mapData(version) == nil {
			return version
		}
	}
	return 0
}

func (c *Coordinator) requestMaps(furthest *message.MapState) []CoordinatorEffect {
	c.ranks[furthest.Rank].known = false
	q := &message.MapQuery{Group: c.cfg.Group, Fence: c.fence, Round: c.round, WantMaps: true}
	return []CoordinatorEffect{Send{Rank: furthest.Rank, Message: q}}
}

// decideInherited decides every version of an earlier coordinator that is still
// undecided on some rank.
func (c *Coordinator) decideInherited() {
	for _, v := range c.ranks {
		version := v.state.Prepared
		if version == 0 || version>>roundBits == c.fence || c.inheritedDecision(version) != nil {
			continue
		}
		c.inherited = append(c.inherited, decision{version, c.mustCommit(version)})
	}
}

// mustCommit reports whether a version of an earlier coordinator must be
// committed. All ranks are bound to the current fencing number, so the earlier
// coordinator can no longer decide. No rank, running or failed, has switched to
// the version unless all ranks had committed it. The version may therefore be
// aborted if no rank that holds a map has committed it.
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

// decisionMessage returns the message with the decision on version.
func (c *Coordinator) decisionMessage(version uint64) *message.MapDecide {
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
		if v.state.Prepared != 0 && c.decisionMessage(v.state.Prepared).Commit {
			newest = max(newest, v.state.Prepared)
		}
	}
	return newest
}

// finishSettle releases the target version once every rank has committed it, and
// enters PhaseIdle once every rank is released. It then starts a pending proposal
// if all ranks have switched.
func (c *Coordinator) finishSettle(now time.Duration) []CoordinatorEffect {
	switched, released := true, true
	for _, v := range c.ranks {
		if !v.settled(c.targetVersion) {
			return nil
		}
		switched = switched && v.state.Active == c.targetVersion
		released = released && v.released(c.targetVersion)
	}
	if !released {
		if c.phase == PhaseRelease {
			return nil
		}
		c.phase = PhaseRelease
		return c.sendPending(now)
	}
	c.enterPhase(PhaseIdle, now)
	if c.proposal == nil || !switched {
		return nil
	}
	return c.prepare(now)
}

// setJoinState sets the state that ranks without a map adopt: that of the rank
// that had advanced furthest in this round. The group cannot advance beyond it in
// the meantime, because a step needs all ranks.
func (c *Coordinator) setJoinState(furthest *message.MapState) {
	if furthest == nil {
		c.join = message.MapJoin{Step: 1, Active: c.targetVersion}
		return
	}
	c.join = message.MapJoin{Step: furthest.Step, Active: furthest.Active}
	pending := furthest.PendingVersion()
	if pending == 0 || furthest.Prepared != 0 && !c.decisionMessage(pending).Commit {
		return
	}
	c.join.Pending, c.join.PendingStep = pending, furthest.PendingStep
}

func (c *Coordinator) joinMessage(incarnation uint64) *message.MapJoin {
	j := c.join
	j.Group, j.Fence, j.Round, j.Incarnation = c.cfg.Group, c.fence, c.round, incarnation
	j.ActiveMap, j.PendingMap = c.mapData(j.Active), c.mapData(j.Pending)
	return &j
}
