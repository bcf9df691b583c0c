package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// TestSuspectedTargetIsTheLastResort checks that no request is refused only because a target
// is suspected, and that a suspected target gets none while another one is left.
func TestSuspectedTargetIsTheLastResort(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	target := func(name string, suspected bool) Target {
		load := message.Load{State: message.TargetWarm, Limit: 8, QueueLimit: 8}
		return Target{Agent: name, Requests: new(Counter), Suspected: suspected, Report: Report{Known: true, Load: load}}
	}
	s := &Snapshot{Pools: []Pool{{Name: "p", Targets: []Target{target("live", false), target("suspect", true)}}}}
	r := Request{Pool: "p", Remaining: time.Minute}
	for range 100 {
		assert.Equal(t, s.Pick(r, rng).Name(), "live")
	}
	r.Excluded = []string{"live"}
	assert.Equal(t, s.Pick(r, rng).Name(), "suspect")
	s.Pools[0].Targets[1].Leaving = true
	assert.Equal(t, s.Pick(r, rng).Destination, NoDestination)
}
