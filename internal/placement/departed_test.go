package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a target that gets requests although it has asked for a pause, has said that it
// leaves or states a rate of 0, because its entry lapsed for a moment and returned: the store
// drops entries that are not renewed in time.
func TestStatementsOutlastALapseOfTheEntry(t *testing.T) {
	const pause = 3 * second
	states := map[string]func(b *Balancer){
		"pause":   func(b *Balancer) { b.HandlePause(second, "t0", pause) },
		"leaving": func(b *Balancer) { b.HandleLeaving("t0") },
		"limit":   func(b *Balancer) { b.HandleRateLimit(second, "t0", RateLimit{Limited: true}, second) },
	}
	returns := map[string]struct {
		change  func(target *Target)
		refused bool
	}{
		"same lifetime": {func(*Target) {}, true},
		"new lifetime":  {func(target *Target) { target.Lifetime++ }, false},
		"new address":   {func(target *Target) { target.Address = "10.0.9.9:1" }, false},
	}
	for said, state := range states {
		for how, back := range returns {
			for _, busy := range []bool{false, true} {
				targets := engineTargets(1, 12)
				targets[0].Lifetime = 7
				b := newBalancer(targets)
				if busy {
					_, refusal := b.Choose(second, Request{Service: "s"})
					assert.Equal(t, refusal, NotRefused)
				}
				state(b)
				b.SetTargets(second, nil)
				if busy {
					b.RecordResult(second+100*time.Millisecond, "t0", Answered)
					b.SetTargets(second+100*time.Millisecond, nil)
				}
				back.change(&targets[0])
				b.SetTargets(2*second, targets)
				_, refusal := b.Choose(2*second, Request{Service: "s"})
				assert.Check(t, (refusal != NotRefused) == back.refused, "%s, %s, busy %v: %v", said, how, busy, refusal)
			}
		}
	}
}

func TestMemoryIsBoundedUnderNewTargets(t *testing.T) {
	b := newBalancer(nil)
	for i := range 3 {
		targets := engineTargets(maxDeparted, 1)
		for j := range targets {
			targets[j].ID = fmt.Sprint(i, "-", j)
		}
		b.SetTargets(time.Duration(i)*second, targets)
	}
	b.SetTargets(3*second, nil)
	assert.Equal(t, len(b.departed), maxDeparted)
	assert.Equal(t, len(b.byKey), maxDeparted)
	b.SetTargets(4*second+departedMemory, nil)
	assert.Equal(t, len(b.departed), 0)
}
