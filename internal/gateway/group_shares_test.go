package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/placement"
)

// Guards against a model for services without levels, which keep the former controller.
func TestOnlyServicesWithLevelsUseStepTimes(t *testing.T) {
	for levels, want := range map[int]time.Duration{0: 0, 1: 14 * time.Millisecond} {
		split := []fleet.WeightedService{{Service: "s", Weight: 1}}
		v := &view{index: fleet.NewIndex(&fleet.Config{
			Routes:   []fleet.Route{{Split: split}, {Split: split, Priority: levels}},
			Services: []fleet.Service{{Name: "s", Engine: &fleet.Engine{StepTime: 14 * time.Millisecond, StepTimePerRequest: time.Millisecond}}},
		})}
		p := (&Gateway{}).placementTarget(v, fleet.Target{Service: "s"}, false)
		assert.Equal(t, p.StepTime, want)
		assert.Equal(t, p.StepTimePerRequest > 0, want > 0)
	}
}

// Guards against log lines at each change of a share, and against none when it crosses a multiple of
// 0.1.
func TestChangedShareOfAGroupIsLoggedOnce(t *testing.T) {
	gw := newTestGateway(t).waitReady()
	c, now := newControl(gw.g), gw.g.now()
	gw.g.mu.Lock()
	gw.g.balancer.SetTargets(now, []placement.Target{{ID: "m", Service: "m", Slots: 10, Accepting: true, StepTime: time.Millisecond, StepTimePerRequest: time.Millisecond}})
	gw.g.balancer.SetGroup("m", "x")
	gw.g.mu.Unlock()
	c.logGroupShares()
	for i := range 3 {
		gw.g.mu.Lock()
		gw.g.balancer.RecordEvent(now+time.Duration(i-3)*50*time.Millisecond, "m", 150*time.Millisecond, 120*time.Millisecond)
		gw.g.mu.Unlock()
		c.logGroupShares()
	}
	gw.waitForLog("event=belief", "topic=groups", "subject=x", "outcome=share", "share=0.5", "longest_gap_ms=150", "load=0")
	assert.Equal(t, len(gw.g.State().(State).Groups), 1)
	at := c.loggedShares["x"].at
	c.logGroupShares()
	assert.Equal(t, c.loggedShares["x"].at, at)
}
