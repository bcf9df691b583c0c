package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

var zoneNames = []string{"sk-a", "sk-b", "sk-c"}

// newSnapshots returns the snapshot of one entry per zone over perZone targets in each.
func newSnapshots(perZone int) []*Snapshot {
	var snaps []*Snapshot
	for _, local := range zoneNames {
		p := Pool{Name: "p"}
		for _, zone := range zoneNames {
			for i := range perZone {
				agent := fmt.Sprintf("%s-%d", zone, i)
				if zone == local {
					p.Targets = append(p.Targets, target(agent, 0, 8))
				} else {
					p.Remote = append(p.Remote, RemoteTarget{Agent: agent, AvailabilityZone: zone})
				}
			}
			if zone != local {
				p.Peers = append(p.Peers, Peer{
					Entry: "entry-" + zone, AvailabilityZone: zone, Requests: new(Counter),
					Report: Report{Known: true, Load: message.Load{Limit: 8 * perZone, ServiceTime: time.Second}},
				})
			}
		}
		snaps = append(snaps, &Snapshot{AvailabilityZone: local, Pools: []Pool{p}})
	}
	return snaps
}

func target(agent string, running, limit int) Target {
	load := message.Load{State: message.TargetWarm, Running: running, Limit: limit, ServiceTime: time.Second}
	return Target{Agent: agent, Report: Report{Known: true, Load: load}, Requests: new(Counter)}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestEntriesWithSameReportSpreadRequests routes ten requests from each of fifty entries with
// the same outdated report, in which one target is idle and the others are busy. If every
// entry chose the least loaded target, the idle one would be overloaded.
func TestEntriesWithSameReportSpreadRequests(t *testing.T) {
	rng := newRand()
	got := make(map[string]int)
	for range 50 {
		p := Pool{Name: "p"}
		for i := range 10 {
			p.Targets = append(p.Targets, target(fmt.Sprint(i), 5, 8))
		}
		p.Targets[0] = target("0", 0, 8)
		s := Snapshot{Pools: []Pool{p}}
		for range 10 {
			c := s.Pick(Request{Pool: "p", Remaining: time.Minute}, rng)
			c.Requests().Begin()
			got[c.Name()]++
		}
	}
	// All 500 requests would go to the idle target if each entry chose the least loaded
	// one; an even spread is 50 per target.
	assert.Assert(t, got["0"] <= 100, "%d of 500 went to one target", got["0"])
	for i := range 10 {
		assert.Assert(t, got[fmt.Sprint(i)] >= 25, "target %d got only %d", i, got[fmt.Sprint(i)])
	}
}

// TestHomeAgentIsSameFromAllZones checks that entries of all zones choose the same agent for
// a key, through a peer if necessary, and that only the keys of an agent that leaves move.
func TestHomeAgentIsSameFromAllZones(t *testing.T) {
	rng := newRand()
	snaps := newSnapshots(3)
	home := func(s *Snapshot, r Request) string {
		c := s.Pick(r, rng)
		if c.Destination == ToPeer {
			r.Hops = 1
			zone := c.Peer.AvailabilityZone
			for _, far := range snaps {
				if far.AvailabilityZone == zone {
					c = far.Pick(r, rng)
				}
			}
		}
		assert.Equal(t, c.Destination, ToAgent)
		return c.Name()
	}
	homes := make(map[string]string)
	for i := range 300 {
		r := Request{Pool: "p", Organisation: "o", Service: "permit", IdempotencyKey: fmt.Sprint(i), Remaining: time.Minute}
		first := home(snaps[0], r)
		assert.Equal(t, first, home(snaps[1], r))
		assert.Equal(t, first, home(snaps[2], r))
		homes[r.IdempotencyKey] = first
	}
	for i := range snaps[0].Pools[0].Targets {
		if t := &snaps[0].Pools[0].Targets[i]; t.Agent == "sk-a-1" {
			t.Leaving = true
		}
	}
	for key, before := range homes {
		r := Request{Pool: "p", Organisation: "o", Service: "permit", IdempotencyKey: key, Remaining: time.Minute}
		after := home(snaps[0], r)
		assert.Equal(t, after != before, before == "sk-a-1", "only the keys of the leaving agent move")
	}
}

// TestKeyMovesToNextAgentWhileHomeIsBusy fills the agents one after the other and checks
// which agent is chosen for one key.
func TestKeyMovesToNextAgentWhileHomeIsBusy(t *testing.T) {
	rng := newRand()
	s := newSnapshots(3)[0]
	p := &s.Pools[0]
	p.Remote, p.Peers = nil, nil
	r := Request{Pool: "p", Organisation: "o", Service: "permit", IdempotencyKey: "k", Remaining: time.Minute}
	home := s.Pick(r, rng).Target
	seen := map[string]bool{}
	for range p.Targets {
		c := s.Pick(r, rng)
		assert.Assert(t, c.NoWait && !seen[c.Name()], "each agent with a free slot is chosen once")
		seen[c.Name()] = true
		c.Target.Report.Load.Running = 8
	}
	c := s.Pick(r, rng)
	assert.Assert(t, c.Target == home && !c.NoWait, "if all agents are busy, the request waits at the home agent")
}

// TestPickNeverChoosesUnusableDestination checks, for random states and requests, the rules
// that must hold for every choice.
func TestPickNeverChoosesUnusableDestination(t *testing.T) {
	rng := newRand()
	for range 20000 {
		s := newSnapshots(3)[0]
		s.Drained = rng.IntN(4) == 0
		p := &s.Pools[0]
		for i := range p.Targets {
			p.Targets[i] = target(p.Targets[i].Agent, rng.IntN(12), 8)
			p.Targets[i].Leaving, p.Targets[i].Suspected = rng.IntN(4) == 0, rng.IntN(4) == 0
		}
		for i := range p.Peers {
			p.Peers[i].Drained, p.Peers[i].Suspected = rng.IntN(3) == 0, rng.IntN(3) == 0
		}
		r := Request{Pool: "p", Remaining: time.Minute, Hops: rng.IntN(2), PrefixHash: rng.Uint64N(3), NoWait: rng.IntN(4) == 0}
		if rng.IntN(3) == 0 {
			r.IdempotencyKey = "k"
		}
		for rng.IntN(2) == 0 {
			r.Excluded = append(r.Excluded, p.Targets[rng.IntN(3)].Agent)
		}
		c := s.Pick(r, rng)
		switch c.Destination {
		case ToAgent:
			assert.Assert(t, !s.Drained && !c.Target.Leaving)
			assert.Assert(t, !c.Target.Suspected || !hasUnsuspected(s, r), "a suspected target got a request that another could take")
		case ToPeer:
			assert.Assert(t, r.Hops == 0 && !c.Peer.Drained && !c.Peer.Suspected)
		default:
			assert.Equal(t, c.Err.Answer().Outcome, apierr.OutcomeNotRun)
			assert.Assert(t, c.Err.Answer().RetryAfter > 0)
		}
		for _, name := range r.Excluded {
			assert.Assert(t, c.Name() != name)
		}
	}
}

// hasUnsuspected reports whether any target or peer that is not suspected may take r.
func hasUnsuspected(s *Snapshot, r Request) bool {
	p := &s.Pools[0]
	for i := range p.Targets {
		if t := &p.Targets[i]; t.Usable() && !slices.Contains(r.Excluded, t.Agent) {
			return true
		}
	}
	for i := range p.Peers {
		if q := &p.Peers[i]; r.Hops == 0 && q.usable() && !slices.Contains(r.Excluded, q.Entry) {
			return true
		}
	}
	return false
}

func TestLocalZoneFirstThenPeerZones(t *testing.T) {
	rng := newRand()
	s := newSnapshots(2)[0]
	p := &s.Pools[0]
	for range 16 {
		c := s.Pick(Request{Pool: "p", Remaining: time.Minute}, rng)
		assert.Assert(t, c.Destination == ToAgent && c.NoWait)
		c.Requests().Begin()
	}
	c := s.Pick(Request{Pool: "p", Remaining: time.Minute}, rng)
	assert.Assert(t, c.Destination == ToPeer && c.NoWait, "the local zone is full")
	for i := range p.Peers {
		p.Peers[i].Report.Load.Running = 40
	}
	c = s.Pick(Request{Pool: "p", Remaining: time.Minute}, rng)
	assert.Assert(t, c.Destination == ToAgent && !c.NoWait, "all zones are full: the request waits in the local zone")
}

func TestLateReportDoesNotReplaceANewerOne(t *testing.T) {
	var r Report
	assert.Assert(t, r.Update(message.Load{Running: 3, Seq: 9}, 2))
	assert.Assert(t, !r.Update(message.Load{Running: 0, Seq: 4}, 2))
	assert.Equal(t, r.Load.Running, 3)
}

func BenchmarkPick(b *testing.B) {
	s, rng := newSnapshots(50)[0], newRand()
	for i := range b.N {
		s.Pick(Request{Pool: "p", PrefixHash: uint64(i), Remaining: time.Minute}, rng)
	}
}
