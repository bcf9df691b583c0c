// Package agent controls all access to one target.
//
// Entries, the processes that accept the callers' requests, forward them to the agent
// over links. A request passes the stages accept, admit, claim, begin, call, relay and
// record. One goroutine owns the control state: the waiting and running requests, the
// outcomes of finished requests, and the target's health. Each running request has its own
// goroutine, which calls the target and relays the answer.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/admission"
	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/observe"
	"github.com/gentiantrail/gentiantrail/internal/target"
)

const (
	// tickInterval is the period of expiry checks while requests are open.
	tickInterval = 20 * time.Millisecond
	// heartbeatInterval is the period of load reports to entries.
	heartbeatInterval = 500 * time.Millisecond
	// outcomeGracePeriod is the time that a non-idempotent run may continue after its
	// caller's deadline before its connection to the target is closed.
	outcomeGracePeriod = time.Minute
	// minStopTime is the minimum time between the announcement of the stop to the entries
	// and the return of Run. Requests that were already in transit are refused during it.
	minStopTime = 500 * time.Millisecond
	// eventQueueSize is the maximum number of events that wait for the control goroutine.
	eventQueueSize = 4096
	// initialServiceTime is the assumed service time until the target has completed a request.
	initialServiceTime = 100 * time.Millisecond
)

// Options are the identity and the dependencies of an Agent.
type Options struct {
	// Identity identifies the agent; its Pool selects the limits from the configuration.
	Identity message.Identity
	// Target is the client for calls to the target.
	Target *target.Client
	// Claims ensures that a request with an idempotency key runs at most once.
	Claims Claimer
	// Dial starts to dial an entry's address and keeps a link to it alive.
	Dial func(addr string)
	// StopDialling stops dialling an address and ends its link.
	StopDialling func(addr string)
	// HealthInterval is the period of the target's health check. Default 250 ms.
	HealthInterval time.Duration
	// Logger receives one line for each event.
	Logger *log.Logger
	// Metrics receives counters and timers.
	Metrics tally.Scope
}

// Agent serves the requests of one target.
type Agent struct {
	opts    Options
	start   time.Time
	events  chan event
	control *control
	load    atomic.Pointer[message.Load]
	baseCtx context.Context
	cancel  context.CancelFunc
	// done is closed when the agent has stopped, closed when Run is to return.
	done, closed chan struct{}
	closeOnce    sync.Once
	// metrics counts refused and finished requests; durations are measured from admission
	// to the end of the run.
	metrics    *observe.RequestMetrics
	targetEnds targetEnds
}

// New returns an Agent; Run starts it.
func New(opts Options) *Agent {
	if opts.HealthInterval == 0 {
		opts.HealthInterval = defaultHealthInterval
	}
	a := &Agent{
		opts:    opts,
		start:   time.Now(),
		events:  make(chan event, eventQueueSize),
		done:    make(chan struct{}),
		closed:  make(chan struct{}),
		metrics: observe.NewRequestMetrics(opts.Metrics, "runs", "run_duration"),
	}
	a.baseCtx, a.cancel = context.WithCancel(context.Background())
	a.load.Store(&message.Load{})
	a.control = newControl(a)
	return a
}

// Run handles events until Close. It closes Done's channel once Stop has been called, no
// request waits or runs, and minStopTime has passed; until Close it refuses requests.
func (a *Agent) Run() {
	defer a.cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for stopped := false; ; {
		select {
		case ev := <-a.events:
			ev.apply(a.control)
		case <-timer.C:
			a.control.tick()
		case <-a.closed:
			return
		}
		if !stopped && a.control.finished() {
			stopped = true
			close(a.done)
		}
		timer.Reset(a.control.nextTick() - a.now())
	}
}

// Stop makes the agent refuse new requests and announces that to the entries. Done tells when
// all open requests have ended and minStopTime has passed.
func (a *Agent) Stop() { a.post(stopRequested{}) }

// Done returns a channel that is closed when the agent has stopped. Its links may be closed
// then.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Close ends Run, and the requests that are open. The links must be closed before, since
// later messages are dropped.
func (a *Agent) Close() { a.closeOnce.Do(func() { close(a.closed) }) }

// Ready returns an error while the target is down or takes no new work.
func (a *Agent) Ready() error {
	load := a.load.Load()
	if load.State == message.TargetDown || load.State == message.TargetLeaving {
		return apierr.New(apierr.KindNoTarget, load.State.String())
	}
	return nil
}

// Configure applies a configuration.
func (a *Agent) Configure(x *config.Index) { a.post(configReceived{index: x}) }

// post hands an event to the control goroutine and waits for room in the queue; after Close,
// the event may be dropped.
func (a *Agent) post(ev event) {
	select {
	case a.events <- ev:
	case <-a.closed:
	}
}

// now returns the time since the agent's start, which the packages without a clock of
// their own use as the current time.
func (a *Agent) now() time.Duration { return time.Since(a.start) }

// Up implements link.Handler.
func (a *Agent) Up(p link.Peer) { a.post(linkOpened{peer: p}) }

// Down implements link.Handler.
func (a *Agent) Down(p link.Peer, cause error) { a.post(linkClosed{peer: p, cause: cause}) }

// Message implements link.Handler.
func (a *Agent) Message(p link.Peer, m message.Message) {
	switch m := m.(type) {
	case *message.Request:
		a.post(requestReceived{peer: p, req: m})
	case *message.Withdraw:
		a.post(withdrawRequested{peer: p, id: m.ID})
	case *message.Cancel:
		a.post(requestCancelled{peer: p, id: m.ID})
	case *message.Credit:
		a.post(creditReceived{peer: p, id: m.ID, bytes: m.Bytes})
	case *message.Members:
		a.post(membersReceived{list: m.Members})
	}
}

// admissionConfig returns the admission limits of a pool.
func admissionConfig(p *config.Pool) admission.Config {
	return admission.Config{
		Limit:          p.Limit,
		ColdLimit:      p.ColdLimit,
		ProbeWhileCold: p.ProbeWhileCold,
		QueueLimit:     p.QueueLimit,
		ServiceTime:    initialServiceTime,
	}
}
