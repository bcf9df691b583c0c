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
	// unlimitedRetryPause is the pause between attempts of the unlimited baseline.
	unlimitedRetryPause = 50 * time.Millisecond
)

// entry is a fake of the entry process: the routing decision, retries and links.
type entry struct {
	name   string
	zone   string
	world  *world
	snap   *routing.Snapshot
	budget *retry.Budget
	agents map[string]*agent
}

// trial is one request on its way through one entry.
type trial struct {
	entry    *entry
	req      *request
	hops     int
	attempts int
	busy     []string
	excluded []string
	noWait   bool
	done     bool
	finish   func(reply)
	// abort withdraws the attempt in flight.
	abort func()
}

// serve takes a request from its caller.
func (e *entry) serve(req *request) {
	t := &trial{entry: e, req: req}
	t.finish = func(r reply) { e.world.record(req, r) }
	e.world.clock.after(req.deadline-e.world.clock.now, t.expire)
	t.next()
}

// forward takes a request from another entry.
func (e *entry) forward(req *request, noWait bool, finish func(reply)) *trial {
	t := &trial{entry: e, req: req, hops: 1, noWait: noWait, finish: finish}
	t.next()
	return t
}

func (t *trial) end(r reply) {
	if t.done {
		return
	}
	t.done = true
	t.finish(r)
}

// expire answers a request whose deadline has passed.
func (t *trial) expire() {
	if t.done {
		return
	}
	t.cancel()
	t.finish(reply{err: apierr.New(apierr.KindTimeout, "deadline")})
}

func (t *trial) cancel() {
	t.done = true
	if t.abort != nil {
		t.abort()
	}
}

// next makes another attempt.
func (t *trial) next() {
	w := t.entry.world
	if t.done {
		return
	}
	choice := w.scenario.Router(t.entry, t.request())
	if choice.Destination == routing.ToNobody {
		t.failed(reply{err: choice.Err, outcome: apierr.OutcomeNotRun}, choice)
		return
	}
	t.attempts++
	w.attempts++
	choice.Sent().Begin()
	if choice.Destination == routing.ToAgent {
		t.toAgent(choice)
		return
	}
	t.toPeer(choice)
}

func (t *trial) request() routing.Request {
	r := routing.Request{
		Pool:         t.req.pool,
		Service:      t.req.pool,
		Organisation: t.req.org.name,
		PrefixHash:   t.req.prefix,
		Remaining:    t.req.deadline - t.entry.world.clock.now,
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

func (t *trial) toAgent(c routing.Choice) {
	w := t.entry.world
	a := t.entry.agents[c.Target.Agent]
	delay := w.delay(t.entry.zone, a.zone)
	release := releaseOnce(c.Target.Sent)
	w.clock.after(delay, func() {
		id := a.offer(t.req, c, func(r reply) {
			w.clock.after(delay, func() {
				release()
				t.entry.learn(c.Target.Agent, a, r.load)
				t.answered(r, c)
			})
		})
		t.abort = func() {
			release()
			w.clock.after(delay, func() { a.withdraw(id) })
		}
		if t.done {
			t.abort()
		}
	})
}

func (t *trial) toPeer(c routing.Choice) {
	w := t.entry.world
	peer := w.entry(c.Peer.Entry)
	release := releaseOnce(c.Peer.Sent)
	w.clock.after(crossZoneDelay, func() {
		far := peer.forward(t.req, c.NoWait, func(r reply) {
			w.clock.after(crossZoneDelay, func() {
				release()
				t.answered(r, c)
			})
		})
		t.abort = func() {
			release()
			w.clock.after(crossZoneDelay, func() {
				if !far.done {
					far.cancel()
				}
			})
		}
		if t.done {
			t.abort()
		}
	})
}

// releaseOnce returns a function that ends a counted request at its first call.
func releaseOnce(sent *routing.Counter) func() {
	released := false
	return func() {
		if !released {
			released = true
			sent.End()
		}
	}
}

// answered takes the reply of an attempt.
func (t *trial) answered(r reply, c routing.Choice) {
	if t.done {
		return
	}
	t.abort = nil
	if r.err == nil {
		t.entry.budget.Succeeded()
		t.end(r)
		return
	}
	t.failed(r, c)
}

// failed retries where the rule allows it.
func (t *trial) failed(r reply, c routing.Choice) {
	w := t.entry.world
	if w.scenario.UnlimitedRetries && t.hops == 0 {
		w.clock.after(unlimitedRetryPause, t.next)
		return
	}
	allowed := c.Destination != routing.ToNobody && retry.Allowed(retry.Attempt{
		Kind:       r.err.Kind,
		Outcome:    r.outcome,
		Idempotent: t.req.idempotent,
		Attempts:   t.attempts,
		Remaining:  t.req.deadline - w.clock.now,
	}, t.entry.budget)
	if !allowed {
		t.end(r)
		return
	}
	again := t.request()
	again.Refused(c, r.err.Kind)
	t.busy, t.excluded = again.Busy, again.Excluded
	t.next()
}

// learn takes in the load that came with an answer.
func (e *entry) learn(name string, a *agent, load message.Load) {
	if e.world.scenario.Piggyback && e.agents[name] == a {
		e.report(name, load)
	}
}

// report takes in an agent's load report.
func (e *entry) report(agent string, load message.Load) {
	for i := range e.snap.Pools {
		for j := range e.snap.Pools[i].Targets {
			t := &e.snap.Pools[i].Targets[j]
			if t.Agent == agent {
				t.Report.Update(load, t.Sent.InFlight())
			}
		}
	}
}

// peerReport takes in a peer entry's report of its availability zone.
func (e *entry) peerReport(peer, pool string, load message.Load) {
	for i := range e.snap.Pools {
		for j := range e.snap.Pools[i].Peers {
			p := &e.snap.Pools[i].Peers[j]
			if p.Entry == peer && e.snap.Pools[i].Name == pool {
				p.Report.Update(load, p.Sent.InFlight())
			}
		}
	}
}
