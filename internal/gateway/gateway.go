// Package gateway serves callers in front of targets that it reaches directly. A
// request goes through a pipeline of filters, one file each: identify, route,
// deadline, admit; then dispatch and relay.
//
// One goroutine owns the control state and publishes immutable views of it. Traffic
// reads views; what it learns of targets goes into the balancer under a short lock.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/observe"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/retry"
	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/internal/upstream"
)

// Headers names the header fields that callers and targets of a deployment use.
type Headers struct {
	// Attempt is the id of one attempt of a caller.
	Attempt string
	// Deadline is the time that is left, in milliseconds.
	Deadline string
	// Signature proves that a target made the answer.
	Signature string
	// Organisation tells a target whose request it is.
	Organisation string
	// ExpectTarget makes any target but the one with this id refuse the request.
	ExpectTarget string
	// Load is a target's running and waiting requests and its slots.
	Load string
	// NotExecuted says that the target did not run the request.
	NotExecuted string
	// LastEvent is the id after which a stream goes on.
	LastEvent string
	// Urgency orders requests at a target; the lowest number is first.
	Urgency string
}

// EngineProbe asks a target for its lock-step group; an empty name means that it has none.
type EngineProbe func(ctx context.Context, addr string) (group string, err error)

// Options are the identity and the collaborators of a Gateway.
type Options struct {
	Settings *settings.Gateway
	Headers  Headers
	Source   fleet.Source
	Probe    EngineProbe
	Logger   *log.Logger
	Metrics  tally.Scope
	// Broken receives errors that end the process.
	Broken func(error)
}

// Gateway serves callers on one instance.
type Gateway struct {
	opts   Options
	start  time.Time
	events chan event
	view   atomic.Pointer[view]
	client *upstream.Client
	ends   *observe.Ends
	count  counters

	mu       sync.Mutex
	balancer *placement.Balancer
	budgets  map[string]*retry.Window

	inFlight atomic.Int64
	// stoppedAt is when the stop began, or nil.
	stoppedAt atomic.Pointer[time.Time]
	server    *server
}

// view is an immutable copy of the control state.
type view struct {
	index   *fleet.Index
	targets map[string]fleet.Target
	// engines holds the ids of model engines by their instance's IP number.
	engines map[string]string
	// loaded tells that the store has been read, so that requests can be judged.
	loaded   bool
	stopping bool
	shares   shares
}

// shares is this gateway's part of what all gateways may do together.
type shares struct {
	gateways              int
	retries               retry.WindowLimits
	coldFactor, coldSlack float64
}

// New returns a Gateway; Run starts it.
func New(opts Options) *Gateway {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	g := &Gateway{
		opts:     opts,
		start:    time.Now(),
		events:   make(chan event, eventQueue),
		client:   upstream.New(upstream.Names{Attempt: opts.Headers.Attempt, NotExecuted: opts.Headers.NotExecuted}),
		ends:     observe.NewEnds(opts.Metrics, "requests", "request_duration"),
		count:    newCounters(opts.Metrics),
		balancer: placement.New(opts.Settings.AvailabilityZone, rng),
		budgets:  make(map[string]*retry.Window),
	}
	g.view.Store(&view{})
	g.server = newServer(g)
	return g
}

// now returns the time since the gateway's start, as the pure packages count it.
func (g *Gateway) now() time.Duration { return time.Since(g.start) }

// Ready returns an error while the balancer in front should send no callers here.
func (g *Gateway) Ready() error {
	v := g.view.Load()
	switch {
	case v.stopping:
		return apierr.New(apierr.KindDraining, g.opts.Settings.Name)
	case !v.loaded:
		return apierr.New(apierr.KindConfigUnavailable, g.opts.Settings.Name)
	default:
		return nil
	}
}

// mayRepeat takes one repeat of a service from the retry budget.
func (g *Gateway) mayRepeat(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).Take(g.now())
}

// countRequest adds a caller's request to its service's budget.
func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).Request(g.now())
}

// budget returns a service's retry budget; the lock is held.
func (g *Gateway) budget(service string) *retry.Window {
	w := g.budgets[service]
	if w == nil {
		w = retry.NewWindow(g.view.Load().shares.retries)
		g.budgets[service] = w
	}
	return w
}
