// Package experiment simulates a small deployment under load to evaluate the policy
// packages. The deployment has three availability zones, sixteen drafting and three
// permit targets and ten organisations. One availability zone is drained and returns
// cold, and load reports arrive late.
//
// The routing, admission, warm-up, fairness and retry code is the production code. Only
// the engines, links, callers and the clock are fakes. Every run is a pure function of
// its Scenario, including the seed.
package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/admission"
	"github.com/gentiantrail/gentiantrail/internal/retry"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// Scenario is one run of the experiment.
type Scenario struct {
	// Name labels the run in tables.
	Name string
	// Seed determines the run.
	Seed uint64
	// Load is the offered load as a fraction of the throughput of the warm pools.
	Load float64
	// ReportLag is the age of a load report when it is received.
	ReportLag time.Duration
	// Piggyback adds the agent's load to its answers.
	Piggyback bool
	// FloodFactor multiplies the large organisations' load from Phases.Drained to Phases.Returned.
	FloodFactor float64
	// NoDrain omits the drain.
	NoDrain bool
	// DrainedZone is the index of the availability zone that is drained.
	DrainedZone int
	// Router chooses the destination of each attempt.
	Router router
	// LinkAllZones links entries to the targets of all availability zones, so that they need no
	// peer entry.
	LinkAllZones bool
	// FixedLimit replaces admission control and warm-up by a fixed limit and a queue.
	FixedLimit bool
	// UnlimitedRetries retries every failed attempt until the deadline.
	UnlimitedRetries bool
	// Entries is the number of entries in each availability zone; nil means entriesPerZone.
	Entries []int
	// Pools are the target pools; nil means draftingPool and permitPool.
	Pools []poolSpec
	// ColdStart makes all engines cold at the start of the run.
	ColdStart bool
	// Phases are the times at which the phases of the run start.
	Phases Phases
}

// Phases are the times, from the start of a run, at which its phases start and at which
// it ends. Requests before Measured are not reported.
type Phases struct {
	Measured, Drained, Returned, Settled, End time.Duration
}

// rate returns the number of requests per second of one organisation to one pool.
func (s *Scenario) rate(now time.Duration, p poolSpec, o *organisation) float64 {
	rate := s.Load * p.throughput() * o.share
	if s.FloodFactor > 1 && o.large && now >= s.Phases.Drained && now < s.Phases.Returned {
		rate *= s.FloodFactor
	}
	return rate
}

var zones = []string{"sk-a", "sk-b", "sk-c"}

// entriesPerZone is the number of entries in each availability zone.
var entriesPerZone = []int{3, 3, 2}

const (
	// heartbeatInterval is the interval of load reports.
	heartbeatInterval = time.Second
	// configDelay is the longest time until a process applies a new configuration.
	configDelay = time.Second
	// expireInterval is the interval at which an agent checks for queued requests to refuse.
	expireInterval = 50 * time.Millisecond
)

// simulation is the state of one run.
type simulation struct {
	scenario    *Scenario
	clock       *clock
	pools       []poolSpec
	agents      []*agent
	entries     []*entry
	balancerRNG *rand.Rand
	results     []result
	requests    []*request
	attempts    int
	crashes     int
	// prefills and prefillTime are the sums over the engines of each pool, by pool name.
	prefills    map[string]int
	prefillTime map[string]time.Duration
}

// run simulates a scenario and returns the final state.
func run(s Scenario) *simulation {
	if s.Entries == nil {
		s.Entries = entriesPerZone
	}
	if s.Pools == nil {
		s.Pools = []poolSpec{draftingPool(), permitPool()}
	}
	sim := &simulation{
		scenario: &s,
		clock:    newClock(s.Seed),
		pools:    s.Pools,
		prefills: make(map[string]int), prefillTime: make(map[string]time.Duration),
		balancerRNG: rand.New(rand.NewPCG(s.Seed, 1)),
	}
	sim.buildAgents()
	sim.buildEntries()
	sim.startArrivals()
	if !s.NoDrain {
		sim.clock.after(s.Phases.Drained, sim.drainZone)
		sim.clock.after(s.Phases.Returned, sim.returnZone)
	}
	sim.clock.runUntil(s.Phases.End)
	sim.collectEngineCounts()
	return sim
}

func (sim *simulation) buildAgents() {
	for _, p := range sim.pools {
		for z, n := range p.targets {
			for i := range n {
				a := sim.newAgent(fmt.Sprintf("%s-%s-%d", p.name, zones[z], i), zones[z], p)
				if !sim.scenario.ColdStart {
					a.engine.completed = p.engine.warmAfter
				}
				sim.agents = append(sim.agents, a)
			}
		}
	}
}

func (sim *simulation) newAgent(name, zone string, p poolSpec) *agent {
	a := &agent{
		name: name, zone: zone, pool: p.name, clock: sim.clock,
		engine: &engine{spec: p.engine, clock: sim.clock, startID: 1},
		jobs:   make(map[uint64]*job),
	}
	a.admission = sim.newAdmission(p)
	stopped := func() bool { return a.stopped }
	sim.clock.every(expireInterval, stopped, func() {
		a.applyEffects(admission.Effects{Refused: a.admission.Expire(sim.clock.now)})
	})
	sim.clock.every(heartbeatInterval, stopped, func() { sim.heartbeat(a) })
	sim.clock.after(0, func() { sim.heartbeat(a) })
	return a
}

func (sim *simulation) newAdmission(p poolSpec) admissionController {
	if sim.scenario.FixedLimit {
		return &fixedLimit{limit: p.engine.limit, queueLimit: queueFactor * p.engine.limit}
	}
	return admission.New(admission.Config{
		Limit: p.engine.limit, ColdLimit: p.engine.coldLimit, ProbeWhileCold: true,
		QueueLimit: queueFactor * p.engine.limit, ServiceTime: p.meanDecode,
	})
}

// queueFactor is an agent's queue limit as a multiple of its limit of concurrent requests.
const queueFactor = 4

// heartbeat sends an agent's load to the entries that are linked to it, and its engine's
// state to the agent itself. Both arrive after ReportLag.
func (sim *simulation) heartbeat(a *agent) {
	load := a.admission.Load(sim.clock.now)
	startID := a.engine.startID
	cold := a.engine.warmth() < 1
	sim.clock.after(sim.scenario.ReportLag, func() {
		a.applyEffects(a.admission.HandleReport(sim.clock.now, startID, cold))
		for _, e := range sim.entries {
			if e.agents[a.name] == a {
				e.handleLoadReport(a.name, load)
			}
		}
	})
}

func (sim *simulation) buildEntries() {
	for z, n := range sim.scenario.Entries {
		for i := range n {
			sim.entries = append(sim.entries, &entry{
				name: fmt.Sprintf("entry-%s-%d", zones[z], i), zone: zones[z], sim: sim,
				budget: retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst),
				agents: make(map[string]*agent),
			})
		}
	}
	for _, e := range sim.entries {
		sim.buildSnapshot(e)
		sim.clock.every(heartbeatInterval, func() bool { return false }, func() { sim.peerHeartbeat(e) })
	}
}

func (sim *simulation) buildSnapshot(e *entry) {
	e.snapshot = &routing.Snapshot{AvailabilityZone: e.zone}
	for _, p := range sim.pools {
		pool := routing.Pool{Name: p.name}
		for _, a := range sim.agents {
			switch {
			case a.pool != p.name:
			case sim.scenario.LinkAllZones || a.zone == e.zone:
				e.agents[a.name] = a
				pool.Targets = append(pool.Targets, routing.Target{Agent: a.name, Requests: new(routing.Counter)})
			default:
				pool.Remote = append(pool.Remote, routing.RemoteTarget{Agent: a.name, AvailabilityZone: a.zone})
			}
		}
		for _, peer := range sim.entries {
			if peer.zone != e.zone && !sim.scenario.LinkAllZones {
				pool.Peers = append(pool.Peers, routing.Peer{
					Entry: peer.name, AvailabilityZone: peer.zone, Requests: new(routing.Counter),
				})
			}
		}
		e.snapshot.Pools = append(e.snapshot.Pools, pool)
	}
}

// peerHeartbeat sends the load of the entry's availability zone to its peer entries in
// other zones, where it arrives after ReportLag.
func (sim *simulation) peerHeartbeat(e *entry) {
	for _, p := range sim.pools {
		load := e.snapshot.ZoneLoad(p.name)
		sim.clock.after(sim.scenario.ReportLag, func() {
			for _, other := range sim.entries {
				other.handlePeerReport(e.name, p.name, load)
			}
		})
	}
}

func (sim *simulation) startArrivals() {
	for i, o := range organisations() {
		for j, p := range sim.pools {
			stream := uint64(2 + i*len(sim.pools) + j)
			a := &arrivals{sim: sim, org: o, pool: p, rng: rand.New(rand.NewPCG(sim.scenario.Seed, stream))}
			a.schedule()
		}
	}
}

// dispatch sends a request to a random entry. It simulates the platform's load balancer,
// which distributes requests evenly.
func (sim *simulation) dispatch(req *request) {
	sim.requests = append(sim.requests, req)
	sim.entries[sim.balancerRNG.IntN(len(sim.entries))].serve(req)
}

func (sim *simulation) entry(name string) *entry {
	for _, e := range sim.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// delay returns the one-way delay between two availability zones.
func (sim *simulation) delay(from, to string) time.Duration {
	if from == to {
		return inZoneDelay
	}
	return crossZoneDelay
}

// afterConfigDelay schedules f after a random delay below configDelay.
func (sim *simulation) afterConfigDelay(f func()) {
	sim.clock.after(time.Duration(sim.clock.rng.Int64N(int64(configDelay))), f)
}
