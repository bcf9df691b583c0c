package agent

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// undialAfter is the time without a link after which a dialled address is no longer
// dialled; a replaced entry has a new address.
const undialAfter = 3 * time.Hour

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

// undialStale stops dialling addresses that have had no link for undialAfter.
func (c *control) undialStale(now time.Duration) {
	for p := range c.peers {
		if addr := p.Identity().Address; c.lastLinked[addr] != 0 {
			c.lastLinked[addr] = now
		}
	}
	for addr, at := range c.lastLinked {
		if now-at >= undialAfter {
			delete(c.lastLinked, addr)
			c.agent.opts.StopDialling(addr)
		}
	}
}
