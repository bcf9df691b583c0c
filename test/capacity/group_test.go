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

// modelGroup is a coordinator with ranks whose messages arrive at once and are counted.
type modelGroup struct {
	t         *testing.T
	now       time.Duration
	coord     *expertmap.Coordinator
	ranks     []*expertmap.Rank
	engines   []*expertmap.Engine
	toRanks   []expertmap.Send
	toCoord   []message.Message
	committed int
	messages  int
	bytes     int
}

func newModelGroup(t *testing.T, n int) *modelGroup {
	g := &modelGroup{t: t, ranks: make([]*expertmap.Rank, n), engines: make([]*expertmap.Engine, n)}
	for i := range n {
		g.engines[i] = &expertmap.Engine{ChecksFencing: true}
		g.ranks[i] = expertmap.NewRank(expertmap.RankStart{
			Group: "group", Index: i, Incarnation: uint64(i) + 1, Fence: 1, ChecksFencing: true, EngineIsNew: true,
		})
	}
	coord, effects := expertmap.NewCoordinator(expertmap.Config{
		Group: "group", Ranks: n, Initial: expertMap(n, 0), Lead: 64,
		Resend: time.Second, Poll: pollInterval, ChangeTimeout: 20 * time.Second,
	}, 1, 0)
	g.coord = coord
	g.coordinator(effects)
	return g
}

// expertMap is a map of one byte for each slot of each layer and rank.
func expertMap(ranks, shift int) []byte {
	raw := make([]byte, ranks*groupLayers*slotsPerRank)
	for i := range raw {
		raw[i] = byte((i + shift) % 64)
	}
	return raw
}

func (g *modelGroup) count(m message.Message) {
	raw, err := message.Encode(m)
	assert.NilError(g.t, err)
	g.messages++
	g.bytes += len(raw)
}

func (g *modelGroup) coordinator(effects []expertmap.CoordinatorEffect) {
	for _, e := range effects {
		switch e := e.(type) {
		case expertmap.Send:
			g.count(e.Message)
			g.toRanks = append(g.toRanks, e)
		case expertmap.Changed:
			if e.Committed {
				g.committed++
			}
		}
	}
}

func (g *modelGroup) rank(i int, effects []expertmap.RankEffect) {
	for _, e := range effects {
		switch e := e.(type) {
		case expertmap.Respond:
			g.count(e.Message)
			g.toCoord = append(g.toCoord, e.Message)
		case expertmap.Load:
			g.rank(i, g.ranks[i].Step(expertmap.Loaded{Version: e.Version}))
		case expertmap.Order:
			g.rank(i, g.ranks[i].Step(expertmap.Ordered{Reply: g.engines[i].Apply(e)}))
		}
	}
}

// deliver carries messages until none is on its way.
func (g *modelGroup) deliver() {
	for len(g.toRanks)+len(g.toCoord) > 0 {
		toRanks, toCoord := g.toRanks, g.toCoord
		g.toRanks, g.toCoord = nil, nil
		for _, s := range toRanks {
			g.rank(s.Rank, g.ranks[s.Rank].Step(expertmap.Received{From: "coordinator", Message: s.Message}))
		}
		for _, m := range toCoord {
			g.coordinator(g.coord.Step(g.now, expertmap.FromRank{Message: m}))
		}
	}
}

// run steps the group for d and returns the messages, bytes and wall-clock time it took.
func (g *modelGroup) run(d time.Duration) (messages, bytes int, took time.Duration) {
	messages, bytes = g.messages, g.bytes
	start := time.Now()
	for end := g.now + d; g.now < end; {
		g.now += 50 * time.Millisecond
		g.coordinator(g.coord.Step(g.now, expertmap.Tick{}))
		g.deliver()
	}
	return g.messages - messages, g.bytes - bytes, time.Since(start)
}

// TestGroupMessages counts what a group's coordinator sends and receives at rest and
// for one change of the expert map.
func TestGroupMessages(t *testing.T) {
	sizes := []int{16}
	if *slopes {
		sizes = []int{16, 32, 64, 128}
		fmt.Println("\n## group coordinator: 60 layers, 2 slots a rank; time is of coordinator and all ranks with coding")
		fmt.Println("ranks | map kB | at rest: messages/s, kB/s, ms/s | one change: messages, kB, ms")
	}
	for _, n := range sizes {
		g := newModelGroup(t, n)
		g.run(10 * time.Second)
		restMessages, restBytes, restTook := g.run(10 * time.Second)
		g.coordinator(g.coord.Step(g.now, expertmap.Propose{Map: expertMap(n, 1)}))
		messages, bytes, took := g.run(200 * time.Millisecond)
		assert.Equal(t, g.committed, 1)
		if *slopes {
			fmt.Printf("%d | %.1f | %.1f, %.2f, %.2f | %d, %.1f, %.2f\n", n, float64(len(expertMap(n, 0)))/1e3,
				float64(restMessages)/10, float64(restBytes)/1e4, restTook.Seconds()*100, messages, float64(bytes)/1e3, took.Seconds()*1e3)
		}
	}
}
