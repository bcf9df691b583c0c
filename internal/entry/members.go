package entry

import (
	"math/rand/v2"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// memberList returns this entry and every entry that it has a link to.
func (c *control) memberList() []message.Member {
	list := []message.Member{{Identity: c.entry.opts.Identity, Leaving: c.stopping}}
	for _, name := range sortedKeys(c.peers) {
		if s := c.peers[name]; len(s.links) > 0 {
			list = append(list, message.Member{Identity: s.identity, Leaving: c.isLeaving(name)})
		}
	}
	return list
}

// announceNewPeers sends the list of entries to every linked process if an entry was
// linked since the last time. When many entries join at once, one round of messages
// serves all of them.
func (c *control) announceNewPeers() {
	if c.peersAdded {
		c.peersAdded = false
		c.sendMembers()
	}
}

// sendMembers sends the list of entries to every linked process.
func (c *control) sendMembers() {
	m := &message.Members{Members: c.memberList()}
	for _, s := range c.peers {
		sendAll(s.links, m)
	}
	for _, a := range c.agents {
		sendAll(a.links, m)
	}
}

func (c *control) sendMembersTo(p link.Peer) {
	_ = p.Send(&message.Members{Members: c.memberList()})
}

func sendAll(links []link.Peer, m message.Message) {
	for _, l := range links {
		_ = l.Send(m)
	}
}

// pendingDialTimeout is the time after which a dialled entry without a link no longer
// counts as one of its availability zone's links.
const pendingDialTimeout = 5 * time.Second

// dialExpiry is the time without a link after which a dialled address is no longer
// dialled, because replaced entries get new addresses. It is longer than the time for
// which regions are disconnected from each other.
const dialExpiry = 3 * time.Hour

// dial is an entry that was dialled because a peer named it.
type dial struct {
	identity message.Identity
	// lastLinked is when the entry was dialled or last had a link, counted from the start
	// of this entry.
	lastLinked time.Duration
}

// dialMissing dials entries to which a link is missing: all of the local availability
// zone, and up to linksPerRemoteZone of each other one. The order is random, so that
// the links are spread over the entries.
func (c *control) dialMissing(list []message.Member) {
	for _, i := range rand.Perm(len(list)) {
		m := list[i]
		if !m.Leaving && c.needsLink(m.Identity) {
			c.dials[m.Identity.Address] = dial{identity: m.Identity, lastLinked: c.entry.now()}
			c.entry.opts.Dial(m.Identity.Address)
		}
	}
}

// expireDials stops dialling the addresses that have had no link for dialExpiry. An address
// may belong to another entry than the one that it was dialled for.
func (c *control) expireDials(now time.Duration) {
	for name, s := range c.peers {
		if _, dialled := c.dials[s.identity.Address]; dialled && c.isLinked(name) {
			c.dials[s.identity.Address] = dial{identity: s.identity, lastLinked: now}
		}
	}
	for addr, d := range c.dials {
		if now-d.lastLinked >= dialExpiry {
			delete(c.dials, addr)
			c.entry.opts.StopDialling(addr)
		}
	}
}

// needsLink reports whether the entry with the given identity should be dialled.
func (c *control) needsLink(id message.Identity) bool {
	own := c.entry.opts.Identity
	if id.Role != message.RoleEntry || id.Name == own.Name || id.Address == "" || c.isLinked(id.Name) {
		return false
	}
	if _, known := c.dials[id.Address]; known {
		return false
	}
	if id.AvailabilityZone == own.AvailabilityZone {
		return true
	}
	return c.countLinked(id.AvailabilityZone)+c.countPendingDials(id.AvailabilityZone) < linksPerRemoteZone
}

// isLinked reports whether there is a link to an entry.
func (c *control) isLinked(name string) bool {
	s := c.peers[name]
	return s != nil && len(s.links) > 0
}

// countLinked counts the linked entries of an availability zone.
func (c *control) countLinked(zone string) int {
	n := 0
	for name, s := range c.peers {
		if s.identity.AvailabilityZone == zone && c.isLinked(name) {
			n++
		}
	}
	return n
}

// countPendingDials counts the entries of an availability zone that were dialled within
// pendingDialTimeout and are not linked yet.
func (c *control) countPendingDials(zone string) int {
	n := 0
	for _, d := range c.dials {
		if d.identity.AvailabilityZone == zone && c.entry.now()-d.lastLinked < pendingDialTimeout && !c.isLinked(d.identity.Name) {
			n++
		}
	}
	return n
}
