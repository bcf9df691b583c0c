package agent

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/config"
)

// requireHealthCheck makes the agent refuse new requests until the target has answered a
// health check that is sent from now on, since the target may have been replaced.
func (c *control) requireHealthCheck() {
	c.checkRequired = true
	c.checkRequiredSince = c.agent.now()
}

// applyConfig applies the limits and drains of a configuration.
func (c *control) applyConfig(x *config.Index) {
	id := c.agent.opts.Identity
	c.index = x
	if p, ok := x.Pool(id.Pool); ok {
		c.admission.Configure(admissionConfig(p))
	}
	wasDrained := c.drained
	c.drained = x.AvailabilityZoneDrained(id.AvailabilityZone) || x.InstanceDrained(id.Name)
	if wasDrained && !c.drained {
		c.requireHealthCheck()
	}
	c.updateDrain()
	c.sendHeartbeats()
}

// updateDrain makes the admission controller refuse or accept new requests.
func (c *control) updateDrain() {
	if c.stopping || c.drained || c.checkRequired {
		c.admission.Drain()
		return
	}
	c.admission.Undrain()
}

// recordHealthCheck accepts new requests again if the successful health check was sent at
// checkRequiredSince or later. An earlier check proves nothing: the target may have been
// replaced since, and no request would have shown it.
func (c *control) recordHealthCheck(sentAt time.Duration) {
	if !c.checkRequired || sentAt < c.checkRequiredSince {
		return
	}
	c.checkRequired = false
	c.updateDrain()
	c.sendHeartbeats()
}
