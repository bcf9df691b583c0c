package agent

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/admission"
	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/observe"
)

// event is a change of the control state; apply runs on the control goroutine only.
type event interface{ apply(c *control) }

type (
	linkOpened struct{ peer link.Peer }
	linkClosed struct {
		peer  link.Peer
		cause error
	}
	requestReceived struct {
		peer link.Peer
		req  *message.Request
	}
	withdrawRequested struct {
		peer link.Peer
		id   uint64
	}
	requestCancelled struct {
		peer link.Peer
		id   uint64
	}
	creditReceived struct {
		peer  link.Peer
		id    uint64
		bytes int
	}
	jobFinished struct {
		job    *job
		result admission.Result
		notRun bool
	}
	healthChecked struct {
		up      bool
		startID uint64
		cold    bool
		sentAt  time.Duration // when the check was sent, as time since the agent's start
	}
	membersReceived struct{ list []message.Member }
	// probeDisconnected reports that the target closed the probe's connection.
	probeDisconnected struct{}
	configReceived    struct{ index *config.Index }
	stopRequested     struct{}
	stateRequested    struct{ reply chan State }
	jobsRequested     struct{ reply chan []observe.Unfinished }
)

func (ev linkOpened) apply(c *control) {
	c.peers[ev.peer] = struct{}{}
	c.sendHeartbeat(ev.peer)
}

func (ev linkClosed) apply(c *control) {
	delete(c.peers, ev.peer)
	for _, j := range c.jobs {
		if j.peer == ev.peer {
			c.cancelJob(j)
		}
	}
}

func (ev requestReceived) apply(c *control) { c.handleRequest(ev.peer, ev.req) }

func (ev withdrawRequested) apply(c *control) { c.handleWithdraw(ev.peer, ev.id) }

func (ev requestCancelled) apply(c *control) {
	if j := c.findJob(ev.peer, ev.id); j != nil {
		c.cancelJob(j)
	}
}

func (ev creditReceived) apply(c *control) {
	if j := c.findJob(ev.peer, ev.id); j != nil {
		j.window.add(ev.bytes)
	}
}

func (ev jobFinished) apply(c *control) {
	c.finishJob(ev.job, ev.notRun)
	c.applyEffects(c.admission.Finish(c.agent.now(), ev.job.admissionID, ev.result))
}

func (ev healthChecked) apply(c *control) {
	now := c.agent.now()
	wasUp := c.targetUp
	c.targetUp = ev.up
	if ev.up {
		c.applyEffects(c.admission.HandleReport(now, ev.startID, ev.cold))
		c.recordHealthCheck(ev.sentAt)
	}
	c.applyEffects(c.admission.SetHealthy(now, ev.up))
	if wasUp != ev.up {
		c.agent.opts.Logger.Info().Str("event", "target-health").Bool("up", ev.up).Msg("")
		c.sendHeartbeats()
	}
}

func (ev membersReceived) apply(c *control) {
	for _, m := range ev.list {
		c.dialEntry(m)
	}
}

func (ev configReceived) apply(c *control) { c.applyConfig(ev.index) }

func (ev probeDisconnected) apply(c *control) {
	c.requireHealthCheck()
	c.updateDrain()
	c.publishLoad()
}

func (ev stopRequested) apply(c *control) {
	c.stopping = true
	c.stoppingSince = c.agent.now()
	c.admission.Drain()
	c.sendHeartbeats()
	c.agent.opts.Logger.Info().Str("event", "stopping").Int("jobs", len(c.jobs)).Msg("")
}

func (ev stateRequested) apply(c *control) { ev.reply <- c.state() }

func (ev jobsRequested) apply(c *control) { ev.reply <- c.unfinished() }

// failureFrame returns the final frame of a request that failed with e.
func failureFrame(id uint64, e *apierr.Error, load message.Load) *message.ResponseEnd {
	return &message.ResponseEnd{
		ID:      id,
		Failure: &message.Failure{Kind: e.Kind, Detail: e.Detail, RetryAfter: e.RetryAfter, EndedTarget: e.EndedTarget},
		Load:    load,
	}
}
