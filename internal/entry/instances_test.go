package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// TestListedLeavingAgentGetsNoNewWork applies lagging lists to one name: the listed
// incarnation gets no work, its successor does although the list still shows the name
// as leaving, and a list that shows it as live clears the record.
func TestListedLeavingAgentGetsNoNewWork(t *testing.T) {
	c := benchControl(1, 0)
	usable := func() bool {
		c.publish()
		pools := c.entry.view.Load().routing.Pools
		return pools[0].Targets[0].Usable()
	}
	list := func(s platform.InstanceState) {
		instancesListed{list: []platform.Instance{{Name: "agent-000", State: s}}}.apply(c)
	}
	assert.Assert(t, usable())
	list(platform.InstanceLeaving)
	assert.Assert(t, !usable())
	c.agents["agent-000"].identity.Incarnation = 2
	list(platform.InstanceLeaving)
	assert.Assert(t, usable(), "the list refers to the previous incarnation")
	list(platform.InstanceLive)
	list(platform.InstanceLeaving)
	assert.Assert(t, !usable(), "the list refers to the current incarnation")
	list(platform.InstanceLive)
	assert.Assert(t, usable())
}

func TestListIntervalGrowsWithTheList(t *testing.T) {
	assert.Equal(t, listInterval(30), minListInterval)
	assert.Assert(t, listInterval(950) > 40*time.Second)
	assert.Equal(t, listInterval(100_000), maxListInterval)
}
