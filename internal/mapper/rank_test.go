package mapper

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against the end of the process: the engine beside a leader is restarted and has another rank
// when its group forms again, which the leader notices while it carries out its own round.
func TestLeaderEndsItsRoundsWhenItsRankChanges(t *testing.T) {
	m := newFuzzedLeader(t)
	ctx, group := context.Background(), m.opts.Engine.(fakeEngine).g
	m.opts.Engine = fakeEngine{group, 1}
	pause := m.startRound(ctx, time.Now())
	assert.Equal(t, pause, idleRoundPause)
	assert.Equal(t, m.local.Rank, 1)
	assert.Assert(t, !m.isLeader)
	assert.Assert(t, m.leaderState == nil)
}
