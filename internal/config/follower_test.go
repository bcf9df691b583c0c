package config

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// activationBound is the time within which every process activates an accepted revision.
const activationBound = 5 * time.Second

func newRealFollower(o FollowerOptions, now time.Duration) stepper { return NewFollower(o, now) }

// naiveFollower accepts whatever head arrived last.
type naiveFollower struct{ *Follower }

func newNaiveFollower(o FollowerOptions, now time.Duration) stepper {
	return naiveFollower{NewFollower(o, now)}
}

func (n naiveFollower) Step(now time.Duration, ev Event) []Effect {
	switch e := ev.(type) {
	case PeerHead:
		n.discardActive(e.Head)
	case HeadRead:
		n.discardActive(e.Value)
	case WatchEnded:
		n.discardActive(e.Value)
	}
	return n.Follower.Step(now, ev)
}

// discardActive makes the follower accept another head whatever its revision.
func (n naiveFollower) discardActive(raw []byte) {
	if raw != nil && n.active != nil && string(raw) != string(n.activeRaw) {
		n.active, n.pending = &Head{Files: n.active.Files}, nil
	}
}

// failureScenarios cause one failure each, around the revision that is published at 10 s.
// Some publish further revisions. Each returns the revision that every process must have
// activated, and the time by which it must have.
var failureScenarios = map[string]func(s *sim) (want uint64, at time.Duration){
	"no failure": func(s *sim) (uint64, time.Duration) {
		return 2, 10*time.Second + activationBound
	},
	"outage right after acceptance": func(s *sim) (uint64, time.Duration) {
		s.after(10*time.Second+50*time.Millisecond, func() { s.platformDown = true })
		return 2, 10*time.Second + activationBound
	},
	"outage before any read": func(s *sim) (uint64, time.Duration) {
		s.after(10*time.Second, func() { s.platformDown = true })
		s.after(60*time.Second, func() { s.platformDown = false })
		return 2, 60*time.Second + activationBound
	},
	"missed watches": func(s *sim) (uint64, time.Duration) {
		s.missWatchEvents = true
		return 2, 10*time.Second + activationBound
	},
	"compacted watches": func(s *sim) (uint64, time.Duration) {
		s.after(10*time.Second, s.store.Compact)
		return 2, 10*time.Second + activationBound
	},
	"delayed answers with old revisions": func(s *sim) (uint64, time.Duration) {
		s.maxAnswerDelay = 2500 * time.Millisecond
		for i := range 8 {
			s.after(10*time.Second+time.Duration(i)*1500*time.Millisecond, func() { s.publish(10 + i) })
		}
		return 10, 21*time.Second + activationBound
	},
	"restart during an outage": func(s *sim) (uint64, time.Duration) {
		s.after(11*time.Second, func() { s.platformDown = true })
		for i, n := range s.nodes {
			if i%2 == 0 {
				s.after(12*time.Second, func() { s.stopNode(n) })
				s.after(15*time.Second, func() { s.startNode(n) })
			}
		}
		return 2, 15*time.Second + activationBound
	},
	"watchers stop": func(s *sim) (uint64, time.Duration) {
		s.after(10*time.Second-10*time.Millisecond, func() {
			for _, n := range s.watchers() {
				s.stopNode(n)
			}
		})
		return 2, 10*time.Second + activationBound
	},
	"watchers of a zone freeze": func(s *sim) (uint64, time.Duration) {
		s.after(10*time.Second-10*time.Millisecond, func() {
			for _, n := range s.watchers() {
				n.frozen = n.zone == 0
			}
		})
		s.after(30*time.Second, func() {
			for _, n := range s.nodes {
				s.unfreeze(n)
			}
		})
		return 2, 10*time.Second + activationBound
	},
	"zone partitioned and reconnected": func(s *sim) (uint64, time.Duration) {
		s.after(9*time.Second, func() { s.setPartitioned(1, true) })
		s.after(40*time.Second, func() { s.publish(3); s.platformDown = true })
		s.after(41*time.Second, func() { s.platformDown = false })
		s.after(50*time.Second, func() { s.setPartitioned(1, false) })
		return 3, 50*time.Second + activationBound
	},
	"zone reconnected during an outage": func(s *sim) (uint64, time.Duration) {
		s.after(9*time.Second, func() { s.setPartitioned(1, true) })
		s.after(20*time.Second, func() { s.platformDown = true; s.setPartitioned(1, false) })
		return 2, 20*time.Second + activationBound
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

// setPartitioned disconnects a zone from the platform and the other zones, or reconnects it.
func (s *sim) setPartitioned(zone int, partitioned bool) {
	for _, n := range s.nodes {
		for _, peer := range n.links {
			if n.zone == zone && peer.zone != zone {
				s.setLink(n, peer, !partitioned)
			}
		}
	}
	s.partitioned[zone] = partitioned
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

// runScenario returns the violations that occurred.
func runScenario(seed uint64, scenario func(*sim) (uint64, time.Duration), newFollower func(FollowerOptions, time.Duration) stepper) []string {
	s := newSim(seed, 3, 4, 4, newFollower)
	s.after(time.Second, func() { s.publish(0) })
	s.after(10*time.Second, func() { s.publish(2) })
	want, at := scenario(s)
	s.runUntil(at)
	s.expectRevision(want)
	s.runUntil(at + 40*time.Second)
	s.expectRevision(want)
	return s.violations
}

func TestRevisionIsActivatedEverywhereAndStays(t *testing.T) {
	for name, scenario := range failureScenarios {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				violations := runScenario(seed, scenario, newRealFollower)
				assert.Equal(t, len(violations), 0, "seed %d: %v", seed, violations)
			}
		})
	}
}

// The scenarios detect a follower that accepts whatever head arrives last.
func TestNaiveFollowerReverts(t *testing.T) {
	seen := 0
	for seed := range uint64(3) {
		seen += len(runScenario(seed, failureScenarios["delayed answers with old revisions"], newNaiveFollower))
	}
	assert.Assert(t, seen > 0, "the naive follower never reverted")
}

// With any mixture of failures, no process reverts to an older revision, and every
// process has the newest one within the bound after the last failure has ended.
func TestFollowersConvergeAfterAnyFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), 3, 3, 3, newRealFollower)
		s.after(time.Second, func() { s.publish(0) })
		for i := range rapid.IntRange(3, 14).Draw(t, "steps") {
			at := 2*time.Second + time.Duration(i)*700*time.Millisecond
			op, zone := rapid.IntRange(0, 7).Draw(t, "op"), rapid.IntRange(0, 2).Draw(t, "zone")
			node := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
			s.after(at, func() { s.injectFailure(op, zone, node, i) })
		}
		end := 14 * time.Second
		s.after(end-s.now, func() { s.endFailures(); s.publish(99) })
		s.runUntil(end + activationBound + callTimeout)
		s.expectRevision(s.newest)
		assert.Equal(t, len(s.violations), 0, "%v", s.violations)
	})
}

// injectFailure starts or ends one failure, or publishes a change.
func (s *sim) injectFailure(op, zone int, node *simNode, mark int) {
	switch op {
	case 0, 1:
		s.publish(mark)
	case 2:
		s.platformDown = !s.platformDown
	case 3:
		s.missWatchEvents = !s.missWatchEvents
	case 4:
		s.store.Compact()
	case 5:
		s.setPartitioned(zone, !s.partitioned[zone])
	case 6:
		s.maxAnswerDelay = 2500*time.Millisecond - s.maxAnswerDelay
	case 7:
		if node.up {
			s.stopNode(node)
		} else {
			s.startNode(node)
		}
	}
}

// endFailures ends all failures.
func (s *sim) endFailures() {
	s.platformDown, s.missWatchEvents, s.maxAnswerDelay = false, false, 0
	for zone, partitioned := range s.partitioned {
		if partitioned {
			s.setPartitioned(zone, false)
		}
	}
	for _, n := range s.nodes {
		if !n.up {
			s.startNode(n)
		}
	}
}
