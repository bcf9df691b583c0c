package experiment

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/retry"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

const (
	// inZoneDelay is the one-way delay inside an availability zone.
	inZoneDelay = 100 * time.Microsecond
	// crossZoneDelay is the one-way delay between availability zones.
	crossZoneDelay = 500 * time.Microsecond
	// unlimitedRetryPause is the pause between attempts in the baseline with unlimited
	// retries.
	unlimitedRetryPause = 50 * time.Millisecond
)

// entry is a fake of the entry process that has only the routing decision, the retries
// and the links.
type entry struct {
	name     string
	zone     string
	sim      *simulation
	snapshot *routing.Snapshot
	budget   *retry.Budget
	agents   map[string]*agent
}

// transaction is one request that an entry is handling.
type transaction struct {
	entry    *entry
	req      *request
	hops     int
	attempts int
	busy     []string
	excluded []string
	noWait   bool
	done     bool
	onReply  func(reply)
	// abort cancels the attempt in flight.
	abort func()
}

// serve handles a request from a caller.
func (e *entry) serve(req *request) {
	t := &transaction{entry: e, req: req}
	t.onReply = func(r reply) { e.sim.record(req, r) }
	e.sim.clock.after(req.deadline-e.sim.clock.now, t.expire)
	t.nextAttempt()
}

// forward handles a request from another entry.
func (e *entry) forward(req *request, noWait bool, onReply func(reply)) *transaction {
	t := &transaction{entry: e, req: req, hops: 1, noWait: noWait, onReply: onReply}
	t.nextAttempt()
	return t
}

// finishWith ends the request with r, unless it has ended already.
func (t *transaction) finishWith(r reply) {
	if t.done {
		return
	}
	t.done = true
	t.onReply(r)
}

// expire ends a request whose deadline has passed.
func (t *transaction) expire() {
	if t.done {
		return
	}
	t.cancel()
	t.onReply(reply{err: apierr.New(apierr.KindTimeout, "deadline")})
}

// cancel ends the request without an answer.
func (t *transaction) cancel() {
	t.done = true
	if t.abort != nil {
		t.abort()
	}
}

// nextAttempt routes the request and starts an attempt.
func (t *transaction) nextAttempt() {
	sim := t.entry.sim
	if t.done {
		return
	}
	choice := sim.scenario.Router(t.entry, t.request())
	if choice.Destination == routing.NoDestination {
		t.retryOrFinish(reply{err: choice.Err, outcome: apierr.OutcomeNotRun}, choice)
		return
	}
	t.attempts++
	sim.attempts++
	choice.Requests().Begin()
	if choice.Destination == routing.ToAgent {
		t.toAgent(choice)
		return
	}
	t.toPeer(choice)
}

func (t *transaction) request() routing.Request {
	r := routing.Request{
		Pool:         t.req.pool,
		Service:      t.req.pool,
		Organisation: t.req.org.name,
		PrefixHash:   t.req.prefix,
		Remaining:    t.req.deadline - t.entry.sim.clock.now,
		Hops:         t.hops,
		NoWait:       t.noWait,
		Busy:         t.busy,
		Excluded:     t.excluded,
	}
	if !t.req.idempotent {
		r.IdempotencyKey = t.req.key
	}
	return r
}

// toAgent sends the request to an agent.
func (t *transaction) toAgent(c routing.Choice) {
	sim := t.entry.sim
	a := t.entry.agents[c.Target.Agent]
	delay := sim.delay(t.entry.zone, a.zone)
	release := releaseOnce(c.Target.Requests)
	sim.clock.after(delay, func() {
		id := a.offer(t.req, c, func(r reply) {
			sim.clock.after(delay, func() {
				release()
				t.entry.handlePiggybackedLoad(c.Target.Agent, a, r.load)
				t.handleReply(r, c)
			})
		})
		t.abort = func() {
			release()
			sim.clock.after(delay, func() { a.cancel(id) })
		}
		if t.done {
			t.abort()
		}
	})
}

// toPeer sends the request to an entry of another availability zone.
func (t *transaction) toPeer(c routing.Choice) {
	sim := t.entry.sim
	peer := sim.entry(c.Peer.Entry)
	release := releaseOnce(c.Peer.Requests)
	sim.clock.after(crossZoneDelay, func() {
		remote := peer.forward(t.req, c.NoWait, func(r reply) {
			sim.clock.after(crossZoneDelay, func() {
				release()
				t.handleReply(r, c)
			})
		})
		t.abort = func() {
			release()
			sim.clock.after(crossZoneDelay, func() {
				if !remote.done {
					remote.cancel()
				}
			})
		}
		if t.done {
			t.abort()
		}
	})
}

// releaseOnce returns a function that subtracts one request from the counter on its
// first call and does nothing on later calls.
func releaseOnce(requests *routing.Counter) func() {
	released := false
	return func() {
		if !released {
			released = true
			requests.End()
		}
	}
}

// handleReply handles the reply to an attempt.
func (t *transaction) handleReply(r reply, c routing.Choice) {
	if t.done {
		return
	}
	t.abort = nil
	if r.err == nil {
		t.entry.budget.RecordSuccess()
		t.finishWith(r)
		return
	}
	t.retryOrFinish(r, c)
}

// retryOrFinish retries a failed attempt if the retry rules allow it, and otherwise ends
// the request with r.
func (t *transaction) retryOrFinish(r reply, c routing.Choice) {
	sim := t.entry.sim
	if sim.scenario.UnlimitedRetries && t.hops == 0 {
		sim.clock.after(unlimitedRetryPause, t.nextAttempt)
		return
	}
	allowed := c.Destination != routing.NoDestination && retry.Allowed(retry.Attempt{
		Kind:       r.err.Kind,
		Outcome:    r.outcome,
		Idempotent: t.req.idempotent,
		Attempts:   t.attempts,
		Remaining:  t.req.deadline - sim.clock.now,
	}, t.entry.budget)
	if !allowed {
		t.finishWith(r)
		return
	}
	retried := t.request()
	retried.RecordRefusal(c, r.err.Kind)
	t.busy, t.excluded = retried.Busy, retried.Excluded
	t.nextAttempt()
}

// handlePiggybackedLoad handles the load in an answer from a, if the scenario has
// Piggyback set and no new incarnation has replaced a.
func (e *entry) handlePiggybackedLoad(name string, a *agent, load message.Load) {
	if e.sim.scenario.Piggyback && e.agents[name] == a {
		e.handleLoadReport(name, load)
	}
}

// handleLoadReport handles a load report from an agent.
func (e *entry) handleLoadReport(agent string, load message.Load) {
	for i := range e.snapshot.Pools {
		for j := range e.snapshot.Pools[i].Targets {
			t := &e.snapshot.Pools[i].Targets[j]
			if t.Agent == agent {
				t.Report.Update(load, t.Requests.InFlight())
			}
		}
	}
}

// handlePeerReport handles a load report from a peer entry on its availability zone.
func (e *entry) handlePeerReport(peer, pool string, load message.Load) {
	for i := range e.snapshot.Pools {
		for j := range e.snapshot.Pools[i].Peers {
			p := &e.snapshot.Pools[i].Peers[j]
			if p.Entry == peer && e.snapshot.Pools[i].Name == pool {
				p.Report.Update(load, p.Requests.InFlight())
			}
		}
	}
}
