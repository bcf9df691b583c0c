// Package entry is the caller-facing side of gentiantrail: it accepts requests over
// HTTP and passes them through a pipeline of filters to a target in its own
// availability zone, or to a peer entry in another one.
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
	// tickInterval is the minimum time between two views that collected changes cause.
	tickInterval = 20 * time.Millisecond
	// reportCheckInterval is the interval at which the entry checks whether a report to
	// the peers is due.
	reportCheckInterval = 500 * time.Millisecond
	// eventQueueSize bounds the events that wait for the control goroutine.
	eventQueueSize = 8192
)

// Options are the identity and the dependencies of an Entry.
type Options struct {
	// Identity identifies the entry.
	Identity message.Identity
	// MaxRequests is the maximum number of requests in flight; further ones are refused.
	MaxRequests int
	// Dial starts to dial an address and keeps a link to it alive.
	Dial func(addr string)
	// StopDialling stops dialling an address and ends its link.
	StopDialling func(addr string)
	// Logger receives one line for each event.
	Logger *log.Logger
	// Metrics receives counters and timers.
	Metrics tally.Scope
}

// Entry serves callers of one availability zone.
type Entry struct {
	opts    Options
	start   time.Time
	events  chan event
	control *control
	view    atomic.Pointer[view]
	calls   *callTable
	limiter *limiter
	// requests contains the requests that hold a slot of limiter.
	requests *requestTable
	done     chan struct{}

	forwards *forwardTable
	suspects *suspects
	// metrics counts ended requests; durations are measured from a request's arrival to
	// the end of its answer.
	metrics *observe.RequestMetrics

	budgetMu sync.Mutex
	budget   *retry.Budget
	rngs     sync.Pool
}

// New returns an Entry. It handles events only while Run is running.
func New(opts Options) *Entry {
	e := &Entry{
		opts:     opts,
		start:    time.Now(),
		events:   make(chan event, eventQueueSize),
		calls:    newCallTable(),
		limiter:  newLimiter(opts.MaxRequests),
		requests: newRequestTable(),
		done:     make(chan struct{}),
		forwards: newForwardTable(),
		suspects: newSuspects(),
		metrics:  observe.NewRequestMetrics(opts.Metrics, "requests", "request_duration"),
		budget:   retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst),
	}
	e.rngs.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	e.control = newControl(e)
	e.control.publish()
	return e
}

// Run handles events until Stop has been called, no request is in flight and
// minStopTime has passed.
func (e *Entry) Run() {
	defer close(e.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !e.control.finished() {
		select {
		case ev := <-e.events:
			ev.apply(e.control)
		case <-timer.C:
			e.control.tick()
		}
		timer.Reset(e.control.nextTick() - e.now())
	}
}

// Stop makes the entry refuse new work and announces that to the peers. Run returns
// once no request is in flight and minStopTime has passed.
func (e *Entry) Stop() { e.post(stopRequested{}) }

// Done returns a channel that is closed when Run returns.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Configure applies a configuration.
func (e *Entry) Configure(x *config.Index) { e.post(configReceived{index: x}) }

// Ready returns an error while the load balancer should not send callers to this entry.
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

// post hands an event to the control goroutine and waits for room in the queue; once Run
// has returned, the event may be dropped.
func (e *Entry) post(ev event) {
	select {
	case e.events <- ev:
	case <-e.done:
	}
}

// tryPost hands an event to the control goroutine, or drops it if the queue is full.
func (e *Entry) tryPost(ev event) {
	select {
	case e.events <- ev:
	default:
	}
}

// now returns the time since the entry's start.
func (e *Entry) now() time.Duration { return time.Since(e.start) }

// Up implements link.Handler.
func (e *Entry) Up(p link.Peer) { e.post(linkOpened{peer: p}) }

// Down implements link.Handler. Calls on the link may or may not have run.
func (e *Entry) Down(p link.Peer, cause error) {
	e.calls.failAll(p, apierr.Wrap(apierr.KindLinkLost, p.Identity().Name, cause))
	e.forwards.cancelAll(p)
	e.post(linkClosed{peer: p, cause: cause})
}

// Message implements link.Handler.
func (e *Entry) Message(p link.Peer, m message.Message) {
	switch m := m.(type) {
	case *message.Accepted:
		e.tryPost(loadReceived{peer: p, load: m.Load})
	case *message.ResponseHead:
		e.calls.deliver(p, m.ID, m)
		if m.Complete {
			e.tryPost(loadReceived{peer: p, load: m.Load})
		}
	case *message.ResponseData:
		e.calls.deliver(p, m.ID, m)
	case *message.ResponseEnd:
		e.calls.deliver(p, m.ID, m)
		e.tryPost(loadReceived{peer: p, load: m.Load})
	case *message.Withdrawn:
		e.calls.deliver(p, m.ID, m)
	case *message.Heartbeat:
		e.post(heartbeatReceived{peer: p, heartbeat: m})
	case *message.ZoneReport:
		e.mergeEvidence(m.Evidence)
		e.post(zoneReportReceived{peer: p, report: m})
	case *message.Members:
		e.post(membersReceived{list: m.Members})
	default:
		e.handleForwardMessage(p, m)
	}
}

// mayRetry reports whether the retry rule and the retry budget allow another attempt.
func (e *Entry) mayRetry(a retry.Attempt) bool {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	return retry.Allowed(a, e.budget)
}

// recordSuccess adds the share of a successful request to the retry budget.
func (e *Entry) recordSuccess() {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	e.budget.RecordSuccess()
}
