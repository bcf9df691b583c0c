package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/priority"
)

// largeBalancer returns a balancer of a fleet in which every gateway has requests at some of the
// targets.
func largeBalancer(gateways, targets int) *Balancer {
	b := newBalancer(engineTargets(targets, 6))
	b.AddMembers(0, nil)
	for g := range gateways {
		work := map[uint32]int{}
		for i := range 4 {
			work[TargetKey(fmt.Sprint("t", (g+i*7)%targets))]++
		}
		b.HandlePeerReport(time.Second, fmt.Sprint("g", g), work)
	}
	return b
}

// TestWorkOfPeersIsSummedUp compares the sums of the work of other gateways with a count over all
// reports, while gateways report again and reports become outdated.
func TestWorkOfPeersIsSummedUp(t *testing.T) {
	const targets = 20
	b := largeBalancer(60, targets)
	for step := range 200 {
		now := time.Second + time.Duration(step)*expiryCheckInterval
		b.HandlePeerReport(now, fmt.Sprint("g", step*step%60), map[uint32]int{TargetKey(fmt.Sprint("t", step%targets)): step % 5})
		for i := range targets {
			key, want := TargetKey(fmt.Sprint("t", i)), 0
			for _, p := range b.peers {
				if now-p.receivedAt <= b.peerReportMaxAge() {
					want += p.work[key]
				}
			}
			got, _ := b.peerWorkAt(now, key)
			assert.Equal(t, got, want, "step %d, target %d", step, i)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ gateways, targets int }{{7, 16}, {43, 63}, {40, 72}, {149, 192}, {350, 600}} {
		for _, groups := range []bool{false, true} {
			b.Run(fmt.Sprintf("gateways=%d,targets=%d,groups=%t", size.gateways, size.targets, groups), func(b *testing.B) {
				balancer := largeBalancer(size.gateways, size.targets)
				if groups {
					for i := range size.targets {
						balancer.SetGroup(fmt.Sprint("t", i), "x")
					}
				}
				b.Run("levels=false", func(b *testing.B) { benchmarkChoose(b, balancer) })
				balancer.SetLevels(map[string]bool{"s": true})
				for g := range size.gateways {
					balancer.HandlePeerDemand(fmt.Sprint("g", g), 1, []priority.Report{
						{Service: TargetKey("s"), Priority: 0}, {Service: TargetKey("s"), Priority: 1}, {Service: TargetKey("s"), Priority: 2},
					})
				}
				b.Run("levels=true", func(b *testing.B) { benchmarkChoose(b, balancer) })
			})
		}
	}
}

func benchmarkChoose(b *testing.B, balancer *Balancer) {
	now := time.Second
	for i := 0; b.Loop(); i++ {
		now += 10 * time.Microsecond
		balancer.RecordArrival(now, "s", i%3)
		if c, refusal := balancer.Choose(now, Request{Service: "s", Priority: i % 3}); refusal == NotRefused {
			balancer.RecordResult(now, c.Target.ID, Answered)
		}
	}
}
