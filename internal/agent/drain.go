package agent

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/config"
)

// uncheck refuses new work until the target has answered a health check that
// begins from now on; it may have been replaced.
func (c *control) uncheck() {
	c.unchecked = true
	c.uncheckedAt = c.agent.now()
}

// configure takes over the limits and drains of a configuration.
func (c *control) configure(x *config.Index) {
	id := c.agent.opts.Identity
	c.index = x
	if p, ok := x.Pool(id.Pool); ok {
		c.admission.Configure(admissionConfig(p))
	}
	wasDrained := c.drained
	c.drained = x.AvailabilityZoneDrained(id.AvailabilityZone) || x.InstanceDrained(id.Name)
	if wasDrained && !c.drained {
		c.uncheck()
	}
	c.updateDrain()
	c.announce()
}

// updateDrain closes or opens the admission.
func (c *control) updateDrain() {
	if c.stopping || c.drained || c.unchecked {
		c.admission.Drain()
		return
	}
	c.admission.Undrain()
}

// checked ends the wait for a health check that began after the end of a drain. No
// request would have shown that the target was replaced meanwhile.
func (c *control) checked(began time.Duration) {
	if !c.unchecked || began < c.uncheckedAt {
		return
	}
	c.unchecked = false
	c.updateDrain()
	c.announce()
}
