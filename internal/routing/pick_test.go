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

// fleet returns the snapshot of one entry per zone over perZone targets in each.
func fleet(perZone int) []*Snapshot {
	var snaps []*Snapshot
	for _, own := range zoneNames {
		p := Pool{Name: "p"}
		for _, zone := range zoneNames {
			for i := range perZone {
				agent := fmt.Sprintf("%s-%d", zone, i)
				if zone == own {
					p.Targets = append(p.Targets, target(agent, 0, 8))
				} else {
					p.Remote = append(p.Remote, RemoteTarget{Agent: agent, AvailabilityZone: zone})
				}
			}
			if zone != own {
				p.Peers = append(p.Peers, Peer{
					Entry: "entry-" + zone, AvailabilityZone: zone, Sent: new(Counter),
					Report: Report{Known: true, Load: message.Load{Limit: 8 * perZone, ServiceTime: time.Second}},
				})
			}
		}
		snaps = append(snaps, &Snapshot{AvailabilityZone: own, Pools: []Pool{p}})
	}
	return snaps
}

func target(agent string, running, limit int) Target {
	load := message.Load{State: message.TargetWarm, Running: running, Limit: limit, ServiceTime: time.Second}
	return Target{Agent: agent, Report: Report{Known: true, Load: load}, Sent: new(Counter)}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestNoHerd lets fifty entries route ten requests each on one and the same late
// report, in which one target is idle and the others are busy.
func TestNoHerd(t *testing.T) {
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
			c.Sent().Begin()
			got[c.Name()]++
		}
	}
	// All five hundred go to the idle target if each entry takes the least loaded
	// one; an even spread is fifty.
	assert.Assert(t, got["0"] <= 100, "%d of 500 went to one target", got["0"])
	for i := range 10 {
		assert.Assert(t, got[fmt.Sprint(i)] >= 25, "target %d got only %d", i, got[fmt.Sprint(i)])
	}
}

// TestHomeAgentIsTheSameFromEverywhere follows keys from an entry of each zone,
// over the peer if need be, and takes the home agent out.
func TestHomeAgentIsTheSameFromEverywhere(t *testing.T) {
	rng := newRand()
	snaps := fleet(3)
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

// TestBusyHomePassesKeyOn fills agents one after the other and follows one key.
func TestBusyHomePassesKeyOn(t *testing.T) {
	rng := newRand()
	s := fleet(3)[0]
	p := &s.Pools[0]
	p.Remote, p.Peers = nil, nil
	r := Request{Pool: "p", Organisation: "o", Service: "permit", IdempotencyKey: "k", Remaining: time.Minute}
	home := s.Pick(r, rng).Target
	seen := map[string]bool{}
	for range p.Targets {
		c := s.Pick(r, rng)
		assert.Assert(t, c.NoWait && !seen[c.Name()], "each agent with a free place is asked for it once")
		seen[c.Name()] = true
		c.Target.Report.Load.Running = 8
	}
	c := s.Pick(r, rng)
	assert.Assert(t, c.Target == home && !c.NoWait, "when all are busy the key waits at its home")
}

// TestDestinationsThatAreNeverChosen tries random states and requests against the
// rules that hold in all of them.
func TestDestinationsThatAreNeverChosen(t *testing.T) {
	rng := newRand()
	for range 20000 {
		s := fleet(3)[0]
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
			assert.Assert(t, !c.Target.Suspected || !trusted(s, r), "a suspected target got work that another could take")
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

// trusted reports whether any target or peer that is not suspected may take r.
func trusted(s *Snapshot, r Request) bool {
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

func TestOwnZoneFirstThenSpill(t *testing.T) {
	rng := newRand()
	s := fleet(2)[0]
	p := &s.Pools[0]
	for range 16 {
		c := s.Pick(Request{Pool: "p", Remaining: time.Minute}, rng)
		assert.Assert(t, c.Destination == ToAgent && c.NoWait)
		c.Sent().Begin()
	}
	c := s.Pick(Request{Pool: "p", Remaining: time.Minute}, rng)
	assert.Assert(t, c.Destination == ToPeer && c.NoWait, "the own zone is full")
	for i := range p.Peers {
		p.Peers[i].Report.Load.Running = 40
	}
	c = s.Pick(Request{Pool: "p", Remaining: time.Minute}, rng)
	assert.Assert(t, c.Destination == ToAgent && !c.NoWait, "all zones are full: wait at home")
}

func TestLateReportDoesNotReplaceANewerOne(t *testing.T) {
	var r Report
	assert.Assert(t, r.Update(message.Load{Running: 3, Seq: 9}, 2))
	assert.Assert(t, !r.Update(message.Load{Running: 0, Seq: 4}, 2))
	assert.Equal(t, r.Load.Running, 3)
}

func BenchmarkPick(b *testing.B) {
	s, rng := fleet(50)[0], newRand()
	for i := range b.N {
		s.Pick(Request{Pool: "p", PrefixHash: uint64(i), Remaining: time.Minute}, rng)
	}
}
