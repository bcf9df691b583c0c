package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// A list that names many entries of other availability zones before any link to
// them is up leads to a few dials for each zone, and to all of the own zone.
func TestLearnDialsFewOfEachOtherZone(t *testing.T) {
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
	c.learn(list)
	c.learn(list)
	assert.Equal(t, len(dials), 16+2*linksPerRemoteZone)
	for _, m := range list {
		if dials[m.Identity.Address] > 0 {
			c.peerUp(linktest.NewPeer(m.Identity, ignore))
		}
	}
	c.learn(list)
	assert.Equal(t, len(dials), 16+2*linksPerRemoteZone)
}

// TestReplacedEntriesAreNoLongerDialled replaces a linked entry under a new address:
// the old address is given up after a while, the linked one never.
func TestReplacedEntriesAreNoLongerDialled(t *testing.T) {
	var undialled []string
	c := benchControl(0, 0)
	c.entry.opts.Undial = func(addr string) { undialled = append(undialled, addr) }
	member := func(incarnation uint64, addr string) message.Identity {
		return message.Identity{
			Role: message.RoleEntry, Name: "peer", AvailabilityZone: testZone, Incarnation: incarnation, Address: addr,
		}
	}
	before, after := member(1, "old:1"), member(2, "new:1")
	old := linktest.NewPeer(before, ignore)
	c.learn([]message.Member{{Identity: before}})
	c.peerUp(old)
	c.linkDown(old)
	c.learn([]message.Member{{Identity: after}})
	c.peerUp(linktest.NewPeer(after, ignore))
	c.forgetDials(dialForgotten / 2)
	assert.Equal(t, len(undialled), 0)
	c.forgetDials(dialForgotten + dialForgotten/4)
	assert.DeepEqual(t, undialled, []string{"old:1"})
}
