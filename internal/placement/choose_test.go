package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
	for _, size := range []struct{ gateways, targets int }{{7, 16}, {43, 63}, {149, 192}, {350, 600}} {
		b.Run(fmt.Sprintf("gateways=%d,targets=%d", size.gateways, size.targets), func(b *testing.B) {
			balancer := largeBalancer(size.gateways, size.targets)
			now := time.Second
			for b.Loop() {
				now += 10 * time.Microsecond
				if c, refusal := balancer.Choose(now, Request{Service: "s"}); refusal == NotRefused {
					balancer.RecordResult(now, c.Target.ID, Answered)
				}
			}
		})
	}
}
