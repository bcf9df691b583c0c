// Package entry is the callers' side of gentiantrail: it takes requests over HTTP
// and passes them through a pipeline of filters to a target of its own
// availability zone, or to a peer entry of another one.
//
// One goroutine owns the control state (links, members, reports, configuration)
// and publishes an immutable view of it. Traffic goroutines read the view and
// send events; they never lock control state.
package entry

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/observe"
	"github.com/gentiantrail/gentiantrail/internal/retry"
)

const (
	// tickInterval is the least time between two views that late reports cause.
	tickInterval = 20 * time.Millisecond
	// reportInterval is the period of checks whether peers need a report.
	reportInterval = 500 * time.Millisecond
	// eventQueue bounds the events that wait for the control goroutine.
	eventQueue = 8192
)

// Options are the identity and the collaborators of an Entry.
type Options struct {
	// Identity names the entry.
	Identity message.Identity
	// MaxRequests is the most requests in flight; more are refused.
	MaxRequests int
	// Dial keeps a link to an address alive.
	Dial func(addr string)
	// Undial gives an address up.
	Undial func(addr string)
	// Logger receives one line for each event.
	Logger *log.Logger
	// Metrics receives counters and timers.
	Metrics tally.Scope
}

// Entry serves callers of one availability zone.
type Entry struct {
	opts   Options
	start  time.Time
	events chan event
	ctl    *control
	view   atomic.Pointer[view]
	calls  *callTable
	gate   *gate
	done   chan struct{}

	forwards *forwardTable
	// ends counts ended requests; the time is from their arrival to the end of the answer.
	ends *observe.Ends

	budgetMu sync.Mutex
	budget   *retry.Budget
	rngs     sync.Pool
}

// New returns an Entry; Run starts it.
func New(opts Options) *Entry {
	e := &Entry{
		opts:     opts,
		start:    time.Now(),
		events:   make(chan event, eventQueue),
		calls:    newCallTable(),
		gate:     newGate(opts.MaxRequests),
		done:     make(chan struct{}),
		forwards: newForwardTable(),
		ends:     observe.NewEnds(opts.Metrics, "requests", "request_duration"),
		budget:   retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst),
	}
	e.rngs.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	e.ctl = newControl(e)
	e.ctl.publish()
	return e
}

// Run handles events until Stop has been called, no request is in flight and
// stopLinger has passed.
func (e *Entry) Run() {
	defer close(e.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !e.ctl.finished() {
		select {
		case ev := <-e.events:
			ev.apply(e.ctl)
		case <-timer.C:
			e.ctl.tick()
		}
		timer.Reset(e.ctl.due() - e.now())
	}
}

// Stop refuses new work, tells the peers, and lets Run return once no request is in flight.
func (e *Entry) Stop() { e.post(stopAsked{}) }

// Done is closed when Run has returned.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Configure puts a configuration in force.
func (e *Entry) Configure(x *config.Index) { e.post(configured{index: x}) }

// Ready returns an error while the balancer should send no callers here.
func (e *Entry) Ready() error {
	v := e.view.Load()
	switch {
	case v.stopping:
		return apierr.New(apierr.KindDraining, e.opts.Identity.Name)
	case v.index == nil:
		return apierr.New(apierr.KindConfigUnavailable, e.opts.Identity.Name)
	default:
		return nil
	}
}

// post hands an event to the control goroutine; after Run returned it is dropped.
func (e *Entry) post(ev event) {
	select {
	case e.events <- ev:
	case <-e.done:
	}
}

// hint hands over an event that may be lost when the control goroutine is behind.
func (e *Entry) hint(ev event) {
	select {
	case e.events <- ev:
	default:
	}
}

// now returns the time since the entry's start, as the pure packages count it.
func (e *Entry) now() time.Duration { return time.Since(e.start) }

// Up implements link.Handler.
func (e *Entry) Up(p link.Peer) { e.post(peerUp{peer: p}) }

// Down implements link.Handler. Calls on the link may or may not have run.
func (e *Entry) Down(p link.Peer, cause error) {
	e.calls.lost(p, apierr.Wrap(apierr.KindLinkLost, p.Identity().Name, cause))
	e.forwards.lost(p)
	e.post(peerDown{peer: p, cause: cause})
}

// Message implements link.Handler.
func (e *Entry) Message(p link.Peer, m message.Message) {
	switch m := m.(type) {
	case *message.Accepted:
		e.hint(loadSeen{peer: p, load: m.Load})
	case *message.ResponseHead:
		e.calls.deliver(p, m.ID, m)
		if m.Whole {
			e.hint(loadSeen{peer: p, load: m.Load})
		}
	case *message.ResponseData:
		e.calls.deliver(p, m.ID, m)
	case *message.ResponseEnd:
		e.calls.deliver(p, m.ID, m)
		e.hint(loadSeen{peer: p, load: m.Load})
	case *message.Withdrawn:
		e.calls.deliver(p, m.ID, m)
	case *message.Heartbeat:
		e.post(heartbeat{peer: p, beat: m})
	case *message.ZoneReport:
		e.post(zoneReport{peer: p, report: m})
	case *message.Members:
		e.post(members{list: m.Members})
	default:
		e.serveForward(p, m)
	}
}

// mayRetry applies the retry rule and its budget.
func (e *Entry) mayRetry(a retry.Attempt) bool {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	return retry.Allowed(a, e.budget)
}

// succeeded fills the retry budget.
func (e *Entry) succeeded() {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	e.budget.Succeeded()
}
