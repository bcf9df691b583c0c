package agent

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/admission"
	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// event changes the control state; apply runs on the control goroutine only.
type event interface{ apply(c *control) }

type (
	peerUp   struct{ peer link.Peer }
	peerDown struct {
		peer  link.Peer
		cause error
	}
	offered struct {
		peer link.Peer
		req  *message.Request
	}
	withdrawAsked struct {
		peer link.Peer
		id   uint64
	}
	cancelled struct {
		peer link.Peer
		id   uint64
	}
	credited struct {
		peer  link.Peer
		id    uint64
		bytes int
	}
	finished struct {
		job    *job
		result admission.Result
		notRun bool
	}
	healthChecked struct {
		up      bool
		startID uint64
		cold    bool
		began   time.Duration // when the check was sent
	}
	members    struct{ list []message.Member }
	configured struct{ index *config.Index }
	stopAsked  struct{}
	dumpAsked  struct{ reply chan State }
)

func (ev peerUp) apply(c *control) {
	c.peers[ev.peer] = struct{}{}
	c.heartbeat(ev.peer)
}

func (ev peerDown) apply(c *control) {
	delete(c.peers, ev.peer)
	for _, j := range c.jobs {
		if j.peer == ev.peer {
			c.abandon(j)
		}
	}
}

func (ev offered) apply(c *control) { c.offer(ev.peer, ev.req) }

func (ev withdrawAsked) apply(c *control) { c.withdraw(ev.peer, ev.id) }

func (ev cancelled) apply(c *control) {
	if j := c.job(ev.peer, ev.id); j != nil {
		c.abandon(j)
	}
}

func (ev credited) apply(c *control) {
	if j := c.job(ev.peer, ev.id); j != nil {
		j.window.add(ev.bytes)
	}
}

func (ev finished) apply(c *control) {
	c.settle(ev.job, ev.notRun)
	c.effects(c.admission.Finish(c.agent.now(), ev.job.admitted, ev.result))
}

func (ev healthChecked) apply(c *control) {
	now := c.agent.now()
	wasUp := c.up
	c.up = ev.up
	if ev.up {
		c.effects(c.admission.Report(now, ev.startID, ev.cold))
		c.checked(ev.began)
	}
	c.effects(c.admission.SetHealthy(now, ev.up))
	if wasUp != ev.up {
		c.agent.opts.Logger.Info().Str("event", "target-health").Bool("up", ev.up).Msg("")
		c.announce()
	}
}

func (ev members) apply(c *control) {
	for _, m := range ev.list {
		c.dialEntry(m)
	}
}

func (ev configured) apply(c *control) { c.configure(ev.index) }

func (ev stopAsked) apply(c *control) {
	c.stopping = true
	c.stoppedAt = c.agent.now()
	c.admission.Drain()
	c.announce()
	c.agent.opts.Logger.Info().Str("event", "stopping").Int("jobs", len(c.jobs)).Msg("")
}

func (ev dumpAsked) apply(c *control) { ev.reply <- c.state() }

// refusal builds the final answer of a request that did not run.
func refusal(id uint64, e *apierr.Error, load message.Load) *message.ResponseEnd {
	return &message.ResponseEnd{
		ID:      id,
		Failure: &message.Failure{Kind: e.Kind, Detail: e.Detail, RetryAfter: e.RetryAfter},
		Load:    load,
	}
}
