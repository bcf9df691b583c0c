// Package group runs expert-map changes for one rank of a lock-step group, that is
// an expert-parallel group whose ranks run every step together. Packages mapper and
// mapswitch call a step a pass.
//
// Each rank's agent runs a Driver. The Driver passes the orders of package
// expertmap to the rank's engine. On some ranks it also competes for the group's
// lease and, while it holds the lease, coordinates the changes of all ranks. The
// ranks of a group find each other through objects in the platform's store, which
// each agent writes once at its start.
package group

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/expertmap"
	"github.com/gentiantrail/gentiantrail/internal/lease"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

const (
	// tickInterval is the period of the driver's periodic work.
	tickInterval = 50 * time.Millisecond
	// leaseCandidates is the number of ranks, counted from 0, whose agents compete
	// for the lease. The agents of the other ranks put no load on the platform while
	// the group is idle.
	leaseCandidates = 3
	// announceInterval is the period at which a rank without a map announces itself to join.
	announceInterval = 500 * time.Millisecond
	// membersInterval is the period at which the group's members are read.
	membersInterval = 5 * time.Second
	// leaseTerm is the term of a group's lease.
	leaseTerm = 3 * time.Second
	// engineInterval is the period at which the engine is checked for a restart.
	engineInterval = 250 * time.Millisecond
	// engineClockSlack is the tolerance for the measurement error of an engine's start time.
	engineClockSlack = 100 * time.Millisecond
	// startRetry is the pause between two attempts to start the rank.
	startRetry = 500 * time.Millisecond
	// releaseTimeout limits the time for releasing the lease at a stop.
	releaseTimeout = 2 * time.Second
	// eventQueue is the capacity of the driver's event queue.
	eventQueue = 256
)

// Options describe one rank of a group.
type Options struct {
	// Group is the group's name and Rank the number of this rank, counted from 0.
	Group string
	Rank  int
	// Identity is the agent's identity.
	Identity message.Identity
	// Store is the platform's store.
	Store platform.Store
	// Engine is the rank's engine.
	Engine Engine
	// Dial establishes a link to the agent at addr and keeps it alive.
	Dial func(addr string)
	// Logger receives one line for each logged event.
	Logger *log.Logger
}

// Config contains the group's settings.
type Config struct {
	// Shape is the size of the group's expert map.
	Shape rebalance.Shape
	// ChecksFencing is true if the engine refuses orders with an old fencing number.
	ChecksFencing bool
	// ExpertSize is the size of one expert's weights in bytes.
	ExpertSize int64
	// WeightRate is the group's share of the weight store's rate in bytes per second.
	WeightRate int64
	// RebalanceInterval is the time between two decisions on whether to change the map.
	RebalanceInterval time.Duration
}

// ConfigFromPool returns the Config of a pool's groups; ok is false if the pool has
// no groups.
func ConfigFromPool(p *config.Pool) (c Config, ok bool) {
	g := p.Group
	if g == nil {
		return Config{}, false
	}
	return Config{
		Shape: rebalance.Shape{
			Ranks: g.Ranks, Layers: g.Layers, Experts: g.Experts, SlotsPerRank: g.SlotsPerRank,
		},
		ChecksFencing:     p.ChecksFencing,
		ExpertSize:        int64(g.ExpertSize),
		WeightRate:        int64(g.WeightRate),
		RebalanceInterval: g.RebalanceInterval,
	}, true
}

// Driver runs one rank's part of its group.
type Driver struct {
	opts   Options
	start  time.Time
	keeper *lease.Keeper
	events chan event
	done   chan struct{}

	// cfg is nil until the first configuration arrives, for which the driver waits.
	cfg *Config
	// rank is nil until it has started, also after a restart. Meanwhile incarnation
	// is zero, so that results of earlier loads and orders are dropped.
	rank        *expertmap.Rank
	incarnation uint64
	starting    bool
	// lacksMap is true while the engine holds no map.
	lacksMap        bool
	announcedAt     time.Duration
	engineStartedAt time.Time
	coordinator     *expertmap.Coordinator
	fence           uint64
	plan            *planScheduler
	// loadedMap is the map whose weights the rank loaded last. The time that the next
	// load reserves in pacer depends on the weights that it adds to this map.
	loadedMap []byte
	pacer     rebalance.Pacer
	// preload is the planned map that the ranks are loading, or nil if there is none
	// or another rank coordinates. activePreload is the preload that this rank is
	// carrying out.
	preload       *preload
	preloadRound  uint64
	activePreload preloadKey
	peers         map[string]link.Peer
	members       map[int]Member

	mu    sync.Mutex
	state State
}

// New returns a Driver, which Run starts.
func New(opts Options) *Driver {
	key := "leases/" + opts.Group
	seed := opts.Identity.Incarnation
	return &Driver{
		opts:    opts,
		start:   time.Now(),
		keeper:  lease.NewKeeper(opts.Store, key, lease.Config{Term: leaseTerm}, holderID(opts.Identity), seed),
		events:  make(chan event, eventQueue),
		done:    make(chan struct{}),
		peers:   make(map[string]link.Peer),
		members: make(map[int]Member),
	}
}

// Configure sets the configuration and starts the driver's work. Only the first
// call has an effect until the process ends, because all ranks of a group must use
// the same configuration.
func (d *Driver) Configure(c Config) { d.deliver(configured{cfg: c}) }

// Run drives the rank until ctx ends; then it releases the lease.
func (d *Driver) Run(ctx context.Context) {
	defer close(d.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case ev := <-d.events:
			ev.apply(ctx, d)
		case <-d.keeper.Changes():
			d.checkLease(ctx)
		case <-tick.C:
			d.tick(ctx)
		case <-ctx.Done():
		}
		d.publishState()
	}
	if d.cfg == nil || !d.isCandidate() {
		return
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	d.keeper.Release(release)
}

// isCandidate reports whether this rank's agent competes for the group's lease.
func (d *Driver) isCandidate() bool { return d.opts.Rank < leaseCandidates }

// now returns the time since the driver's start, which is the clock that package
// expertmap uses.
func (d *Driver) now() time.Duration { return time.Since(d.start) }

// tryDeliver adds an event to the driver's queue. If the queue is full, the event is
// dropped and its sender repeats it.
func (d *Driver) tryDeliver(ev event) {
	select {
	case d.events <- ev:
	default:
	}
}

// startWithConfig starts the driver's components once the configuration is known.
func (d *Driver) startWithConfig(ctx context.Context, c Config) {
	d.cfg = &c
	d.plan = newPlanScheduler(c)
	d.pacer.Rate = c.WeightRate / int64(c.Shape.Ranks)
	if d.isCandidate() {
		go d.keeper.Run(context.WithoutCancel(ctx))
	}
	go d.watchMembers(ctx, c.Shape.Ranks)
	go d.watchEngine(ctx)
	d.restartRank(ctx)
}

// deliver adds an event that must not be lost to the driver's queue. It waits for
// room in the queue unless Run has ended.
func (d *Driver) deliver(ev event) {
	select {
	case d.events <- ev:
	case <-d.done:
	}
}

func (d *Driver) tick(ctx context.Context) {
	if d.cfg == nil {
		return
	}
	d.checkLease(ctx)
	if d.coordinator != nil {
		d.stepCoordinator(ctx, expertmap.Tick{})
		d.rebalance(ctx)
	}
	d.tickPreload(ctx)
	d.announceRank(ctx)
}

// logEvent returns a log entry for an event of the group.
func (d *Driver) logEvent(name string) *log.Entry {
	return d.opts.Logger.Info().Str("event", name).Str("group", d.opts.Group).Int("rank", d.opts.Rank)
}
