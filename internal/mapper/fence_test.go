package mapper

import (
	"context"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

// loseExperts loses the heartbeats that contain the experts of a rank.
func loseExperts(_, _ *net.UDPAddr, b []byte) bool {
	var d datagram
	return cbor.Unmarshal(b, &d) == nil && d.Heartbeat != nil && len(d.Heartbeat.Experts) > 0
}

// leaveUnfinishedChange sets the group to the state in which an earlier process of rank 0 left it: the
// rank holds a pass for which every rank but one is armed. It returns the arm order of that rank.
func (g *fakeGroup) leaveUnfinishedChange(unarmed int) mapswitch.Order {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = true
	version, pass := int64(3*len(g.ranks)), g.pass+2
	g.ranks[0].held = pass
	for i := range g.ranks {
		r := &g.ranks[i]
		r.highest, r.prepared, r.preparedRows = version, version, r.rows
		if i != unarmed {
			r.armed, r.armedPass = version, pass
		}
	}
	return mapswitch.Order{Op: mapswitch.Arm, Epoch: g.epoch, Version: version, Pass: pass}
}

// Guards against a pass with two maps, and against a hold that waits for heartbeats: a leader that has
// just started settles the hold of its predecessor before it knows the active map, and an arm order of
// the predecessor is carried out late.
func TestHoldIsFencedWithoutTheActiveMap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const unarmed = 5
		l := startLargeGroup(8)
		defer l.stop()
		l.network.mu.Lock()
		l.network.lost = loseExperts
		l.network.mu.Unlock()
		late := l.leaveUnfinishedChange(unarmed)
		for limit := time.Now().Add(5 * time.Second); l.held(0) && time.Now().Before(limit); {
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, !l.held(0), "rank 0 still holds pass %d", late.Pass)
		time.Sleep(time.Second) // lets the leader end its rounds
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

// setIdle sets whether the group has no requests and therefore begins no pass.
func (g *fakeGroup) setIdle(idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = idle
}

// Guards against a fence that an engine rejects for its map.
func TestMapAroundRankIsValid(t *testing.T) {
	for _, shape := range []rebalance.Shape{
		{Ranks: 1, Layers: 2, Experts: 8, SlotsPerRank: 8},
		{Ranks: 3, Layers: 2, Experts: 10, SlotsPerRank: 4},
		{Ranks: 70, Layers: 3, Experts: 192, SlotsPerRank: 3},
	} {
		for rank := range shape.Ranks {
			own := make([][]uint16, shape.Layers)
			for layer := range own {
				for i := range shape.SlotsPerRank {
					own[layer] = append(own[layer], uint16((rank*shape.SlotsPerRank+i+layer)%shape.Experts))
				}
			}
			rows := mapAroundRank(own, rank, shape.Ranks, shape.Experts)
			for layer := range rows {
				assert.DeepEqual(t, rows[layer][rank], own[layer])
				placed := make([]bool, shape.Experts)
				for _, experts := range rows[layer] {
					assert.Assert(t, len(experts) <= shape.SlotsPerRank, "%d ranks: %d experts on one rank", shape.Ranks, len(experts))
					for _, e := range experts {
						placed[e] = true
					}
				}
				assert.Assert(t, !slices.Contains(placed, false), "%d ranks: layer %d lacks an expert", shape.Ranks, layer)
			}
		}
	}
}
