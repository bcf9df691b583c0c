// Package group runs expert-map changes for one rank of an expert-parallel group.
//
// A Driver belongs to the rank's agent. It carries the orders of package
// expertmap to the rank's engine, competes for the group's lease, and, while it
// holds the lease, coordinates the changes of all ranks. The ranks of a group find
// each other through objects that each agent writes once at its start.
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
	// tickInterval is the period of the driver's housekeeping.
	tickInterval = 50 * time.Millisecond
	// candidates is the number of ranks, from 0, whose agents compete for the lease;
	// the others cost the platform nothing at rest.
	candidates = 3
	// helloInterval is the period at which a rank without a map asks to join.
	helloInterval = 500 * time.Millisecond
	// registryInterval is the period of reading the group's members.
	registryInterval = 5 * time.Second
	// leaseTerm is the term of a group's lease.
	leaseTerm = 3 * time.Second
	// engineInterval is the period of looking for a restart of the engine.
	engineInterval = 250 * time.Millisecond
	// engineClockSlack covers the error of an engine's start time as it is measured.
	engineClockSlack = 100 * time.Millisecond
	// startRetry is the pause between two attempts to start the rank.
	startRetry = 500 * time.Millisecond
	// releaseTimeout bounds giving the lease up at a stop.
	releaseTimeout = 2 * time.Second
	// eventQueue bounds the events that wait for the driver.
	eventQueue = 256
)

// Options describe one rank of a group.
type Options struct {
	// Group is the group's name, Rank this rank's number from 0.
	Group string
	Rank  int
	// Identity is the agent's identity.
	Identity message.Identity
	// Store is the platform's store.
	Store platform.Store
	// Engine is the rank's engine.
	Engine Engine
	// Dial keeps a link to another agent alive.
	Dial func(addr string)
	// Logger receives one line for each event.
	Logger *log.Logger
}

// Config is what the configuration says of the group.
type Config struct {
	// Shape is the size of the group's expert map.
	Shape rebalance.Shape
	// ChecksFencing tells that the engine refuses orders with an old fencing number.
	ChecksFencing bool
	// ExpertSize is the size of one expert's weights in bytes.
	ExpertSize int64
	// WeightRate is the group's share of the weight store's rate in bytes a second.
	WeightRate int64
	// RebalanceInterval is the time between two decisions about the map.
	RebalanceInterval time.Duration
}

// ConfigOf returns the Config of a pool's groups; ok is false for pools without one.
func ConfigOf(p *config.Pool) (c Config, ok bool) {
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

	// cfg is nil until the first configuration; the driver waits for it.
	cfg *Config
	// rank is nil until it has started, also after a restart; incarnation is then zero, so that the
	// results of its earlier loads and orders are dropped.
	rank        *expertmap.Rank
	incarnation uint64
	starting    bool
	// blank tells that the engine holds no map yet.
	blank       bool
	helloAt     time.Duration
	engineBegan time.Time
	coordinator *expertmap.Coordinator
	fence       uint64
	plan        *planning
	// loadedMap is the map whose weights the rank loaded last; the next load is paced
	// by what it adds to this one.
	loadedMap []byte
	pacer     rebalance.Pacer
	// preload is the planned map that the ranks are loading, nil if there is none or
	// another rank coordinates; loading is the preload that this rank is carrying out.
	preload      *preload
	preloadRound uint64
	loading      preloadKey
	peers        map[string]link.Peer
	members      map[int]Member

	mu    sync.Mutex
	state State
}

// New returns a Driver; Run starts it.
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

// Configure begins the driver's work. The first configuration stands until the
// process ends, as all ranks of a group must agree on it.
func (d *Driver) Configure(c Config) { d.deliver(configured{cfg: c}) }

// Run drives the rank until ctx ends; then it gives the lease up.
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
		d.publish()
	}
	if d.cfg == nil || !d.candidate() {
		return
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	d.keeper.Release(release)
}

// candidate reports whether this rank's agent competes for the group's lease.
func (d *Driver) candidate() bool { return d.opts.Rank < candidates }

// now returns the time since the driver's start, as package expertmap counts it.
func (d *Driver) now() time.Duration { return time.Since(d.start) }

// post hands an event to the driver; when it is behind, the event is lost and its
// sender repeats it.
func (d *Driver) post(ev event) {
	select {
	case d.events <- ev:
	default:
	}
}

// begin starts the driver's parts once the configuration is known.
func (d *Driver) begin(ctx context.Context, c Config) {
	d.cfg = &c
	d.plan = newPlanning(c)
	d.pacer.Rate = c.WeightRate / int64(c.Shape.Ranks)
	if d.candidate() {
		go d.keeper.Run(context.WithoutCancel(ctx))
	}
	go d.watchRegistry(ctx, c.Shape.Ranks)
	go d.watchEngine(ctx)
	d.restartRank(ctx)
}

// deliver hands an event over that must not be lost, unless Run has ended.
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
		d.coordinate(ctx, expertmap.Tick{})
		d.rebalance(ctx)
	}
	d.tickPreload(ctx)
	d.tickHello(ctx)
}

// logEvent begins the line of an event of the group.
func (d *Driver) logEvent(name string) *log.Entry {
	return d.opts.Logger.Info().Str("event", name).Str("group", d.opts.Group).Int("rank", d.opts.Rank)
}
