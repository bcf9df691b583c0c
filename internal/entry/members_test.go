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
