// Package placement decides which target gets a request, and whether any should. It
// is pure: the caller brings the time and reports what it saw; nothing is read or
// sent here.
package placement

import (
	"math/rand/v2"
	"time"
)

// Target is one target that may get work.
type Target struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Accepting is false once the target is leaving or its availability zone is evacuated.
	Accepting bool
	// StartRate bounds the requests that this process sends the target in any second;
	// zero means no bound.
	StartRate int
	// MaxConns bounds this process's connections to the target; zero means no bound.
	MaxConns int
	// Lockstep tells that the target runs in passes with others of its service, so that
	// its silence between events is a sign of a stall.
	Lockstep bool
}

// Request is what placement needs to know of a request.
type Request struct {
	Service string
	// Tried holds the ids of targets that failed or refused the request.
	Tried []string
	// Group, if set, is avoided: the request has just left a stalled member of it.
	AvoidGroup string
	// EventGap is the pause between events that the request's objective allows.
	EventGap time.Duration
	// Urgent requests may use the places kept back from others.
	Urgent bool
}

// Refusal says why no target gets a request.
type Refusal uint8

// The refusals.
const (
	// NotRefused means that a target was chosen.
	NotRefused Refusal = iota
	// NoTarget means that the service has no target that accepts work.
	NoTarget
	// Unreachable means that every accepting target fails at present.
	Unreachable
	// GroupDown means that the targets which might get the request belong to lock-step
	// groups that don't run at present.
	GroupDown
	// Full means that every usable target has as much work as it should.
	Full
)

// String returns the refusal's name for logs.
func (r Refusal) String() string {
	return [...]string{"none", "no-target", "unreachable", "group-down", "full"}[r]
}

// Choice is a chosen target and the inputs that decided.
type Choice struct {
	Target Target
	// Load is the work believed to be at the target, this request not counted.
	Load int
	// ReportAge is the age of the target's last report of its load; negative if none.
	ReportAge time.Duration
}

// Result is how an attempt at a target ended, as far as it tells of the target's health.
type Result uint8

// The results.
const (
	// Answered means that the target answered, whatever it said.
	Answered Result = iota
	// Refused means that the target had no room.
	Refused
	// Failed means that the target gave no proper answer.
	Failed
	// Unreached means that no connection to the target could be made.
	Unreached
	// Replaced means that another target answers at the address.
	Replaced
	// Abandoned means that the attempt says nothing about the target.
	Abandoned
)

// Balancer holds what is known of each target. It is not safe for concurrent use.
type Balancer struct {
	rng     *rand.Rand
	zone    string
	targets map[string]*state
	// services holds the ids of each service's targets.
	services map[string][]*state
	groups   map[string]*group
	// peers holds the work that other gateways say they have at each target.
	peers map[string]peerWork
}

// New returns a Balancer for a process of the availability zone.
func New(zone string, rng *rand.Rand) *Balancer {
	return &Balancer{
		rng: rng, zone: zone, targets: map[string]*state{},
		services: map[string][]*state{}, groups: map[string]*group{}, peers: map[string]peerWork{},
	}
}

// SetTargets replaces the set of targets; what is known of those that stay is kept.
func (b *Balancer) SetTargets(targets []Target) {
	next := make(map[string]*state, len(targets))
	services := make(map[string][]*state)
	for _, t := range targets {
		s := b.targets[t.ID]
		if s == nil || s.Address != t.Address {
			s = &state{key: Key(t.ID)}
		}
		s.Target = t
		next[t.ID] = s
		services[t.Service] = append(services[t.Service], s)
	}
	b.targets, b.services = next, services
}

// Choose picks the target for a request and counts it as sent there.
func (b *Balancer) Choose(now time.Duration, r Request) (Choice, Refusal) {
	sample, refusal := b.sample(now, &r)
	var best *state
	bestCost := 0.0
	for _, s := range sample {
		if cost := b.cost(now, s, &r); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return Choice{}, refusal
	}
	c := Choice{Target: best.Target, Load: best.load(now, b), ReportAge: best.reportAge(now)}
	best.start(now)
	return c, NotRefused
}

// sampleSize is the number of usable targets that are compared for a request. Many
// processes choose between two words on each other's work; comparing all targets
// would send all of them to the one that looks emptiest.
const sampleSize = 5

// sample draws up to sampleSize usable targets, each with the same chance. If there is
// none it tells why.
func (b *Balancer) sample(now time.Duration, r *Request) ([]*state, Refusal) {
	refusal := NoTarget
	drawn := make([]*state, 0, sampleSize)
	seen := 0
	for _, s := range b.services[r.Service] {
		why := b.usable(now, s, r)
		if why != NotRefused {
			refusal = max(refusal, why)
			continue
		}
		seen++
		if len(drawn) < sampleSize {
			drawn = append(drawn, s)
		} else if i := b.rng.IntN(seen); i < sampleSize {
			drawn[i] = s
		}
	}
	return drawn, refusal
}

// usable reports why a target can't get the request.
func (b *Balancer) usable(now time.Duration, s *state, r *Request) Refusal {
	if !s.Accepting {
		return NoTarget
	}
	for _, id := range r.Tried {
		if id == s.ID {
			return Unreachable
		}
	}
	if now < s.blockedUntil || r.AvoidGroup != "" && r.AvoidGroup == s.group {
		return Unreachable
	}
	if g := b.groupOf(s); g != nil && (g.stalled(now) || now < g.downUntil) {
		return GroupDown
	}
	if s.StartRate > 0 && s.startsWithin(now, time.Second) >= s.StartRate {
		return Full
	}
	if s.load(now, b) >= b.limit(s, r.Urgent) {
		return Full
	}
	return NotRefused
}

const (
	// failureWeight is what a target that fails everything costs, in parts of its slots.
	failureWeight = 2.0
	// remoteWeight prefers targets of the own availability zone among equals.
	remoteWeight = 0.02
	// jitter spreads processes that see the same loads.
	jitter = 0.05
)

// cost is the relative load at which a target would run the request, plus what its
// failures and its distance add.
func (b *Balancer) cost(now time.Duration, s *state, r *Request) float64 {
	slots := float64(max(1, s.Slots))
	cost := float64(s.load(now, b))/slots + failureWeight*s.failureRate(now) + jitter*b.rng.Float64()
	if s.AvailabilityZone != b.zone {
		cost += remoteWeight
	}
	if g := b.groupOf(s); g != nil {
		cost += g.slowness(now, r.EventGap)
	}
	return cost
}

// Ended takes in the end of an attempt.
func (b *Balancer) Ended(now time.Duration, id string, result Result) {
	s := b.targets[id]
	if s == nil {
		return
	}
	if result == Refused && s.Lockstep && s.load(now, b) <= s.Slots {
		// A rank with room refuses only while its group can't run.
		if g := b.groupOf(s); g != nil {
			g.refused(now)
		} else {
			s.blockedUntil = now + firstDown
		}
	}
	s.end(now, result)
}

// Reported takes in a target's own report of the work that it has.
func (b *Balancer) Reported(now time.Duration, id string, running, waiting int) {
	if s := b.targets[id]; s != nil {
		s.report(now, running+waiting)
	}
}

// Target returns what is known of a target, for the state dump.
func (b *Balancer) Target(now time.Duration, id string) (inFlight, load int, failures float64, blocked bool) {
	s := b.targets[id]
	if s == nil {
		return 0, 0, 0, false
	}
	return s.inFlight, s.load(now, b), s.failureRate(now), now < s.blockedUntil
}

// CanLeave reports whether a target outside the lock-step group of the target with the
// id could get its request now.
func (b *Balancer) CanLeave(now time.Duration, id string) bool {
	left := b.targets[id]
	if left == nil {
		return true
	}
	return b.hasPlace(now, &Request{Service: left.Service, Tried: []string{id}, AvoidGroup: left.group, Urgent: true})
}

// HasOther reports whether a target that was not tried could get a request now.
func (b *Balancer) HasOther(now time.Duration, service string, tried []string) bool {
	return b.hasPlace(now, &Request{Service: service, Tried: tried, Urgent: true})
}

// hasPlace reports whether any target could get the request now.
func (b *Balancer) hasPlace(now time.Duration, r *Request) bool {
	for _, s := range b.services[r.Service] {
		if b.usable(now, s, r) == NotRefused {
			return true
		}
	}
	return false
}
