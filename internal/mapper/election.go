package mapper

import (
	"context"
	"time"
)

const (
	// leaderTimeout is the time without a beacon after which a leader counts as failed.
	leaderTimeout = 1500 * time.Millisecond
	// electionStagger is the time by which each rank waits longer than the rank below it before
	// it leads, so that the beacons of the first one stop the others.
	electionStagger = 15 * time.Millisecond
)

// elect makes this process lead unless it has recently received a beacon from a lower rank.
// Before it leads, the engine's description must be known, and a process of any rank but rank 0
// waits electionTimeout.
func (m *Mapper) elect(ctx context.Context) {
	if m.leader.addr != nil && m.leader.rank < m.local.Rank && time.Since(m.leader.lastBeacon) < leaderTimeout {
		if m.isLeader {
			m.opts.Logger.Info().Str("event", "leading-ends").Int("leader", m.leader.rank).Msg("")
			m.isLeader = false
		}
		return
	}
	if m.isLeader || m.engine == nil || m.engine.Layers == 0 || m.local.Rank > 0 && time.Since(m.lastElection()) < m.electionTimeout() {
		return
	}
	m.opts.Logger.Info().Str("event", "leading").Str("group", m.local.Group).Int("rank", m.local.Rank).Msg("")
	m.isLeader = true
	if m.leaderState == nil {
		m.leaderState = m.newLeaderState()
		m.loadDemand(ctx)
	}
}

// electionTimeout returns the time without a beacon after which this process leads.
func (m *Mapper) electionTimeout() time.Duration {
	return leaderTimeout + time.Duration(m.local.Rank)*electionStagger
}

// lastElection returns the time from which electionTimeout counts: that of the last beacon, or
// when this process first observed its rank.
func (m *Mapper) lastElection() time.Time {
	if m.leader.lastBeacon.After(m.joinedAt) {
		return m.leader.lastBeacon
	}
	return m.joinedAt
}
