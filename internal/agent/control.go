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
	agent         *Agent
	admission     *admission.Controller
	index         *config.Index
	targetUp      bool
	stopping      bool
	stoppingSince time.Duration
	drained       bool
	// checkRequired is true while new requests are refused until the target answers a
	// health check that was sent at checkRequiredSince or later.
	checkRequired      bool
	checkRequiredSince time.Duration
	peers              map[link.Peer]struct{}
	// jobs contains every waiting or running request; byAdmission contains the same jobs
	// by admission id.
	jobs        map[jobID]*job
	byAdmission map[uint64]*job
	nextID      uint64
	// lastLinked is the time at which each dialled address was dialled or last had a link.
	lastLinked    map[string]time.Duration
	settled       *settledRequests
	heartbeatSeq  uint64
	lastHeartbeat time.Duration
	lastTick      time.Duration
}

func newControl(a *Agent) *control {
	return &control{
		agent:       a,
		admission:   admission.New(admission.Config{ServiceTime: initialServiceTime}),
		peers:       make(map[link.Peer]struct{}),
		jobs:        make(map[jobID]*job),
		byAdmission: make(map[uint64]*job),
		settled:     newSettledRequests(),
		lastLinked:  make(map[string]time.Duration),
	}
}

// finished reports whether the agent is stopping, has no open requests, and has waited
// minStopTime for requests that were in transit when the stop was announced.
func (c *control) finished() bool {
	return c.stopping && len(c.jobs) == 0 && c.agent.now()-c.stoppingSince >= minStopTime
}

// findJob returns the open job with p's request id, or nil.
func (c *control) findJob(p link.Peer, id uint64) *job {
	return c.jobs[jobID{sender: p.Identity().Incarnation, id: id}]
}

// handleRequest starts, queues or refuses a new request. It ignores a repeat of an open one.
func (c *control) handleRequest(p link.Peer, req *message.Request) {
	j := newJob(c.agent.baseCtx, p, req, time.Now())
	if c.jobs[j.key] != nil {
		j.cancel()
		return
	}
	if err := c.accept(j); err != nil {
		c.refuse(j, err)
		return
	}
	c.nextID++
	j.admissionID = c.nextID
	d := c.admission.Offer(c.agent.now(), c.admissionItem(j))
	if d.Verdict == admission.Refuse {
		c.applyEffects(d.Effects)
		c.refuse(j, d.Err)
		return
	}
	c.jobs[j.key] = j
	c.byAdmission[j.admissionID] = j
	c.applyEffects(d.Effects)
	if d.Verdict == admission.Run {
		c.startJob(j)
		return
	}
	_ = p.Send(&message.Accepted{ID: req.ID, Load: *c.agent.load.Load()})
}

// accept returns an error if the request cannot run regardless of the load.
func (c *control) accept(j *job) *apierr.Error {
	if _, known := c.settled.get(j.key); known {
		return apierr.New(apierr.KindWithdrawn, "the request was settled before")
	}
	if j.req.Incarnation != c.agent.opts.Identity.Incarnation {
		return apierr.New(apierr.KindStaleIncarnation, c.agent.opts.Identity.Name)
	}
	switch {
	case c.stopping, c.drained, c.checkRequired:
		return apierr.New(apierr.KindDraining, c.agent.opts.Identity.Name)
	case c.index == nil:
		return apierr.New(apierr.KindConfigUnavailable, c.agent.opts.Identity.Name)
	case !c.targetUp:
		return apierr.New(apierr.KindNoTarget, c.agent.opts.Identity.Name)
	case j.req.Timeout <= 0:
		return apierr.New(apierr.KindDeadlineUnreachable, "the deadline has passed")
	}
	return nil
}

// admissionItem returns the admission controller's description of j.
func (c *control) admissionItem(j *job) admission.Item {
	weight := 1
	if o, ok := c.index.Organisation(j.req.Organisation); ok {
		weight = o.Weight
	}
	return admission.Item{
		ID:           j.admissionID,
		Organisation: j.req.Organisation,
		Weight:       weight,
		Priority:     j.req.Priority,
		Deadline:     c.agent.now() + j.req.Timeout,
		NoWait:       j.req.NoWait,
		MaxWait:      j.req.MaxWait,
	}
}

// startJob starts the goroutine of an admitted job.
func (c *control) startJob(j *job) { go c.agent.runJob(j) }

// refuse records that a request does not run and sends err to its entry.
func (c *control) refuse(j *job, err *apierr.Error) {
	j.tryWithdraw()
	j.cancel()
	c.settled.add(time.Now(), j.key, true)
	c.agent.metrics.Count(err.Kind)
	c.agent.opts.Logger.Info().Str("event", "refused").Str("request", j.req.RequestID).
		Str("kind", err.Kind.String()).Str("detail", err.Detail).Msg("")
	frame := failureFrame(j.req.ID, err, *c.agent.load.Load())
	link.SendSoon(j.peer, frame, max(time.Until(j.deadline), minFinalFrameTime))
}

// applyEffects starts and refuses other requests as the admission controller decided, and
// publishes the load.
func (c *control) applyEffects(e admission.Effects) {
	for _, id := range e.Start {
		if j := c.byAdmission[id]; j != nil {
			c.startJob(j)
		}
	}
	for _, r := range e.Refused {
		c.refuseWaiting(r.ID, r.Err)
	}
	c.publishLoad()
}

// refuseWaiting refuses a waiting request.
func (c *control) refuseWaiting(id uint64, err *apierr.Error) {
	j := c.byAdmission[id]
	if j == nil {
		return
	}
	c.removeJob(j)
	c.refuse(j, err)
}

// removeJob removes j from the open jobs.
func (c *control) removeJob(j *job) {
	delete(c.jobs, j.key)
	delete(c.byAdmission, j.admissionID)
}

// finishJob removes a job whose goroutine has finished and records its outcome.
func (c *control) finishJob(j *job, notRun bool) {
	c.removeJob(j)
	j.cancel()
	c.settled.add(time.Now(), j.key, notRun)
}

// nextTick returns the time of the next call of tick.
func (c *control) nextTick() time.Duration {
	nextHeartbeat := c.lastHeartbeat + heartbeatInterval
	if len(c.jobs) == 0 && !c.stopping {
		return nextHeartbeat
	}
	return min(nextHeartbeat, c.lastTick+tickInterval)
}

// tick refuses expired requests, removes old records of settled requests, and sends
// heartbeats when they are due.
func (c *control) tick() {
	now := c.agent.now()
	c.lastTick = now
	for _, r := range c.admission.Expire(now) {
		c.refuseWaiting(r.ID, r.Err)
	}
	c.settled.expire(time.Now())
	if now-c.lastHeartbeat >= heartbeatInterval {
		c.sendHeartbeats()
		c.expireDials(now)
	}
}

// publishLoad makes the current load visible to other goroutines.
func (c *control) publishLoad() {
	load := c.admission.Load(c.agent.now())
	c.agent.load.Store(&load)
}

// sendHeartbeats publishes the load and sends a heartbeat to every linked entry.
func (c *control) sendHeartbeats() {
	c.publishLoad()
	c.heartbeatSeq++
	c.lastHeartbeat = c.agent.now()
	for p := range c.peers {
		c.sendHeartbeat(p)
	}
}

func (c *control) sendHeartbeat(p link.Peer) {
	hb := &message.Heartbeat{Seq: c.heartbeatSeq, Load: *c.agent.load.Load(), Leaving: c.stopping}
	if c.index != nil {
		hb.ConfigRevision = c.index.Revision()
	}
	_ = p.Send(hb)
}
