package config

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// inForceBound is the time after which an accepted revision is in force everywhere.
const inForceBound = 5 * time.Second

func realFollower(o FollowerOptions, now time.Duration) stepper { return NewFollower(o, now) }

// naiveFollower takes whatever head arrived last.
type naiveFollower struct{ *Follower }

func newNaive(o FollowerOptions, now time.Duration) stepper {
	return naiveFollower{NewFollower(o, now)}
}

func (n naiveFollower) Step(now time.Duration, ev Event) []Effect {
	switch e := ev.(type) {
	case PeerHead:
		n.forget(e.Head)
	case HeadRead:
		n.forget(e.Value)
	case WatchEnded:
		n.forget(e.Value)
	}
	return n.Follower.Step(now, ev)
}

// forget makes the follower ready to adopt another head whatever its revision.
func (n naiveFollower) forget(raw []byte) {
	if raw != nil && n.active != nil && string(raw) != string(n.activeRaw) {
		n.active, n.pending = &Head{Files: n.active.Files}, nil
	}
}

// followScenarios cause one failure each. Each publishes one revision at 10 s, or
// more, and names when the newest must be in force everywhere.
var followScenarios = map[string]func(s *sim) (want uint64, at time.Duration){
	"quiet": func(s *sim) (uint64, time.Duration) {
		return 2, 10*time.Second + inForceBound
	},
	"outage right after acceptance": func(s *sim) (uint64, time.Duration) {
		s.after(10*time.Second+50*time.Millisecond, func() { s.platformDown = true })
		return 2, 10*time.Second + inForceBound
	},
	"outage before anyone read it": func(s *sim) (uint64, time.Duration) {
		s.after(10*time.Second, func() { s.platformDown = true })
		s.after(60*time.Second, func() { s.platformDown = false })
		return 2, 60*time.Second + inForceBound
	},
	"missed watches": func(s *sim) (uint64, time.Duration) {
		s.missWatches = true
		return 2, 10*time.Second + inForceBound
	},
	"compacted watches": func(s *sim) (uint64, time.Duration) {
		s.after(10*time.Second, s.store.Compact)
		return 2, 10*time.Second + inForceBound
	},
	"late old answers": func(s *sim) (uint64, time.Duration) {
		s.slow = 2500 * time.Millisecond
		for i := range 8 {
			s.after(10*time.Second+time.Duration(i)*1500*time.Millisecond, func() { s.publish(10 + i) })
		}
		return 10, 21*time.Second + inForceBound
	},
	"restart during an outage": func(s *sim) (uint64, time.Duration) {
		s.after(11*time.Second, func() { s.platformDown = true })
		for i, n := range s.nodes {
			if i%2 == 0 {
				s.after(12*time.Second, func() { s.stopNode(n) })
				s.after(15*time.Second, func() { s.startNode(n) })
			}
		}
		return 2, 15*time.Second + inForceBound
	},
	"watchers die": func(s *sim) (uint64, time.Duration) {
		s.after(10*time.Second-10*time.Millisecond, func() {
			for _, n := range s.watchers() {
				s.stopNode(n)
			}
		})
		return 2, 10*time.Second + inForceBound
	},
	"watchers of a zone freeze": func(s *sim) (uint64, time.Duration) {
		s.after(10*time.Second-10*time.Millisecond, func() {
			for _, n := range s.watchers() {
				n.frozen = n.zone == 0
			}
		})
		s.after(30*time.Second, func() {
			for _, n := range s.nodes {
				s.thaw(n)
			}
		})
		return 2, 10*time.Second + inForceBound
	},
	"zone cut off and returned": func(s *sim) (uint64, time.Duration) {
		s.after(9*time.Second, func() { s.setCut(1, true) })
		s.after(40*time.Second, func() { s.publish(3); s.platformDown = true })
		s.after(41*time.Second, func() { s.platformDown = false })
		s.after(50*time.Second, func() { s.setCut(1, false) })
		return 3, 50*time.Second + inForceBound
	},
	"cut zone returns while the platform is down": func(s *sim) (uint64, time.Duration) {
		s.after(9*time.Second, func() { s.setCut(1, true) })
		s.after(20*time.Second, func() { s.platformDown = true; s.setCut(1, false) })
		return 2, 20*time.Second + inForceBound
	},
}

// watchers returns the nodes that watch the platform.
func (s *sim) watchers() []*simNode {
	var list []*simNode
	for _, n := range s.nodes {
		if f, ok := n.f.(*Follower); ok && n.up && f.watch.elected {
			list = append(list, n)
		}
	}
	return list
}

// setCut cuts a zone off from the platform and the other zones, or joins it again.
func (s *sim) setCut(zone int, cut bool) {
	for _, n := range s.nodes {
		for _, peer := range n.links {
			if n.zone == zone && peer.zone != zone {
				s.setLink(n, peer, !cut)
			}
		}
	}
	s.cut[zone] = cut
}

func (s *sim) setLink(a, b *simNode, up bool) {
	if up {
		s.deliver(a, PeerUp{b.name})
		s.deliver(b, PeerUp{a.name})
		return
	}
	s.deliver(a, PeerDown{b.name})
	s.deliver(b, PeerDown{a.name})
}

// runScenario returns the faults that were seen.
func runScenario(seed uint64, scenario func(*sim) (uint64, time.Duration), mk func(FollowerOptions, time.Duration) stepper) []string {
	s := newSim(seed, 3, 4, 4, mk)
	s.after(time.Second, func() { s.publish(0) })
	s.after(10*time.Second, func() { s.publish(2) })
	want, at := scenario(s)
	s.runUntil(at)
	s.expect(want)
	s.runUntil(at + 40*time.Second)
	s.expect(want)
	return s.faults
}

func TestRevisionIsInForceEverywhereAndStays(t *testing.T) {
	for name, scenario := range followScenarios {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				faults := runScenario(seed, scenario, realFollower)
				assert.Equal(t, len(faults), 0, "seed %d: %v", seed, faults)
			}
		})
	}
}

// The scenarios can tell a follower that takes whatever arrives last.
func TestNaiveFollowerReverts(t *testing.T) {
	seen := 0
	for seed := range uint64(3) {
		seen += len(runScenario(seed, followScenarios["late old answers"], newNaive))
	}
	assert.Assert(t, seen > 0, "the naive follower never reverted")
}

// Any mixture of failures: nothing reverts, and the newest revision is in force
// everywhere within the bound after the last failure has ended.
func TestFollowersConvergeAfterAnyFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), 3, 3, 3, realFollower)
		s.after(time.Second, func() { s.publish(0) })
		for i := range rapid.IntRange(3, 14).Draw(t, "steps") {
			at := 2*time.Second + time.Duration(i)*700*time.Millisecond
			op, zone := rapid.IntRange(0, 7).Draw(t, "op"), rapid.IntRange(0, 2).Draw(t, "zone")
			node := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
			s.after(at, func() { s.fail(op, zone, node, i) })
		}
		end := 14 * time.Second
		s.after(end-s.now, func() { s.heal(); s.publish(99) })
		s.runUntil(end + inForceBound + callTimeout)
		s.expect(s.newest)
		assert.Equal(t, len(s.faults), 0, "%v", s.faults)
	})
}

// fail causes or ends one failure.
func (s *sim) fail(op, zone int, node *simNode, mark int) {
	switch op {
	case 0, 1:
		s.publish(mark)
	case 2:
		s.platformDown = !s.platformDown
	case 3:
		s.missWatches = !s.missWatches
	case 4:
		s.store.Compact()
	case 5:
		s.setCut(zone, !s.cut[zone])
	case 6:
		s.slow = 2500*time.Millisecond - s.slow
	case 7:
		if node.up {
			s.stopNode(node)
		} else {
			s.startNode(node)
		}
	}
}

// heal ends all failures.
func (s *sim) heal() {
	s.platformDown, s.missWatches, s.slow = false, false, 0
	for zone, cut := range s.cut {
		if cut {
			s.setCut(zone, false)
		}
	}
	for _, n := range s.nodes {
		if !n.up {
			s.startNode(n)
		}
	}
}
