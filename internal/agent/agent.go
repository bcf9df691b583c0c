// Package agent controls all access to one target.
//
// A request passes the stages accept, admit, claim, begin, call, relay and record. One
// goroutine owns the control state: which requests wait or run, the outcome of those
// that ended, the target's health. Each running request has a goroutine of its
// own that talks to the target and relays its answer.
package agent

import (
	"context"
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
	// outcomeGrace is how long a run that may not be repeated may outlast its
	// caller's deadline before its connection to the target is closed.
	outcomeGrace = time.Minute
	// stopLinger is the least time between telling the entries of the stop and the
	// agent's end; requests that they sent before are refused meanwhile.
	stopLinger = 500 * time.Millisecond
	// eventQueue bounds the events that wait for the control goroutine.
	eventQueue = 4096
	// assumedServiceTime is used until the target has completed a request.
	assumedServiceTime = 100 * time.Millisecond
)

// Options are the collaborators and the identity of an Agent.
type Options struct {
	// Identity names the agent; its Pool selects the limits from the configuration.
	Identity message.Identity
	// Target calls the target.
	Target *target.Client
	// Claims makes keyed requests run at most once.
	Claims Claimer
	// Dial keeps a link to an entry's address alive.
	Dial func(addr string)
	// Undial gives an address up.
	Undial func(addr string)
	// HealthInterval is the period of the target's health check. Default 250 ms.
	HealthInterval time.Duration
	// Logger receives one line for each event.
	Logger *log.Logger
	// Metrics receives counters and timers.
	Metrics tally.Scope
}

// Agent serves the requests of one target.
type Agent struct {
	opts   Options
	start  time.Time
	events chan event
	ctl    *control
	load   atomic.Pointer[message.Load]
	parent context.Context
	cancel context.CancelFunc
	done   chan struct{}
	// ends counts refused and ended requests; the time is from admission to the end.
	ends *observe.Ends
}

// New returns an Agent; Run starts it.
func New(opts Options) *Agent {
	if opts.HealthInterval == 0 {
		opts.HealthInterval = defaultHealthInterval
	}
	a := &Agent{
		opts:   opts,
		start:  time.Now(),
		events: make(chan event, eventQueue),
		done:   make(chan struct{}),
		ends:   observe.NewEnds(opts.Metrics, "runs", "run_duration"),
	}
	a.parent, a.cancel = context.WithCancel(context.Background())
	a.load.Store(&message.Load{})
	a.ctl = newControl(a)
	return a
}

// Run handles events until Stop has been called, no request waits or runs and
// stopLinger has passed.
func (a *Agent) Run() {
	defer close(a.done)
	defer a.cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !a.ctl.finished() {
		select {
		case ev := <-a.events:
			ev.apply(a.ctl)
		case <-timer.C:
			a.ctl.tick()
		}
		timer.Reset(a.ctl.due() - a.now())
	}
}

// Stop refuses new work, tells the entries, and lets Run return once all work has ended.
func (a *Agent) Stop() { a.post(stopAsked{}) }

// Done is closed when Run has returned.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Ready returns an error while the agent takes no new work.
func (a *Agent) Ready() error {
	load := a.load.Load()
	if load.State == message.TargetDown || load.State == message.TargetLeaving {
		return apierr.New(apierr.KindNoTarget, load.State.String())
	}
	return nil
}

// Configure puts a configuration in force.
func (a *Agent) Configure(x *config.Index) { a.post(configured{index: x}) }

// post hands an event to the control goroutine; after Run returned it is dropped.
func (a *Agent) post(ev event) {
	select {
	case a.events <- ev:
	case <-a.done:
	}
}

// now returns the time since the agent's start, as the pure packages count it.
func (a *Agent) now() time.Duration { return time.Since(a.start) }

// Up implements link.Handler.
func (a *Agent) Up(p link.Peer) { a.post(peerUp{peer: p}) }

// Down implements link.Handler.
func (a *Agent) Down(p link.Peer, cause error) { a.post(peerDown{peer: p, cause: cause}) }

// Message implements link.Handler.
func (a *Agent) Message(p link.Peer, m message.Message) {
	switch m := m.(type) {
	case *message.Request:
		a.post(offered{peer: p, req: m})
	case *message.Withdraw:
		a.post(withdrawAsked{peer: p, id: m.ID})
	case *message.Cancel:
		a.post(cancelled{peer: p, id: m.ID})
	case *message.Credit:
		a.post(credited{peer: p, id: m.ID, bytes: m.Bytes})
	case *message.Members:
		a.post(members{list: m.Members})
	}
}

// admissionConfig returns the bounds of the agent's pool.
func admissionConfig(p *config.Pool) admission.Config {
	return admission.Config{
		Limit:          p.Limit,
		ColdLimit:      p.ColdLimit,
		ProbeWhileCold: p.ProbeWhileCold,
		QueueLimit:     p.QueueLimit,
		ServiceTime:    assumedServiceTime,
	}
}
