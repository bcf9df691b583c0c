package capacity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/expertmap"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

const (
	groupLayers  = 60
	slotsPerRank = 2
	pollInterval = time.Second
)

// simulatedGroup is a coordinator and its ranks in simulated time. Messages between them are
// encoded, counted and delivered without delay.
type simulatedGroup struct {
	t             *testing.T
	now           time.Duration
	coordinator   *expertmap.Coordinator
	ranks         []*expertmap.Rank
	engines       []*expertmap.Engine
	toRanks       []expertmap.Send
	toCoordinator []message.Message
	committed     int
	messages      int
	bytes         int
}

func newSimulatedGroup(t *testing.T, n int) *simulatedGroup {
	g := &simulatedGroup{t: t, ranks: make([]*expertmap.Rank, n), engines: make([]*expertmap.Engine, n)}
	for i := range n {
		g.engines[i] = &expertmap.Engine{ChecksFencing: true}
		g.ranks[i] = expertmap.NewRank(expertmap.RankStart{
			Group: "group", Index: i, Incarnation: uint64(i) + 1, Fence: 1, ChecksFencing: true, EngineIsNew: true,
		})
	}
	coordinator, effects := expertmap.NewCoordinator(expertmap.Config{
		Group: "group", Ranks: n, Initial: expertMap(n, 0), SwitchLead: 64,
		Resend: time.Second, Poll: pollInterval, ChangeTimeout: 20 * time.Second,
	}, 1, 0)
	g.coordinator = coordinator
	g.applyCoordinatorEffects(effects)
	return g
}

// expertMap returns an expert map with one byte for each slot of each layer and rank.
func expertMap(ranks, shift int) []byte {
	raw := make([]byte, ranks*groupLayers*slotsPerRank)
	for i := range raw {
		raw[i] = byte((i + shift) % 64)
	}
	return raw
}

// count counts m and its encoded size.
func (g *simulatedGroup) count(m message.Message) {
	raw, err := message.Encode(m)
	assert.NilError(g.t, err)
	g.messages++
	g.bytes += len(raw)
}

// applyCoordinatorEffects queues the messages to ranks and counts committed changes.
func (g *simulatedGroup) applyCoordinatorEffects(effects []expertmap.CoordinatorEffect) {
	for _, e := range effects {
		switch e := e.(type) {
		case expertmap.Send:
			g.count(e.Message)
			g.toRanks = append(g.toRanks, e)
		case expertmap.ChangeEnded:
			if e.Committed {
				g.committed++
			}
		}
	}
}

// applyRankEffects queues the messages to the coordinator, and completes loads and orders of
// rank i at once.
func (g *simulatedGroup) applyRankEffects(i int, effects []expertmap.RankEffect) {
	for _, e := range effects {
		switch e := e.(type) {
		case expertmap.Respond:
			g.count(e.Message)
			g.toCoordinator = append(g.toCoordinator, e.Message)
		case expertmap.Load:
			g.applyRankEffects(i, g.ranks[i].Step(expertmap.Loaded{Version: e.Version}))
		case expertmap.Order:
			g.applyRankEffects(i, g.ranks[i].Step(expertmap.OrderAnswered{Reply: g.engines[i].Apply(e)}))
		}
	}
}

// deliver delivers messages until none is pending.
func (g *simulatedGroup) deliver() {
	for len(g.toRanks)+len(g.toCoordinator) > 0 {
		toRanks, toCoord := g.toRanks, g.toCoordinator
		g.toRanks, g.toCoordinator = nil, nil
		for _, s := range toRanks {
			g.applyRankEffects(s.Rank, g.ranks[s.Rank].Step(expertmap.Received{From: "coordinator", Message: s.Message}))
		}
		for _, m := range toCoord {
			g.applyCoordinatorEffects(g.coordinator.Step(g.now, expertmap.FromRank{Message: m}))
		}
	}
}

// run runs the group for d of simulated time and returns the number of messages, their bytes
// and the wall-clock time.
func (g *simulatedGroup) run(d time.Duration) (messages, bytes int, elapsed time.Duration) {
	messages, bytes = g.messages, g.bytes
	start := time.Now()
	for end := g.now + d; g.now < end; {
		g.now += 50 * time.Millisecond
		g.applyCoordinatorEffects(g.coordinator.Step(g.now, expertmap.Tick{}))
		g.deliver()
	}
	return g.messages - messages, g.bytes - bytes, time.Since(start)
}

// TestGroupMessages counts the messages between a group's coordinator and its ranks while
// nothing changes, and for one change of the expert map.
func TestGroupMessages(t *testing.T) {
	sizes := []int{16}
	if *slopes {
		sizes = []int{16, 32, 64, 128}
		fmt.Println("\n## group coordinator: 60 layers, 2 slots a rank; time is of coordinator and all ranks with coding")
		fmt.Println("ranks | map kB | at rest: messages/s, kB/s, ms/s | one change: messages, kB, ms")
	}
	for _, n := range sizes {
		g := newSimulatedGroup(t, n)
		g.run(10 * time.Second)
		restMessages, restBytes, restElapsed := g.run(10 * time.Second)
		g.applyCoordinatorEffects(g.coordinator.Step(g.now, expertmap.Propose{Map: expertMap(n, 1)}))
		messages, bytes, elapsed := g.run(200 * time.Millisecond)
		assert.Equal(t, g.committed, 1)
		if *slopes {
			fmt.Printf("%d | %.1f | %.1f, %.2f, %.2f | %d, %.1f, %.2f\n", n, float64(len(expertMap(n, 0)))/1e3,
				float64(restMessages)/10, float64(restBytes)/1e4, restElapsed.Seconds()*100, messages, float64(bytes)/1e3, elapsed.Seconds()*1e3)
		}
	}
}
