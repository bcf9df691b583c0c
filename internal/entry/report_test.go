package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// TestReportsNameTargetsOnlyOnNewLinkOrChange sends reports between two entries, counts
// those with the names of the targets, and compares the receiver's targets with the sender's.
func TestReportsNameTargetsOnlyOnNewLinkOrChange(t *testing.T) {
	sender, receiver := benchControl(3, 0), benchControl(0, 0)
	from := message.Identity{Role: message.RoleEntry, Name: "from", AvailabilityZone: testZone, Incarnation: 1}
	named := 0
	linkUp := func() {
		back := linktest.NewPeer(from, ignore)
		receiver.addPeerLink(back)
		to := message.Identity{Role: message.RoleEntry, Name: "to", AvailabilityZone: "other", Incarnation: 1}
		p := linktest.NewPeer(to, func(m message.Message) error {
			if r, ok := m.(*message.ZoneReport); ok {
				if !r.SameAgents {
					named++
				}
				receiver.updateZone(back, r)
			}
			return nil
		})
		sender.addPeerLink(p)
	}
	check := func(wantNamed int) {
		t.Helper()
		assert.Equal(t, named, wantNamed)
		for _, r := range sender.poolReports() {
			pool := receiver.peers["from"].pools[r.Pool]
			assert.Assert(t, pool != nil, r.Pool)
			assert.DeepEqual(t, pool.agents, r.Agents)
		}
	}
	linkUp()
	check(1)
	sender.reportToPeers()
	sender.reportToPeers()
	check(1)
	leaving := sender.agents["agent-000"]
	leaving.links = nil
	sender.sendReportsIfDue()
	check(2)
	sender.peers["to"].links = nil
	linkUp()
	check(3)
	sender.reportToPeers()
	check(3)
}
