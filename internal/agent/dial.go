package agent

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// dialExpiry is the time without a link after which a dialled address is no longer
// dialled, because replaced entries get new addresses.
const dialExpiry = 3 * time.Hour

// dialEntry dials an entry of the local availability zone unless its address is already
// being dialled.
func (c *control) dialEntry(m message.Member) {
	id := m.Identity
	if m.Leaving || id.Address == "" {
		return
	}
	if id.AvailabilityZone != c.agent.opts.Identity.AvailabilityZone {
		return
	}
	if _, known := c.lastLinked[id.Address]; known {
		return
	}
	c.lastLinked[id.Address] = c.agent.now()
	c.agent.opts.Dial(id.Address)
}

// expireDials stops dialling addresses that have had no link for dialExpiry.
func (c *control) expireDials(now time.Duration) {
	for p := range c.peers {
		if addr := p.Identity().Address; c.lastLinked[addr] != 0 {
			c.lastLinked[addr] = now
		}
	}
	for addr, at := range c.lastLinked {
		if now-at >= dialExpiry {
			delete(c.lastLinked, addr)
			c.agent.opts.StopDialling(addr)
		}
	}
}
