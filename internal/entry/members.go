package entry

import (
	"math/rand/v2"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// memberList returns this entry and every entry it has a link to.
func (c *control) memberList() []message.Member {
	list := []message.Member{{Identity: c.entry.opts.Identity, Leaving: c.stopping}}
	for _, name := range sortedKeys(c.peers) {
		if s := c.peers[name]; len(s.links) > 0 {
			list = append(list, message.Member{Identity: s.identity, Leaving: c.leaving(name)})
		}
	}
	return list
}

// tellJoined tells everyone of the entries that were linked since the last time.
// Many joining at once cost one round instead of one for each.
func (c *control) tellJoined() {
	if c.joined {
		c.joined = false
		c.tellMembers()
	}
}

// tellMembers sends the known entries to every linked process.
func (c *control) tellMembers() {
	m := &message.Members{Members: c.memberList()}
	for _, s := range c.peers {
		sendAll(s.links, m)
	}
	for _, a := range c.agents {
		sendAll(a.links, m)
	}
}

func (c *control) tellMembersTo(p link.Peer) {
	_ = p.Send(&message.Members{Members: c.memberList()})
}

func sendAll(links []link.Peer, m message.Message) {
	for _, l := range links {
		_ = l.Send(m)
	}
}

// dialGrace is the time after which a dialled entry without a link no longer counts
// for its availability zone.
const dialGrace = 5 * time.Second

// dialForgotten is the time without a link after which a dialled address is given
// up, as entries are replaced under new ones. It is longer than regions lose each other.
const dialForgotten = 3 * time.Hour

// dial is an entry that was dialled because a peer named it.
type dial struct {
	identity message.Identity
	// at is when the entry was dialled or last seen linked.
	at time.Duration
}

// learn dials entries that are missing: all of the own availability zone, and a
// few of each other one, chosen at random so that links spread.
func (c *control) learn(list []message.Member) {
	for _, i := range rand.Perm(len(list)) {
		m := list[i]
		if !m.Leaving && c.wanted(m.Identity) {
			c.dialled[m.Identity.Address] = dial{identity: m.Identity, at: c.entry.now()}
			c.entry.opts.Dial(m.Identity.Address)
		}
	}
}

// forgetDials stops dialling addresses that have had no link for long.
func (c *control) forgetDials(now time.Duration) {
	for addr, d := range c.dialled {
		switch {
		case c.linked(d.identity.Name) && c.peers[d.identity.Name].identity.Address == addr:
			c.dialled[addr] = dial{identity: d.identity, at: now}
		case now-d.at >= dialForgotten:
			delete(c.dialled, addr)
			c.entry.opts.Undial(addr)
		}
	}
}

// wanted reports whether a link to an entry is missing.
func (c *control) wanted(id message.Identity) bool {
	own := c.entry.opts.Identity
	if id.Role != message.RoleEntry || id.Name == own.Name || id.Address == "" || c.linked(id.Name) {
		return false
	}
	if _, known := c.dialled[id.Address]; known {
		return false
	}
	if id.AvailabilityZone == own.AvailabilityZone {
		return true
	}
	return c.linksTo(id.AvailabilityZone)+c.dialsTo(id.AvailabilityZone) < linksPerRemoteZone
}

// linked reports whether there is a link to an entry.
func (c *control) linked(name string) bool {
	s := c.peers[name]
	return s != nil && len(s.links) > 0
}

// linksTo counts the linked entries of an availability zone.
func (c *control) linksTo(zone string) int {
	n := 0
	for name, s := range c.peers {
		if s.identity.AvailabilityZone == zone && c.linked(name) {
			n++
		}
	}
	return n
}

// dialsTo counts the entries of an availability zone that were dialled lately and
// are not linked yet.
func (c *control) dialsTo(zone string) int {
	n := 0
	for _, d := range c.dialled {
		if d.identity.AvailabilityZone == zone && c.entry.now()-d.at < dialGrace && !c.linked(d.identity.Name) {
			n++
		}
	}
	return n
}
