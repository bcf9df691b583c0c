package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// TestReportsNameTargetsOncePerLinkAndChange sends reports between two entries and
// compares what the receiver knows with the sender's targets after each.
func TestReportsNameTargetsOncePerLinkAndChange(t *testing.T) {
	sender, receiver := benchControl(3, 0), benchControl(0, 0)
	from := message.Identity{Role: message.RoleEntry, Name: "from", AvailabilityZone: testZone, Incarnation: 1}
	named := 0
	linkUp := func() {
		back := linktest.NewPeer(from, ignore)
		receiver.peerUp(back)
		to := message.Identity{Role: message.RoleEntry, Name: "to", AvailabilityZone: "other", Incarnation: 1}
		p := linktest.NewPeer(to, func(m message.Message) error {
			if r, ok := m.(*message.ZoneReport); ok {
				if !r.SameAgents {
					named++
				}
				receiver.zoneReport(back, r)
			}
			return nil
		})
		sender.peerUp(p)
	}
	check := func(wantNamed int) {
		t.Helper()
		assert.Equal(t, named, wantNamed)
		for _, r := range sender.poolReports() {
			st := receiver.peers["from"].pools[r.Pool]
			assert.Assert(t, st != nil, r.Pool)
			assert.DeepEqual(t, st.agents, r.Agents)
		}
	}
	linkUp()
	check(1)
	sender.reportToPeers()
	sender.reportToPeers()
	check(1)
	leaving := sender.agents["agent-000"]
	leaving.links = nil
	sender.checkReport()
	check(2)
	sender.peers["to"].links = nil
	linkUp()
	check(3)
	sender.reportToPeers()
	check(3)
}
