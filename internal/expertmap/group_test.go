package expertmap

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// TestMain sets a fixed seed for the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// group is a simulated lock-step group that records the map version that each rank
// used in each step.
type group struct {
	cfg             Config
	now             time.Duration
	lastFence       uint64
	coords          []*Coordinator
	ranks           []*Rank
	engines         []*Engine
	lastIncarnation uint64
	inTransit       []transitMessage
	versions        [][]uint64
	commits         int
}

// transitMessage is a message in transit; rank is its sender or its receiver.
type transitMessage struct {
	rank    int
	toRank  bool
	fence   uint64
	message message.Message
}

func newGroup(ranks int) *group {
	g := &group{cfg: Config{
		Group: "g", Ranks: ranks, Initial: []byte("first"), SwitchLead: 6,
		Resend: time.Second, Poll: 5 * time.Second, ChangeTimeout: 20 * time.Second,
	}}
	g.ranks, g.engines, g.versions = make([]*Rank, ranks), make([]*Engine, ranks), make([][]uint64, ranks)
	for i := range g.engines {
		g.restartEngine(i)
	}
	return g
}

func (g *group) restartEngine(i int) {
	g.engines[i] = &Engine{ChecksFencing: i%2 == 0}
	g.restartAgent(i, true)
}

func (g *group) restartAgent(i int, engineIsNew bool) {
	g.lastIncarnation++
	g.ranks[i] = NewRank(RankStart{
		Group: "g", Index: i, Incarnation: g.lastIncarnation, Fence: g.lastFence,
		ChecksFencing: i%2 == 0, EngineIsNew: engineIsNew,
	})
	g.inTransit = append(g.inTransit, transitMessage{rank: i, fence: g.lastFence, message: g.ranks[i].Announcement()})
	if g.engines[i].State.Active != 0 {
		g.inTransit = g.inTransit[:len(g.inTransit)-1]
	}
}

func (g *group) newCoordinator() {
	g.lastFence++
	c, effects := NewCoordinator(g.cfg, g.lastFence, g.now)
	g.coords = append(g.coords, c)
	g.coordinatorEffects(c, effects)
}

func (g *group) coordinatorEffects(c *Coordinator, effects []CoordinatorEffect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			g.inTransit = append(g.inTransit, transitMessage{rank: e.Rank, toRank: true, fence: c.fence, message: e.Message})
		case ChangeEnded:
			if e.Committed {
				g.commits++
			}
		}
	}
}

// rankEffects carries out the effects of rank i; loads and orders end at once.
func (g *group) rankEffects(i int, effects []RankEffect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Respond:
			g.inTransit = append(g.inTransit, transitMessage{rank: i, fence: uint64([]rune(e.To)[0]), message: e.Message})
		case Load:
			g.rankEffects(i, g.ranks[i].Step(Loaded{Version: e.Version}))
		case Order:
			g.rankEffects(i, g.ranks[i].Step(OrderAnswered{Reply: g.engines[i].Apply(e)}))
		}
	}
}

func (g *group) deliver(m transitMessage) {
	if m.toRank {
		g.rankEffects(m.rank, g.ranks[m.rank].Step(Received{From: string(rune(m.fence)), Message: m.message}))
		return
	}
	for _, c := range g.coords {
		if c.fence == m.fence {
			g.coordinatorEffects(c, c.Step(g.now, FromRank{Message: m.message}))
		}
	}
}

func (g *group) tick(d time.Duration) {
	g.now += d
	for _, c := range g.coords {
		g.coordinatorEffects(c, c.Step(g.now, Tick{}))
	}
}

// entered returns the last step that rank i has entered.
func (g *group) entered(i int) int { return len(g.versions[i]) }

// step lets rank i enter its next step if all ranks have entered the previous one.
func (g *group) step(t assert.TestingT, i int) {
	next, _, ok := g.engines[i].NextStep()
	if !ok {
		return
	}
	for q := range g.versions {
		if uint64(g.entered(q)) < next-1 {
			return
		}
	}
	step, version := g.engines[i].Enter()
	g.versions[i] = append(g.versions[i][:min(g.entered(i), int(step)-1)], version)
	for q := range g.versions {
		if g.entered(q) >= int(step) {
			assert.Equal(t, g.versions[q][step-1], version, "step %d of ranks %d and %d", step, q, i)
		}
	}
}

// otherHoldsMap reports whether a rank other than i holds a map.
func (g *group) otherHoldsMap(i int) bool {
	for q, e := range g.engines {
		if q != i && e.State.Active != 0 {
			return true
		}
	}
	return false
}

// injectFault injects one random fault.
func (g *group) injectFault(rng *rand.Rand) {
	i := rng.IntN(len(g.ranks))
	switch rng.IntN(3) {
	case 0:
		if g.otherHoldsMap(i) {
			g.restartEngine(i)
		}
	case 1:
		g.restartAgent(i, false)
	case 2:
		g.newCoordinator()
	}
}

func TestLockStepRanksUseOneMapPerStep(t *testing.T) {
	const ranks = 16
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "schedule"), 0))
		g := newGroup(ranks)
		g.newCoordinator()
		g.run(t, rng, 400, 10)
		for i := range g.ranks {
			if g.ranks[i].Excluded() && g.otherHoldsMap(i) {
				g.restartEngine(i)
			}
		}
		g.newCoordinator()
		before, commits := g.entered(0), g.commits
		g.run(t, rng, 40, 0)
		last := g.coords[len(g.coords)-1]
		assert.Assert(t, g.entered(0) > before, "no step ran after the faults ended: the coordinator in phase %v waits for ranks %v", last.Phase(), last.PendingRanks())
		assert.Assert(t, g.commits > commits, "no change was committed after the faults ended")
	})
}

// run runs the group for a number of rounds; faults is the number of faults in a
// thousand events.
func (g *group) run(t assert.TestingT, rng *rand.Rand, rounds, faults int) {
	for round := range rounds {
		last := g.coords[len(g.coords)-1]
		g.coordinatorEffects(last, last.Step(g.now, Propose{Map: []byte{byte(round)}}))
		g.tick(500 * time.Millisecond)
		messages := g.inTransit
		g.inTransit = nil
		for _, m := range messages {
			draw := rng.IntN(1000)
			if draw >= faults && draw < 3*faults {
				g.inTransit = append(g.inTransit, m)
			}
			if draw >= 2*faults {
				g.deliver(m)
			}
		}
		for i := range g.ranks {
			g.step(t, i)
		}
		if rng.IntN(1000) < 3*faults {
			g.injectFault(rng)
		}
	}
}
