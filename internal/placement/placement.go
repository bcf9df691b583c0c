// Package placement decides which target gets a request, and whether any should. It
// does no I/O and reads no clock: the caller passes in the time and reports the events.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/priority"
)

// Target is one target that may get work.
type Target struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	// Lifetime identifies one run of the target from its start to its end; zero if unknown.
	Lifetime int64
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Accepting is false while the target is leaving or its availability zone is evacuated.
	Accepting bool
	// StartRate bounds the requests that all gateways together send the target in any second;
	// zero means no bound.
	StartRate int
	// Cold is true if the target said in its entry that it is cold.
	Cold bool
	// MaxConns bounds this process's connections to the target; zero means no bound.
	MaxConns int
	// Lockstep is true if the target runs its passes together with others of its service,
	// so that a long time without events indicates a stall.
	Lockstep bool
	// StepTime and StepTimePerRequest are the times of a pass of the target's group without
	// requests and of each request at a rank. They are zero if they are unknown or not used.
	StepTime, StepTimePerRequest time.Duration
}

// Request contains the properties of a request that placement depends on.
type Request struct {
	Service string
	// Tried contains the ids of targets that failed or refused the request.
	Tried []string
	// AvoidGroup, if set, names a lock-step group that must not get the request, because
	// the request has just left a stalled member of it.
	AvoidGroup string
	// EventGap is the longest gap between events that the request's objective allows.
	EventGap time.Duration
	// headroom is the part of the limits of a group's targets that the request may use beyond them,
	// since less important requests are refused instead.
	headroom float64
	// Urgent requests may use the capacity that is reserved for them.
	Urgent bool
	// Priority is the request's level on services that have levels; 0 is the most important.
	Priority int
	// Admitted is true once a target was chosen for the request. It is not checked against its
	// level again.
	Admitted bool
}

// Refusal is the reason why no target gets a request.
type Refusal uint8

// The refusals. If several apply to the targets of a service, the last one in this order
// is returned.
const (
	// NotRefused means that a target was chosen.
	NotRefused Refusal = iota
	// NoTarget means that the service has no target that accepts work.
	NoTarget
	// Unreachable means that every accepting target is blocked after a failure, is silent,
	// was tried already, or belongs to the avoided group.
	Unreachable
	// GroupDown means that the targets that might get the request belong to lock-step
	// groups that are currently not running.
	GroupDown
	// Full means that every usable target is at its limit of work or of starts, or at the rate
	// that it states, or has asked for a pause.
	Full
)

// String returns the refusal's name for logs.
func (r Refusal) String() string {
	return [...]string{"none", "no-target", "unreachable", "group-down", "full"}[r]
}

// Choice is a chosen target with the inputs of the decision.
type Choice struct {
	Target Target
	// Load is the estimated number of requests at the target, without this one.
	Load int
	// ReportAge is the age of the target's last load report; negative if there is none.
	ReportAge time.Duration
	// Level is the check of the request against its level's part of the service; nil if the
	// service has no levels or the request was admitted before. It is also set if the request
	// is refused as Full.
	Level *priority.Check
	// Zone is the reason for the availability zone of the target.
	Zone ZoneReason
}

// Result classifies the end of an attempt by what it shows of the target's health.
type Result uint8

// The results.
const (
	// Answered means that the target sent a complete answer, whatever its content.
	Answered Result = iota
	// Refused means that the target refused the request for lack of capacity.
	Refused
	// Failed means that the target gave no valid answer, or reported an error of its own.
	Failed
	// ConnectFailed means that no connection to the target could be made.
	ConnectFailed
	// Replaced means that another target now answers at the address.
	Replaced
	// Inconclusive means that the attempt shows nothing of the target's health.
	Inconclusive
)

// Balancer keeps the state of each target and chooses targets for requests. It is not
// safe for concurrent use.
type Balancer struct {
	rng     *rand.Rand
	name    string
	zone    string
	targets map[string]*targetState
	// departed contains the targets that are no longer in the set and have no requests, whose
	// entries may return in the same lifetime.
	departed departedTargets
	// services maps each service to its targets.
	services map[string][]*targetState
	// byKey maps the TargetKey of each target's id to the targets, departed ones too, that have it.
	byKey  map[uint32][]*targetState
	groups map[string]*group
	// peers contains the last work report of each other gateway, by its name.
	peers  map[string]peerWork
	totals peerTotals
	// members contains the names of the other gateways that share the limits of targets, as of
	// membersAt. memberVersion changes with it; membersChanged is true if a message of a
	// gateway that was unknown has come since.
	members        []string
	membersAt      time.Duration
	memberVersion  int
	membersChanged bool
	// listed contains the time at which the store last listed each other gateway. membersListed
	// is true once it has listed the gateways, whether there are others or not.
	listed        map[string]time.Duration
	membersListed bool
	// levels contains the services whose requests have different priorities. contactAt is the time
	// of the last report of another gateway.
	levels       map[string]*serviceLevels
	contactAt    time.Duration
	demandBuffer priority.Levels
	zones        zoneRouter
}

// New returns a Balancer for the gateway with the name in the availability zone.
func New(name, zone string, rng *rand.Rand) *Balancer {
	return &Balancer{
		rng: rng, name: name, zone: zone, targets: map[string]*targetState{}, departed: departedTargets{},
		services: map[string][]*targetState{}, groups: map[string]*group{}, peers: map[string]peerWork{}, totals: peerTotals{work: map[uint32]int{}},
		listed: map[string]time.Duration{},
	}
}

// SetTargets replaces the set of targets. The state of targets that remain in the set
// with the same lifetime is kept, and so is that of removed targets until their requests
// end, since their streams still show whether their group runs. After that it is kept for a while,
// since an entry may return.
func (b *Balancer) SetTargets(now time.Duration, targets []Target) {
	next := make(map[string]*targetState, len(targets))
	services := make(map[string][]*targetState)
	for _, t := range targets {
		s := b.targets[t.ID]
		if s == nil {
			s = b.departed.take(t.ID)
		}
		if s == nil || !s.sameLifetime(&t) {
			s = &targetState{key: TargetKey(t.ID)}
		}
		if t.Lifetime == 0 {
			t.Lifetime = s.Lifetime
		}
		s.Target, s.removed = t, false
		next[t.ID] = s
		services[t.Service] = append(services[t.Service], s)
	}
	for id, s := range b.targets {
		switch current := next[id]; {
		case current == s:
		case current == nil && s.inFlight > 0:
			s.removed = true
			next[id] = s
		case current == nil:
			b.depart(now, s)
		default:
			b.addActiveStreams(s, -s.activeStreams)
			b.addInFlight(s, -s.inFlight)
		}
	}
	b.targets, b.services = next, services
	b.departed.prune(now)
	b.indexKeys()
	b.zones.invalidate()
}

// indexKeys updates byKey.
func (b *Balancer) indexKeys() {
	b.byKey = make(map[uint32][]*targetState, len(b.targets)+len(b.departed))
	for _, s := range b.targets {
		b.byKey[s.key] = append(b.byKey[s.key], s)
	}
	for _, d := range b.departed {
		b.byKey[d.key] = append(b.byKey[d.key], d.targetState)
	}
}

// Choose selects the target for a request and counts the request as in flight there.
func (b *Balancer) Choose(now time.Duration, r Request) (Choice, Refusal) {
	levels := b.levels[r.Service]
	var sum *serviceSum
	if levels != nil {
		r.headroom = b.headroom(now, levels, r.Priority)
		if !r.Admitted {
			sum = &serviceSum{}
		}
	}
	sample, refusal := b.sample(now, &r, sum)
	b.recordArrival(now, &r, refusal)
	var check *priority.Check
	if sum != nil && (len(sample) > 0 || refusal == Full) {
		if check = b.checkLevel(now, levels, &r, sum); len(sample) == 0 || !check.Admitted() {
			return Choice{Level: check}, Full
		}
		levels.meter.RecordAdmission(now, r.Priority)
	}
	var best *targetState
	bestCost := 0.0
	for _, s := range sample {
		if cost := b.cost(now, s, &r); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return Choice{}, refusal
	}
	c := Choice{
		Target: best.Target, Load: best.load(now, b), ReportAge: best.reportAge(now), Level: check, Zone: b.zoneReason(best),
	}
	best.recordStart(now)
	b.addInFlight(best, 1)
	return c, NotRefused
}

// sampleSize is the number of usable targets that are compared for a request. Many
// processes choose between two reports of each other's work; if they compared all
// targets, they would all choose the one that appears least loaded.
const sampleSize = 5

// sample draws up to sampleSize usable targets with equal probability, from those of the zone that
// is chosen for the request if any of them is usable. If there are none, it returns the reason. sum,
// if not nil, becomes the sum over the targets that could get work.
func (b *Balancer) sample(now time.Duration, r *Request, sum *serviceSum) ([]*targetState, Refusal) {
	refusal := NoTarget
	route := b.zoneRoute(now, r)
	space := make([]*targetState, 2*sampleSize)
	drawn, others := reservoir{targets: space[:0:sampleSize]}, reservoir{targets: space[sampleSize:sampleSize]}
	for _, s := range b.services[r.Service] {
		why := b.refusalFor(now, s, r, sum)
		if why != NotRefused {
			refusal = max(refusal, why)
			continue
		}
		if !route.passesOver(s) {
			drawn.add(b.rng, s)
		} else if drawn.seen == 0 { // the others are not needed otherwise
			others.add(b.rng, s)
		}
	}
	if drawn.seen == 0 {
		return others.targets, refusal
	}
	return drawn.targets, refusal
}

// reservoir keeps a random sample of up to sampleSize targets.
type reservoir struct {
	targets []*targetState
	seen    int
}

func (d *reservoir) add(rng *rand.Rand, s *targetState) {
	d.seen++
	if len(d.targets) < sampleSize {
		d.targets = append(d.targets, s)
	} else if i := rng.IntN(d.seen); i < sampleSize {
		d.targets[i] = s
	}
}

const (
	// failureCost is the cost at a failure rate of 1, in units of the target's slots.
	failureCost = 2.0
	// remoteZoneCost makes targets of the local availability zone preferred among
	// equally loaded ones, unless there is a plan for the zones.
	remoteZoneCost = 0.02
	// jitter is the range of a random cost, so that processes which see the same loads
	// choose different targets.
	jitter = 0.05
)

// cost returns the target's load relative to its slots, plus the costs of its failures,
// of another availability zone and of a slow group, and jitter.
func (b *Balancer) cost(now time.Duration, s *targetState, r *Request) float64 {
	slots := float64(max(1, s.Slots))
	cost := float64(s.load(now, b))/slots + failureCost*s.failureRate(now) + jitter*b.rng.Float64() + b.zoneCost(s)
	if g := b.groupOf(s); g != nil {
		cost += g.slownessCost(now, r.EventGap)
	}
	return cost
}

// RecordResult records the result of an attempt at a target.
func (b *Balancer) RecordResult(now time.Duration, id string, result Result) {
	s := b.targets[id]
	if s == nil {
		return
	}
	if result == Refused && s.Lockstep && s.load(now, b) <= s.Slots {
		// A rank with free slots refuses only while its group can't run.
		if g := b.groupOf(s); g != nil {
			g.recordRefusal(now)
		} else {
			s.blockedUntil = now + minDownTime
		}
	}
	before := s.inFlight
	s.recordResult(now, result)
	if l := b.levels[s.Service]; l != nil && (result == Answered || result == Failed) {
		l.meter.RecordCompletion(now)
	}
	b.addInFlight(s, s.inFlight-before)
	b.recordCompletion(now, s, result)
	if s.removed && s.inFlight == 0 {
		delete(b.targets, id)
		b.depart(now, s)
	}
}

// HandleLoadReport handles a target's own report of its running and waiting requests.
func (b *Balancer) HandleLoadReport(now time.Duration, id string, running, waiting int) {
	if s := b.targets[id]; s != nil {
		s.hear(now)
		s.recordReport(now, running+waiting)
	}
}

// TargetStatus returns the state of a target for the state dump.
func (b *Balancer) TargetStatus(now time.Duration, id string) (inFlight, load int, failures float64, blocked bool) {
	s := b.targets[id]
	if s == nil {
		return 0, 0, 0, false
	}
	return s.inFlight, s.load(now, b), s.failureRate(now), now < s.blockedUntil
}

// HasAlternative reports whether a request at the target with the id, which shows no
// progress, could now move to another target.
func (b *Balancer) HasAlternative(now time.Duration, id string) bool {
	current := b.targets[id]
	if current == nil {
		return true
	}
	return b.canPlace(now, &Request{Service: current.Service, Tried: []string{id}, AvoidGroup: b.groupToAvoid(now, current), Urgent: true})
}

// HasOtherTarget reports whether a target that was not tried yet could get a request now.
func (b *Balancer) HasOtherTarget(now time.Duration, service string, tried []string) bool {
	return b.canPlace(now, &Request{Service: service, Tried: tried, Urgent: true})
}

// canPlace reports whether any target could get the request now.
func (b *Balancer) canPlace(now time.Duration, r *Request) bool {
	for _, s := range b.services[r.Service] {
		if b.refusalFor(now, s, r, nil) == NotRefused {
			return true
		}
	}
	return false
}
