package mapper

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
)

// movableEngine is an engine whose rank changes.
type movableEngine struct {
	g    *fakeGroup
	rank atomic.Int32
}

func (e *movableEngine) current() fakeEngine { return fakeEngine{e.g, int(e.rank.Load())} }

func (e *movableEngine) Read(ctx context.Context) (Reading, error) { return e.current().Read(ctx) }

func (e *movableEngine) Counts(ctx context.Context) ([]int64, error) { return e.current().Counts(ctx) }

func (e *movableEngine) Order(ctx context.Context, o mapswitch.Order) (mapswitch.Result, error) {
	return e.current().Order(ctx, o)
}

func (e *movableEngine) ExpertRows(ctx context.Context) (RankExperts, *RankExperts, error) {
	return e.current().ExpertRows(ctx)
}

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

// Guards against a pass with two maps: two engines have changed their ranks when the group forms again,
// and the leader still sends each rank's requests to the other one's process. A request without an order
// that is answered for a rank must not count as the answer to the fence of that rank.
func TestAnswerOfAnotherRankIsNoFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const unarmed, other = 5, 3
		l := startLargeGroup(8)
		defer l.stop()
		l.setIdle(true)
		time.Sleep(1005 * time.Millisecond) // between two polls of any process
		l.network.mu.Lock()
		l.network.lost = func(from, _ *net.UDPAddr, b []byte) bool {
			var d datagram
			moved := from.IP.Equal(net.IPv4(10, 0, 0, 1+unarmed)) || from.IP.Equal(net.IPv4(10, 0, 0, 1+other))
			return moved && cbor.Unmarshal(b, &d) == nil && d.Heartbeat != nil
		}
		l.network.mu.Unlock()
		l.mu.Lock()
		l.epoch++
		l.mu.Unlock()
		l.engines[unarmed].rank.Store(other)
		l.engines[other].rank.Store(unarmed)
		late := l.leaveUnfinishedChange(unarmed)
		time.Sleep(time.Second)
		l.network.mu.Lock()
		l.network.lost = nil
		l.network.mu.Unlock()
		time.Sleep(4 * time.Second)
		assert.Assert(t, !l.held(0), "rank 0 still holds pass %d", late.Pass)
		result, err := fakeEngine{l.fakeGroup, unarmed}.Order(context.Background(), late)
		assert.NilError(t, err)
		l.setIdle(false)
		time.Sleep(time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		assert.Assert(t, l.pass > late.Pass)
		assert.Assert(t, !l.versionsDiffer, "ranks with different maps after a late arm order with result %d", result)
	})
}

// form starts a new epoch with the first map and the given rank of each engine.
func (l *largeGroup) form(ranks []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch++
	l.switched = 0
	l.ranks = newFakeGroup(len(ranks), largeGroupLayers, largeGroupExperts).ranks
	for i, rank := range ranks {
		l.engines[i].rank.Store(int32(rank))
	}
}

// Guards against a process that ends, or a group that changes no map any more, when servers crash and the group forms
// again with other ranks, at any moment of a change.
func TestMappersSurviveChangesOfRanks(t *testing.T) {
	const ranks, crashes = 70, 20
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(7, 8))
		l := startLargeGroup(ranks)
		defer l.stop()
		for range crashes {
			time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
			l.form(rng.Perm(ranks))
		}
		_, ok := l.waitSwitched(20 * time.Second)
		assert.Assert(t, ok, "the group changes no map, or its ranks have different maps")
	})
}
