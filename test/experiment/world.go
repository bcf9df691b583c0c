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
	// Load is the offered load as a share of the warm capacity.
	Load float64
	// ReportLag is the age of a load report when an entry receives it.
	ReportLag time.Duration
	// Piggyback lets answers carry the agent's load as well.
	Piggyback bool
	// Flood multiplies the large organisations' load from Phases.Drained to Phases.Returned.
	Flood float64
	// KeepZone leaves out the drain.
	KeepZone bool
	// DrainedZone is the index of the availability zone that is drained.
	DrainedZone int
	// Router chooses targets; Direct gives entries all targets of the region.
	Router router
	// Direct lets entries reach targets of all availability zones without a peer.
	Direct bool
	// FixedLimit replaces admission and warm-up by a fixed limit and a queue.
	FixedLimit bool
	// UnlimitedRetries repeats every failed attempt until the deadline.
	UnlimitedRetries bool
	// Entries is the number of entries in each availability zone; nil means entriesPerZone.
	Entries []int
	// Pools are the target pools; nil means drafting and permits.
	Pools []poolSpec
	// ColdStart lets all engines start cold.
	ColdStart bool
	// Phases are the instants that the run is cut at.
	Phases Phases
}

// Phases are the instants of a run.
type Phases struct {
	Measured, Drained, Returned, Settled, End time.Duration
}

// rate returns the requests a second of one organisation to one pool.
func (s *Scenario) rate(now time.Duration, p poolSpec, o *organisation) float64 {
	rate := s.Load * p.capacity() * o.share
	if s.Flood > 1 && o.large && now >= s.Phases.Drained && now < s.Phases.Returned {
		rate *= s.Flood
	}
	return rate
}

var zones = []string{"sk-a", "sk-b", "sk-c"}

// entriesPerZone is the number of entries in each availability zone.
var entriesPerZone = []int{3, 3, 2}

const (
	// heartbeatInterval is the interval of load reports.
	heartbeatInterval = time.Second
	// configDelay is the longest time until a process knows a new configuration.
	configDelay = time.Second
	// expireInterval is how often an agent looks for waiting requests to give up.
	expireInterval = 50 * time.Millisecond
)

// world is one deployment.
type world struct {
	scenario *Scenario
	clock    *clock
	pools    []poolSpec
	agents   []*agent
	entries  []*entry
	balancer *rand.Rand
	results  []result
	requests []*request
	attempts int
	falls    int
	// starts and prefilled are sums over the engines of each pool.
	starts    map[string]int
	prefilled map[string]time.Duration
}

// run plays a scenario.
func run(s Scenario) *world {
	if s.Entries == nil {
		s.Entries = entriesPerZone
	}
	if s.Pools == nil {
		s.Pools = []poolSpec{draftingPool(), permitPool()}
	}
	w := &world{
		scenario: &s,
		clock:    newClock(s.Seed),
		pools:    s.Pools,
		starts:   make(map[string]int), prefilled: make(map[string]time.Duration),
		balancer: rand.New(rand.NewPCG(s.Seed, 1)),
	}
	w.buildAgents()
	w.buildEntries()
	w.startArrivals()
	if !s.KeepZone {
		w.clock.after(s.Phases.Drained, w.drain)
		w.clock.after(s.Phases.Returned, w.restore)
	}
	w.clock.runUntil(s.Phases.End)
	w.closeBooks()
	return w
}

func (w *world) buildAgents() {
	for _, p := range w.pools {
		for z, n := range p.targets {
			for i := range n {
				a := w.newAgent(fmt.Sprintf("%s-%s-%d", p.name, zones[z], i), zones[z], p)
				if !w.scenario.ColdStart {
					a.engine.completed = p.engine.warmAfter
				}
				w.agents = append(w.agents, a)
			}
		}
	}
}

func (w *world) newAgent(name, zone string, p poolSpec) *agent {
	a := &agent{
		name: name, zone: zone, pool: p.name, clock: w.clock,
		engine: &engine{spec: p.engine, clock: w.clock, startID: 1},
		jobs:   make(map[uint64]*job),
	}
	a.admitter = w.newAdmitter(p)
	stopped := func() bool { return a.stopped }
	w.clock.every(expireInterval, stopped, func() {
		a.apply(admission.Effects{Refused: a.admitter.Expire(w.clock.now)})
	})
	w.clock.every(heartbeatInterval, stopped, func() { w.heartbeat(a) })
	w.clock.after(0, func() { w.heartbeat(a) })
	return a
}

func (w *world) newAdmitter(p poolSpec) admitter {
	if w.scenario.FixedLimit {
		return &fixedLimit{limit: p.engine.limit, queueLimit: queueFactor * p.engine.limit}
	}
	return admission.New(admission.Config{
		Limit: p.engine.limit, ColdLimit: p.engine.coldLimit, ProbeWhileCold: true,
		QueueLimit: queueFactor * p.engine.limit, ServiceTime: p.meanDecode,
	})
}

// queueFactor is the agents' queue limit in limits.
const queueFactor = 4

// heartbeat sends an agent's load, and its engine's report to the agent, late.
func (w *world) heartbeat(a *agent) {
	load := a.admitter.Load(w.clock.now)
	startID := a.engine.startID
	cold := a.engine.warmth() < 1
	w.clock.after(w.scenario.ReportLag, func() {
		a.apply(a.admitter.Report(w.clock.now, startID, cold))
		for _, e := range w.entries {
			if e.agents[a.name] == a {
				e.report(a.name, load)
			}
		}
	})
}

func (w *world) buildEntries() {
	for z, n := range w.scenario.Entries {
		for i := range n {
			w.entries = append(w.entries, &entry{
				name: fmt.Sprintf("entry-%s-%d", zones[z], i), zone: zones[z], world: w,
				budget: retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst),
				agents: make(map[string]*agent),
			})
		}
	}
	for _, e := range w.entries {
		w.buildSnapshot(e)
		w.clock.every(heartbeatInterval, func() bool { return false }, func() { w.peerHeartbeat(e) })
	}
}

func (w *world) buildSnapshot(e *entry) {
	e.snap = &routing.Snapshot{AvailabilityZone: e.zone}
	for _, p := range w.pools {
		pool := routing.Pool{Name: p.name}
		for _, a := range w.agents {
			switch {
			case a.pool != p.name:
			case w.scenario.Direct || a.zone == e.zone:
				e.agents[a.name] = a
				pool.Targets = append(pool.Targets, routing.Target{Agent: a.name, Sent: new(routing.Counter)})
			default:
				pool.Remote = append(pool.Remote, routing.RemoteTarget{Agent: a.name, AvailabilityZone: a.zone})
			}
		}
		for _, peer := range w.entries {
			if peer.zone != e.zone && !w.scenario.Direct {
				pool.Peers = append(pool.Peers, routing.Peer{
					Entry: peer.name, AvailabilityZone: peer.zone, Sent: new(routing.Counter),
				})
			}
		}
		e.snap.Pools = append(e.snap.Pools, pool)
	}
}

// peerHeartbeat tells the entries of other availability zones about this one's load.
func (w *world) peerHeartbeat(e *entry) {
	for _, p := range w.pools {
		load := e.snap.ZoneLoad(p.name)
		w.clock.after(w.scenario.ReportLag, func() {
			for _, other := range w.entries {
				other.peerReport(e.name, p.name, load)
			}
		})
	}
}

func (w *world) startArrivals() {
	for i, o := range organisations() {
		for j, p := range w.pools {
			stream := uint64(2 + i*len(w.pools) + j)
			a := &arrivals{world: w, org: o, pool: p, rng: rand.New(rand.NewPCG(w.scenario.Seed, stream))}
			a.schedule()
		}
	}
}

// arrive hands a request to an entry; the platform's balancer spreads evenly.
func (w *world) arrive(req *request) {
	w.requests = append(w.requests, req)
	w.entries[w.balancer.IntN(len(w.entries))].serve(req)
}

func (w *world) entry(name string) *entry {
	for _, e := range w.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (w *world) delay(from, to string) time.Duration {
	if from == to {
		return inZoneDelay
	}
	return crossZoneDelay
}

// soon runs f at a random time within configDelay.
func (w *world) soon(f func()) {
	w.clock.after(time.Duration(w.clock.rng.Int64N(int64(configDelay))), f)
}
