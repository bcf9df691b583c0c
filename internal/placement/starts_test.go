package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startFleet simulates gateways before the targets of one service. It needs no network.
type startFleet struct {
	rng      *rand.Rand
	targets  []Target
	gateways []*startGateway
	// starts contains the times of the requests that each target gets.
	starts map[string][]time.Duration
}

type startGateway struct {
	b       *Balancer
	name    string
	started time.Duration
	// listedAt is when the gateway reads the names of the others in the store.
	listedAt time.Duration
}

const (
	startTick = 20 * time.Millisecond
	// startBound is the number of requests that a cold target may get in one second, of which
	// the gateways use startRate.
	startBound = 27
	startRate  = 24
	// startListTime is the time from the start of a gateway to the store's list of the others.
	startListTime = 100 * time.Millisecond
)

func newStartFleet(gateways, targets int) *startFleet {
	f := &startFleet{rng: rand.New(rand.NewPCG(7, 8)), targets: engineTargets(targets, 1000), starts: map[string][]time.Duration{}}
	for i := range f.targets {
		f.targets[i].StartRate, f.targets[i].Cold = startRate, true
	}
	for range gateways {
		f.addGateway(0)
	}
	return f
}

func (f *startFleet) addGateway(now time.Duration) {
	f.gateways = append(f.gateways, f.newGateway(now, fmt.Sprint("g", len(f.gateways))))
}

func (f *startFleet) newGateway(now time.Duration, name string) *startGateway {
	b := New(name, "a", rand.New(rand.NewPCG(f.rng.Uint64(), 1)))
	b.SetTargets(0, f.targets)
	return &startGateway{b: b, name: name, started: now, listedAt: now + startListTime}
}

// run offers each gateway perSecond requests until the time end.
func (f *startFleet) run(now, end time.Duration, perSecond int) {
	for ; now < end; now += startTick {
		for i, g := range f.gateways {
			f.tell(now, i)
			for range perSecond * int(startTick) / int(time.Second) {
				c, refusal := g.b.Choose(now-g.started, Request{Service: "s"})
				if refusal == NotRefused {
					f.starts[c.Target.ID] = append(f.starts[c.Target.ID], now)
					g.b.RecordResult(now-g.started, c.Target.ID, Answered)
				}
			}
		}
	}
}

// tell lets a gateway read the list of the others when that is due, and send its work.
func (f *startFleet) tell(now time.Duration, i int) {
	g := f.gateways[i]
	if g.listedAt >= 0 && now >= g.listedAt {
		var names []string
		for _, other := range f.gateways {
			names = append(names, other.name)
		}
		g.b.AddMembers(now-g.started, names)
		g.listedAt = -1
	}
	if (int(now/startTick)+i)%25 == 0 && g.listedAt < 0 {
		for _, other := range f.gateways {
			if other != g {
				other.b.HandlePeerReport(now-other.started, g.name, nil)
			}
		}
	}
}

// most returns the largest number of requests that a target got in any second.
func (f *startFleet) most() int {
	most := 0
	for _, starts := range f.starts {
		first := 0
		for i, at := range starts {
			for at-starts[first] >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// TestColdTargetsAfterALossOfAllPower starts all gateways at once under a load that takes all
// starts that they allow. No target may get more than a cold one bears in any second, from the
// first request on, and most of that must be used.
func TestColdTargetsAfterALossOfAllPower(t *testing.T) {
	for _, tc := range []struct{ gateways, targets int }{{1, 12}, {7, 16}, {9, 12}, {43, 63}, {149, 192}, {350, 192}} {
		t.Run(fmt.Sprintf("gateways=%d", tc.gateways), func(t *testing.T) {
			f := newStartFleet(tc.gateways, tc.targets)
			const end = 6 * time.Second
			f.run(0, end, max(150, 2*tc.targets*startRate/tc.gateways))
			assert.Assert(t, f.most() <= startBound, "a target got %d requests in a second, %d are allowed", f.most(), startBound)
			used := 0
			for _, starts := range f.starts {
				for _, at := range starts {
					if at >= end-2*time.Second {
						used++
					}
				}
			}
			share := float64(used) / 2 / float64(tc.targets*startRate)
			assert.Assert(t, share >= 0.9, "%.3f of the allowed requests were sent", share)
		})
	}
}

// TestColdTargetsWhileGatewaysAreAdded adds a third more gateways at once, which the others hear
// of only from their messages.
func TestColdTargetsWhileGatewaysAreAdded(t *testing.T) {
	f := newStartFleet(149, 192)
	f.run(0, 4*time.Second, 10)
	for range 50 {
		f.addGateway(4 * time.Second)
	}
	f.run(4*time.Second, 8*time.Second, 10)
	assert.Assert(t, f.most() <= startBound, "a target got %d requests in a second, %d are allowed", f.most(), startBound)
}

// TestColdTargetsAfterGatewaysAreKilled guards against a process that uses a share of a second in which
// the process before it has used it: gateways are killed at the same moment and return within a second.
func TestColdTargetsAfterGatewaysAreKilled(t *testing.T) {
	for _, tc := range []struct{ gateways, killed, targets int }{{1, 1, 2}, {5, 3, 2}, {7, 7, 16}, {149, 149, 192}} {
		for _, back := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond} {
			f := newStartFleet(tc.gateways, tc.targets)
			const kill = 3 * time.Second
			perSecond := max(150, 2*tc.targets*startRate/tc.gateways)
			f.run(0, kill, perSecond)
			killed := f.gateways[:tc.killed]
			f.gateways = f.gateways[tc.killed:]
			f.run(kill, kill+back, perSecond)
			for _, g := range killed {
				f.gateways = append(f.gateways, f.newGateway(kill+back, g.name))
			}
			f.run(kill+back, kill+3*time.Second, perSecond)
			assert.Assert(t, f.most() <= startBound, "%d of %d gateways killed for %v: a target got %d requests in a second, %d are allowed",
				tc.killed, tc.gateways, back, f.most(), startBound)
		}
	}
}

// TestNewGatewayUsesWarmTargetsAtOnce guards against a restart that leaves callers without a target.
func TestNewGatewayUsesWarmTargetsAtOnce(t *testing.T) {
	targets := engineTargets(2, 1000)
	targets[0].StartRate, targets[1].StartRate = startRate, startRate
	targets[0].Cold = true
	b := newBalancer(targets)
	b.AddMembers(0, nil)
	for range 5 {
		c, refusal := b.Choose(0, Request{Service: "s"})
		assert.Equal(t, refusal, NotRefused)
		assert.Equal(t, c.Target.ID, "t1")
	}
}
