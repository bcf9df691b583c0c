package experiment

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/admission"
	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// admitter is what an agent needs of its admission; *admission.Controller is the real one.
type admitter interface {
	Offer(now time.Duration, it admission.Item) admission.Decision
	Finish(now time.Duration, id uint64, r admission.Result) admission.Effects
	Remove(now time.Duration, id uint64) bool
	Expire(now time.Duration) []admission.Refused
	Report(now time.Duration, startID uint64, cold bool) admission.Effects
	SetHealthy(now time.Duration, healthy bool) admission.Effects
	Load(now time.Duration) message.Load
	Drain()
}

// reply is the end of one attempt.
type reply struct {
	// err is nil for a complete answer.
	err *apierr.Error
	// outcome is what the agent knows about the run.
	outcome apierr.Outcome
	// first is when the first token left the engine.
	first time.Duration
	// load is the agent's load when the reply left.
	load message.Load
	// agent is the name of the agent that replied.
	agent string
}

// job is one attempt at an agent.
type job struct {
	req   *request
	reply func(reply)
	run   *engineRun
	first time.Duration
}

// agent is a fake of the agent process: admission, the engine, and nothing else.
type agent struct {
	name     string
	zone     string
	pool     string
	clock    *clock
	admitter admitter
	engine   *engine
	jobs     map[uint64]*job
	nextID   uint64
	stopped  bool
	hideWork bool
}

// offer takes an attempt and returns its number.
func (a *agent) offer(req *request, c routing.Choice, answer func(reply)) uint64 {
	a.nextID++
	id := a.nextID
	a.jobs[id] = &job{req: req, reply: answer}
	d := a.admitter.Offer(a.clock.now, admission.Item{
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
	a.apply(d.Effects)
	return id
}

// withdraw gives up an attempt whose caller has gone.
func (a *agent) withdraw(id uint64) {
	j, ok := a.jobs[id]
	if !ok {
		return
	}
	delete(a.jobs, id)
	if a.admitter.Remove(a.clock.now, id) {
		return
	}
	if j.run != nil {
		a.engine.cancel(j.run)
	}
	a.apply(a.admitter.Finish(a.clock.now, id, admission.Result{Cancelled: true}))
}

func (a *agent) apply(e admission.Effects) {
	for _, r := range e.Refused {
		a.refuse(r.ID, r.Err)
	}
	for _, id := range e.Start {
		a.start(id)
	}
}

func (a *agent) refuse(id uint64, err *apierr.Error) {
	a.settle(id, reply{err: err, outcome: apierr.OutcomeNotRun})
}

func (a *agent) settle(id uint64, r reply) {
	j, ok := a.jobs[id]
	if !ok {
		return
	}
	delete(a.jobs, id)
	r.load, r.agent = a.admitter.Load(a.clock.now), a.name
	j.reply(r)
}

func (a *agent) start(id uint64) {
	j, ok := a.jobs[id]
	if !ok {
		return
	}
	run, first, up := a.engine.start(j.req.decode, j.req.prefix, func(r engineResult) { a.finish(id, r) })
	if !up {
		a.clock.after(0, func() { a.unreachable(id) })
		return
	}
	j.run, j.first = run, a.clock.now+first
}

func (a *agent) finish(id uint64, r engineResult) {
	first := time.Duration(0)
	work := 1.0
	if j, ok := a.jobs[id]; ok {
		first = j.first
		if !a.hideWork {
			work = j.req.decode.Seconds()
		}
	}
	e := a.admitter.Finish(a.clock.now, id, admission.Result{ServiceTime: r.service, Work: work, OK: r.ok})
	if r.ok {
		a.settle(id, reply{outcome: apierr.OutcomeRan, first: first})
	} else {
		a.settle(id, reply{err: apierr.New(apierr.KindTargetFailed, a.name)})
		a.watchHealth()
	}
	a.apply(e)
}

// unreachable ends a run that could not be handed to the engine.
func (a *agent) unreachable(id uint64) {
	e := a.admitter.Finish(a.clock.now, id, admission.Result{})
	a.refuse(id, apierr.New(apierr.KindTargetUnreachable, a.name))
	a.watchHealth()
	a.apply(e)
}

// healthInterval is the interval of the agent's health checks of a failed engine.
const healthInterval = 500 * time.Millisecond

// watchHealth marks the admission unhealthy until the engine is up again.
func (a *agent) watchHealth() {
	if !a.engine.down {
		return
	}
	a.apply(a.admitter.SetHealthy(a.clock.now, false))
	a.clock.after(healthInterval, func() {
		if a.engine.down {
			a.watchHealth()
			return
		}
		a.apply(a.admitter.SetHealthy(a.clock.now, true))
	})
}
