package experiment

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/admission"
	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// admissionController is the part of the admission control that an agent uses. The
// production implementation is *admission.Controller.
type admissionController interface {
	Offer(now time.Duration, it admission.Item) admission.Decision
	Finish(now time.Duration, id uint64, r admission.Result) admission.Effects
	Remove(now time.Duration, id uint64) bool
	Expire(now time.Duration) []admission.Refused
	HandleReport(now time.Duration, startID uint64, cold bool) admission.Effects
	SetHealthy(now time.Duration, healthy bool) admission.Effects
	Load(now time.Duration) message.Load
	Drain()
}

// reply is the result of one attempt.
type reply struct {
	// err is nil for a complete answer.
	err *apierr.Error
	// outcome states whether the request ran, as far as the agent can tell.
	outcome apierr.Outcome
	// first is the time at which the engine produced the first token.
	first time.Duration
	// load is the agent's load when it sent the reply.
	load message.Load
	// agent is the name of the agent that replied.
	agent string
}

// job is one attempt that an agent has received and not yet answered.
type job struct {
	req     *request
	onReply func(reply)
	run     *engineRun
	first   time.Duration
}

// agent is a fake of the agent process that has only the admission control and the
// engine.
type agent struct {
	name      string
	zone      string
	pool      string
	clock     *clock
	admission admissionController
	engine    *engine
	jobs      map[uint64]*job
	nextID    uint64
	stopped   bool
	// hideWork withholds the size of each request from the admission control.
	hideWork bool
}

// offer submits an attempt to the admission control and returns the attempt's id.
// onReply receives the result.
func (a *agent) offer(req *request, c routing.Choice, onReply func(reply)) uint64 {
	a.nextID++
	id := a.nextID
	a.jobs[id] = &job{req: req, onReply: onReply}
	d := a.admission.Offer(a.clock.now, admission.Item{
		ID:           id,
		Organisation: req.org.name,
		Weight:       req.org.weight,
		Deadline:     req.deadline,
		NoWait:       c.NoWait,
		MaxWait:      c.MaxWait,
	})
	switch d.Verdict {
	case admission.Run:
		a.start(id)
	case admission.Refuse:
		a.refuse(id, d.Err)
	}
	a.applyEffects(d.Effects)
	return id
}

// cancel ends an attempt whose caller has disconnected; no reply is sent.
func (a *agent) cancel(id uint64) {
	j, ok := a.jobs[id]
	if !ok {
		return
	}
	delete(a.jobs, id)
	if a.admission.Remove(a.clock.now, id) {
		return
	}
	if j.run != nil {
		a.engine.cancel(j.run)
	}
	a.applyEffects(a.admission.Finish(a.clock.now, id, admission.Result{Cancelled: true}))
}

func (a *agent) applyEffects(e admission.Effects) {
	for _, r := range e.Refused {
		a.refuse(r.ID, r.Err)
	}
	for _, id := range e.Start {
		a.start(id)
	}
}

// refuse answers an attempt that did not run.
func (a *agent) refuse(id uint64, err *apierr.Error) {
	a.respond(id, reply{err: err, outcome: apierr.OutcomeNotRun})
}

// respond ends an attempt and sends its reply.
func (a *agent) respond(id uint64, r reply) {
	j, ok := a.jobs[id]
	if !ok {
		return
	}
	delete(a.jobs, id)
	r.load, r.agent = a.admission.Load(a.clock.now), a.name
	j.onReply(r)
}

func (a *agent) start(id uint64) {
	j, ok := a.jobs[id]
	if !ok {
		return
	}
	run, first, up := a.engine.start(j.req.decode, j.req.prefix, func(r engineResult) { a.finish(id, r) })
	if !up {
		a.clock.after(0, func() { a.handleUnreachable(id) })
		return
	}
	j.run, j.first = run, a.clock.now+first
}

// finish handles the result of a run at the engine.
func (a *agent) finish(id uint64, r engineResult) {
	first := time.Duration(0)
	work := 1.0
	if j, ok := a.jobs[id]; ok {
		first = j.first
		if !a.hideWork {
			work = j.req.decode.Seconds()
		}
	}
	e := a.admission.Finish(a.clock.now, id, admission.Result{ServiceTime: r.service, Work: work, OK: r.ok})
	if r.ok {
		a.respond(id, reply{outcome: apierr.OutcomeRan, first: first})
	} else {
		a.respond(id, reply{err: apierr.New(apierr.KindTargetFailed, a.name)})
		a.watchHealth()
	}
	a.applyEffects(e)
}

// handleUnreachable ends an attempt that could not be started because the engine is down.
func (a *agent) handleUnreachable(id uint64) {
	e := a.admission.Finish(a.clock.now, id, admission.Result{})
	a.refuse(id, apierr.New(apierr.KindTargetUnreachable, a.name))
	a.watchHealth()
	a.applyEffects(e)
}

// healthInterval is the interval at which an agent checks the health of an engine that
// is down.
const healthInterval = 500 * time.Millisecond

// watchHealth reports the engine as unhealthy to the admission control until it is up
// again.
func (a *agent) watchHealth() {
	if !a.engine.down {
		return
	}
	a.applyEffects(a.admission.SetHealthy(a.clock.now, false))
	a.clock.after(healthInterval, func() {
		if a.engine.down {
			a.watchHealth()
			return
		}
		a.applyEffects(a.admission.SetHealthy(a.clock.now, true))
	})
}
