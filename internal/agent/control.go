package agent

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/admission"
	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// control is the state that the control goroutine owns.
type control struct {
	agent     *Agent
	admission *admission.Controller
	index     *config.Index
	up        bool
	stopping  bool
	stoppedAt time.Duration
	drained   bool
	// unchecked tells that the target was not seen up since the end of a drain at uncheckedAt.
	unchecked   bool
	uncheckedAt time.Duration
	peers       map[link.Peer]struct{}
	// jobs holds every request that waits or runs, byAdmission the same by admission id.
	jobs        map[jobID]*job
	byAdmission map[uint64]*job
	nextID      uint64
	// dialled holds when each address was dialled or last seen linked.
	dialled  map[string]time.Duration
	settled  *settled
	seq      uint64
	lastBeat time.Duration
	lastTick time.Duration
}

func newControl(a *Agent) *control {
	return &control{
		agent:       a,
		admission:   admission.New(admission.Config{ServiceTime: assumedServiceTime}),
		peers:       make(map[link.Peer]struct{}),
		jobs:        make(map[jobID]*job),
		byAdmission: make(map[uint64]*job),
		settled:     newSettled(),
		dialled:     make(map[string]time.Duration),
	}
}

// finished tells that the agent is stopping, nothing is left to do, and requests
// that were on the way when it said so have been refused.
func (c *control) finished() bool {
	return c.stopping && len(c.jobs) == 0 && c.agent.now()-c.stoppedAt >= stopLinger
}

// job returns the open job that p numbered id, or nil.
func (c *control) job(p link.Peer, id uint64) *job {
	return c.jobs[jobID{sender: p.Identity().Incarnation, id: id}]
}

// offer takes a new request or refuses it.
func (c *control) offer(p link.Peer, req *message.Request) {
	j := newJob(c.agent.parent, p, req, time.Now())
	if c.jobs[j.key] != nil {
		j.cancel()
		return
	}
	if err := c.accept(j); err != nil {
		c.refuse(j, err)
		return
	}
	c.nextID++
	j.admitted = c.nextID
	d := c.admission.Offer(c.agent.now(), c.item(j))
	if d.Verdict == admission.Refuse {
		c.effects(d.Effects)
		c.refuse(j, d.Err)
		return
	}
	c.jobs[j.key] = j
	c.byAdmission[j.admitted] = j
	c.effects(d.Effects)
	if d.Verdict == admission.Run {
		c.run(j)
		return
	}
	_ = p.Send(&message.Accepted{ID: req.ID, Load: *c.agent.load.Load()})
}

// accept checks what makes a request impossible whatever the load.
func (c *control) accept(j *job) *apierr.Error {
	if _, known := c.settled.get(j.key); known {
		return apierr.New(apierr.KindWithdrawn, "the request was settled before")
	}
	if j.req.Incarnation != c.agent.opts.Identity.Incarnation {
		return apierr.New(apierr.KindStaleIncarnation, c.agent.opts.Identity.Name)
	}
	switch {
	case c.stopping, c.drained, c.unchecked:
		return apierr.New(apierr.KindDraining, c.agent.opts.Identity.Name)
	case c.index == nil:
		return apierr.New(apierr.KindConfigUnavailable, c.agent.opts.Identity.Name)
	case !c.up:
		return apierr.New(apierr.KindNoTarget, c.agent.opts.Identity.Name)
	case j.req.Timeout <= 0:
		return apierr.New(apierr.KindDeadlineUnreachable, "the deadline has passed")
	}
	return nil
}

// item describes j to the admission controller.
func (c *control) item(j *job) admission.Item {
	weight := 1
	if o, ok := c.index.Organisation(j.req.Organisation); ok {
		weight = o.Weight
	}
	return admission.Item{
		ID:           j.admitted,
		Organisation: j.req.Organisation,
		Weight:       weight,
		Priority:     j.req.Priority,
		Deadline:     c.agent.now() + j.req.Timeout,
		NoWait:       j.req.NoWait,
		MaxWait:      j.req.MaxWait,
	}
}

// run starts the goroutine of an admitted job.
func (c *control) run(j *job) { go c.agent.work(j) }

// refuse answers a request that does not run.
func (c *control) refuse(j *job, err *apierr.Error) {
	j.withdraw()
	j.cancel()
	c.settled.add(time.Now(), j.key, true)
	c.agent.ends.Count(err.Kind)
	c.agent.opts.Logger.Info().Str("event", "refused").Str("request", j.req.Trace).
		Str("kind", err.Kind.String()).Str("detail", err.Detail).Msg("")
	_ = j.peer.Send(refusal(j.req.ID, err, *c.agent.load.Load()))
}

// effects carries out what the admission controller decided about other requests.
func (c *control) effects(e admission.Effects) {
	for _, id := range e.Start {
		if j := c.byAdmission[id]; j != nil {
			c.run(j)
		}
	}
	for _, r := range e.Refused {
		c.drop(r.ID, r.Err)
	}
	c.publish()
}

// drop refuses a waiting request.
func (c *control) drop(id uint64, err *apierr.Error) {
	j := c.byAdmission[id]
	if j == nil {
		return
	}
	c.forget(j)
	c.refuse(j, err)
}

// forget removes j from the open jobs.
func (c *control) forget(j *job) {
	delete(c.jobs, j.key)
	delete(c.byAdmission, j.admitted)
}

// settle ends a job whose goroutine has finished.
func (c *control) settle(j *job, notRun bool) {
	c.forget(j)
	j.cancel()
	c.settled.add(time.Now(), j.key, notRun)
}

// due returns when tick is to be called next.
func (c *control) due() time.Duration {
	beat := c.lastBeat + heartbeatInterval
	if len(c.jobs) == 0 && !c.stopping {
		return beat
	}
	return min(beat, c.lastTick+tickInterval)
}

// tick expires waiting requests and sends heartbeats.
func (c *control) tick() {
	now := c.agent.now()
	c.lastTick = now
	for _, r := range c.admission.Expire(now) {
		c.drop(r.ID, r.Err)
	}
	c.settled.expire(time.Now())
	if now-c.lastBeat >= heartbeatInterval {
		c.announce()
		c.forgetDials(now)
	}
}

// publish makes the current load visible to traffic goroutines.
func (c *control) publish() {
	load := c.admission.Load(c.agent.now())
	c.agent.load.Store(&load)
}

// announce sends a heartbeat to every entry.
func (c *control) announce() {
	c.publish()
	c.seq++
	c.lastBeat = c.agent.now()
	for p := range c.peers {
		c.heartbeat(p)
	}
}

func (c *control) heartbeat(p link.Peer) {
	hb := &message.Heartbeat{Seq: c.seq, Load: *c.agent.load.Load(), Leaving: c.stopping}
	if c.index != nil {
		hb.ConfigRevision = c.index.Revision()
	}
	_ = p.Send(hb)
}
