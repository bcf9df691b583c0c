package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// DriverOptions are the settings of a Driver and its connections to its process.
type DriverOptions struct {
	Follower FollowerOptions
	// Store is the platform's store.
	Store platform.Store
	// Send sends a message to the linked peer with the name. It must not block, and
	// need not report a failure.
	Send func(peer string, m message.Message)
	// Apply activates a configuration. Its revision is higher than in all earlier calls.
	Apply func(*Index)
	// Report receives events for the log.
	Report func(Report)
}

// Driver runs a Follower: it executes the Follower's effects and posts their results
// as events. The process posts the events about its peers:
//
//   - PeerUp, PeerDown for links to entries and agents;
//   - LiveEntries for each change of the live entries of the availability zone;
//   - PeerRevision for each heartbeat or zone report;
//   - PeerHead, PeerFetch, PeerFiles for the messages ConfigHead, ConfigFetch, ConfigFiles.
type Driver struct {
	opts    DriverOptions
	start   time.Time
	wake    chan struct{}
	current atomic.Pointer[Index]
	state   atomic.Pointer[FollowerState]

	mu    sync.Mutex
	queue []Event
}

// NewDriver returns a Driver; Run starts it.
func NewDriver(opts DriverOptions) *Driver {
	return &Driver{opts: opts, start: time.Now(), wake: make(chan struct{}, 1)}
}

// Post queues an event for the Follower. It never blocks.
func (d *Driver) Post(ev Event) {
	d.mu.Lock()
	d.queue = append(d.queue, ev)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// HandleMessage posts a message from a peer, and reports whether it is one for the Follower.
func (d *Driver) HandleMessage(peer string, m message.Message) bool {
	switch m := m.(type) {
	case *message.ConfigHead:
		d.Post(PeerHead{Peer: peer, Head: m.Head})
	case *message.ConfigFetch:
		d.Post(PeerFetch{Peer: peer, Digests: m.Digests})
	case *message.ConfigFiles:
		d.Post(PeerFiles{Peer: peer, Files: m.Files})
	default:
		return false
	}
	return true
}

// Current returns the active configuration, nil if there is none.
func (d *Driver) Current() *Index { return d.current.Load() }

// State returns the state for the state dump.
func (d *Driver) State() FollowerState {
	if s := d.state.Load(); s != nil {
		return *s
	}
	return FollowerState{}
}

// Run follows the configuration until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	f := NewFollower(d.opts.Follower, 0)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.step(ctx, f, Tick{})
		case <-d.wake:
			for _, ev := range d.takeQueued() {
				d.step(ctx, f, ev)
			}
		}
		state := f.State()
		d.state.Store(&state)
	}
}

func (d *Driver) takeQueued() []Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	events := d.queue
	d.queue = nil
	return events
}

func (d *Driver) step(ctx context.Context, f *Follower, ev Event) {
	for _, effect := range f.Step(time.Since(d.start), ev) {
		d.execute(ctx, effect)
	}
}

func (d *Driver) execute(ctx context.Context, effect Effect) {
	switch e := effect.(type) {
	case Activate:
		x := e.Config.Index()
		d.current.Store(x)
		d.opts.Apply(x)
	case SendPeer:
		d.opts.Send(e.Peer, e.Message)
	case Report:
		d.opts.Report(e)
	case ReadHead:
		go d.call(ctx, callTimeout, func(ctx context.Context) Event { return ReadHeadFrom(ctx, d.opts.Store) })
	case ReadFiles:
		go d.call(ctx, callTimeout, func(ctx context.Context) Event { return ReadFilesFrom(ctx, d.opts.Store, e) })
	case WatchHead:
		go d.call(ctx, e.Wait+callTimeout, func(ctx context.Context) Event { return WatchHeadFrom(ctx, d.opts.Store, e) })
	}
}

// call makes one call to the platform and posts its result.
func (d *Driver) call(ctx context.Context, timeout time.Duration, do func(context.Context) Event) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d.Post(do(ctx))
}
