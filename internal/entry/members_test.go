package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// TestDialMissingLimitsLinksPerRemoteZone handles a list of many entries before any of
// them is linked: all entries of the local availability zone must be dialled, but only
// linksPerRemoteZone of each other zone.
func TestDialMissingLimitsLinksPerRemoteZone(t *testing.T) {
	dials := make(map[string]int)
	c := benchControl(0, 0)
	c.entry.opts.Dial = func(addr string) { dials[addr]++ }
	var list []message.Member
	for _, zone := range []string{testZone, "other-0", "other-1"} {
		for i := range 16 {
			list = append(list, message.Member{Identity: message.Identity{
				Role: message.RoleEntry, Name: fmt.Sprintf("%s-%d", zone, i), AvailabilityZone: zone,
				Incarnation: 1, Address: fmt.Sprintf("%s:%d", zone, i),
			}})
		}
	}
	c.dialMissing(list)
	c.dialMissing(list)
	assert.Equal(t, len(dials), 16+2*linksPerRemoteZone)
	for _, m := range list {
		if dials[m.Identity.Address] > 0 {
			c.addPeerLink(linktest.NewPeer(m.Identity, ignore))
		}
	}
	c.dialMissing(list)
	assert.Equal(t, len(dials), 16+2*linksPerRemoteZone)
}

// TestDialsToReplacedEntriesExpire replaces a linked entry by one with a new address:
// the old address must no longer be dialled after dialExpiry, the linked one must be kept.
func TestDialsToReplacedEntriesExpire(t *testing.T) {
	var stopped []string
	c := benchControl(0, 0)
	c.entry.opts.StopDialling = func(addr string) { stopped = append(stopped, addr) }
	member := func(incarnation uint64, addr string) message.Identity {
		return message.Identity{
			Role: message.RoleEntry, Name: "peer", AvailabilityZone: testZone, Incarnation: incarnation, Address: addr,
		}
	}
	before, after := member(1, "old:1"), member(2, "new:1")
	old := linktest.NewPeer(before, ignore)
	c.dialMissing([]message.Member{{Identity: before}})
	c.addPeerLink(old)
	c.removeLink(old)
	c.dialMissing([]message.Member{{Identity: after}})
	c.addPeerLink(linktest.NewPeer(after, ignore))
	c.expireDials(dialExpiry / 2)
	assert.Equal(t, len(stopped), 0)
	c.expireDials(dialExpiry + dialExpiry/4)
	assert.DeepEqual(t, stopped, []string{"old:1"})
}

// TestDialsToTheAddressOfALiveLinkDoNotExpire gives the address of an entry to another one: the
// dialled link to that one carries answers, and must not be closed after dialExpiry.
func TestDialsToTheAddressOfALiveLinkDoNotExpire(t *testing.T) {
	var stopped []string
	c := benchControl(0, 0)
	c.entry.opts.StopDialling = func(addr string) { stopped = append(stopped, addr) }
	member := func(name string) message.Identity {
		return message.Identity{
			Role: message.RoleEntry, Name: name, AvailabilityZone: testZone, Incarnation: 1, Address: "same:1",
		}
	}
	c.dialMissing([]message.Member{{Identity: member("before")}})
	old := linktest.NewPeer(member("before"), ignore)
	c.addPeerLink(old)
	c.removeLink(old)
	c.addPeerLink(linktest.NewPeer(member("after"), ignore))
	c.expireDials(dialExpiry / 2)
	c.expireDials(dialExpiry + dialExpiry/4)
	assert.Equal(t, len(stopped), 0)
}
