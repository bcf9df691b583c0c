package lease

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// grant is the published state of a Keeper.
type grant struct {
	fence  uint64
	expiry time.Time
}

// Keeper competes for one lease on behalf of a process and renews it while it is held.
// One goroutine, Run, owns the state machine; the other methods are safe for concurrent
// use.
type Keeper struct {
	store     platform.Store
	key       string
	cfg       Config
	candidate *Candidate
	start     time.Time
	grant     atomic.Pointer[grant]
	events    chan Event
	changes   chan struct{}
	release   chan struct{}
	done      chan struct{}
}

// NewKeeper returns a Keeper of the lease object under key. The id must be unique for
// the incarnation of the process. The seed randomises the retry times.
func NewKeeper(store platform.Store, key string, cfg Config, id string, seed uint64) *Keeper {
	cfg = cfg.WithDefaults()
	return &Keeper{
		store: store, key: key, cfg: cfg,
		candidate: NewCandidate(cfg, id, seed),
		start:     time.Now(),
		events:    make(chan Event, 1),
		changes:   make(chan struct{}, 1),
		release:   make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
}

// Valid reports whether the lease is held now and returns its fence. It must be called
// right before each order; the order carries the fence.
func (k *Keeper) Valid() (fence uint64, ok bool) {
	g := k.grant.Load()
	if g == nil || !time.Now().Before(g.expiry) {
		return 0, false
	}
	return g.fence, true
}

// Changes returns a channel that receives a value after the lease was gained, renewed or
// lost. Values that have not been received yet are merged into one.
func (k *Keeper) Changes() <-chan struct{} { return k.changes }

// Release releases the lease immediately and waits until the platform has recorded it
// or ctx ends. If the platform cannot be reached, no error is returned and the lease
// expires at the end of its term.
func (k *Keeper) Release(ctx context.Context) {
	k.grant.Store(nil)
	select {
	case k.release <- struct{}{}:
	default:
	}
	select {
	case <-k.done:
	case <-ctx.Done():
	}
}

// Run competes for the lease and renews it until ctx ends or Release has finished. It
// must be called only once.
func (k *Keeper) Run(ctx context.Context) {
	defer close(k.done)
	defer k.publish(nil)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for finished := false; !finished; {
		var e Event = TickEvent{}
		select {
		case <-timer.C:
		case e = <-k.events:
		case <-k.release:
			e = ReleaseEvent{}
		case <-ctx.Done():
			return
		}
		finished = k.step(ctx, e)
		k.setTimer(timer)
	}
}

func (k *Keeper) setTimer(timer *time.Timer) {
	timer.Stop()
	if wake, ok := k.candidate.NextWake(); ok {
		timer.Reset(max(0, wake-time.Since(k.start)))
	}
}

// step passes e to the candidate, executes the effects and reports whether a release
// has finished.
func (k *Keeper) step(ctx context.Context, e Event) (finished bool) {
	for _, effect := range k.candidate.Step(time.Since(k.start), e) {
		switch effect := effect.(type) {
		case ReadEffect:
			go k.read(ctx)
		case WriteEffect:
			go k.write(ctx, effect)
		case GrantEffect:
			k.publish(&grant{fence: effect.Fence, expiry: k.start.Add(effect.Expiry)})
		case LostEffect:
			k.publish(nil)
		case DoneEffect:
			finished = true
		}
	}
	return finished
}

func (k *Keeper) publish(g *grant) {
	k.grant.Store(g)
	select {
	case k.changes <- struct{}{}:
	default:
	}
}

func (k *Keeper) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	o, err := k.store.Get(ctx, k.key)
	k.events <- ReadEvent{Object: o, Err: err}
}

func (k *Keeper) write(ctx context.Context, e WriteEffect) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	version, err := k.store.Put(ctx, k.key, e.Value, e.IfVersion)
	k.events <- WriteEvent{Version: version, Err: err}
}
