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

// elect decides whether this process leads. A leader yields to a lower rank whose beacons it
// receives. Rank 0 leads once the engine's description is known; any other rank only after it has
// received no beacon, of whatever rank, for electionTimeout.
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
