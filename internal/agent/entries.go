package agent

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// dialForgotten is the time without a link after which a dialled address is given
// up, as entries are replaced under new ones.
const dialForgotten = 3 * time.Hour

// dialEntry links to an entry of the own availability zone that is not linked yet.
func (c *control) dialEntry(m message.Member) {
	id := m.Identity
	if m.Leaving || id.Address == "" {
		return
	}
	if id.AvailabilityZone != c.agent.opts.Identity.AvailabilityZone {
		return
	}
	if _, known := c.dialled[id.Address]; known {
		return
	}
	c.dialled[id.Address] = c.agent.now()
	c.agent.opts.Dial(id.Address)
}

// forgetDials stops dialling addresses that have had no link for long.
func (c *control) forgetDials(now time.Duration) {
	for p := range c.peers {
		if addr := p.Identity().Address; c.dialled[addr] != 0 {
			c.dialled[addr] = now
		}
	}
	for addr, at := range c.dialled {
		if now-at >= dialForgotten {
			delete(c.dialled, addr)
			c.agent.opts.Undial(addr)
		}
	}
}
