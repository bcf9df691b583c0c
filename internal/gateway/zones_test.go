package gateway

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/settings"
)

// Guards against a report of a zone that does not arrive as it was sent, against one that other
// messages' readers take for something else, and against a message that grows beyond its bound.
func TestZoneLoadsSurviveTheMessage(t *testing.T) {
	loads := make([]placement.ZoneLoad, 32)
	for i := range loads {
		loads[i] = placement.ZoneLoad{Service: math.MaxUint32, Slots: 720, Load: 810.5, Demand: 99.25}
	}
	b, err := cbor.Marshal(workMessage{Sender: "p", ZoneLoads: newZoneLoads(loads)})
	assert.NilError(t, err)
	assert.Assert(t, len(b) <= 800, "%d bytes", len(b))
	var m workMessage
	assert.NilError(t, cbor.Unmarshal(b, &m))
	assert.DeepEqual(t, decodeZoneLoads(m.ZoneLoads), loads)
	var earlier struct {
		Sender string `cbor:"1,keyasint,omitempty"`
	}
	assert.NilError(t, cbor.Unmarshal(b, &earlier))
	empty, err := cbor.Marshal(workMessage{Sender: "p", ZoneLoads: newZoneLoads(nil)})
	assert.NilError(t, err)
	assert.Assert(t, len(empty) < 8, "a gateway without the feature sends field 30")
}

// Guards against delays that are not used, or that depend on the order of the services.
func TestLongestConfiguredDelayCounts(t *testing.T) {
	g := newIdleGateway()
	engine := func(ms time.Duration) *fleet.Engine {
		return &fleet.Engine{Delays: []fleet.ZoneDelay{{From: "z", To: "y", Delay: ms * time.Millisecond}}}
	}
	g.balancer.SetTargets(0, []placement.Target{{ID: "x", Service: "s", AvailabilityZone: "y", Slots: 1, Accepting: true}})
	g.setZoneSettings(settings.ZoneRouting{Enabled: true}, &fleet.Config{Services: []fleet.Service{{Engine: engine(3)}, {}, {Engine: engine(1)}}})
	g.balancer.HandleZoneLoads(time.Second, "p", "y", []placement.ZoneLoad{{Service: placement.TargetKey("s"), Slots: 1}})
	g.balancer.ZoneLoads(time.Second)
	for _, s := range g.balancer.ZoneStatus(time.Second) {
		if s.Zone == "y" {
			assert.Equal(t, s.PredictedMs, 6.0)
			assert.Equal(t, s.Outcome, "only-remote")
		}
	}
}

// Guards against decisions that are not seen: each change has a log line, at most one a second for a
// pair of zones, and requests are counted by zone.
func TestZoneDecisionsAreReported(t *testing.T) {
	l := zoneLog{}
	due := func(at time.Duration, outcome string) bool {
		return l.due(at, &placement.ZoneStatus{Service: "s", Zone: "b", Outcome: outcome})
	}
	assert.Assert(t, !due(0, "none"))
	assert.Assert(t, due(0, "spill"))
	assert.Assert(t, !due(900*time.Millisecond, "none"))
	assert.Assert(t, !due(950*time.Millisecond, "spill"))
	assert.Assert(t, due(time.Second, "none"))
	assert.Assert(t, !due(3*time.Second, "none"))
	l.prune()
	l.prune()
	assert.Equal(t, len(l), 0)

	scope := tally.NewTestScope("", nil)
	c := newZoneCounters(scope, "a")
	c.inc("b", placement.ZoneSpill)
	c.inc("b", placement.ZoneSpill)
	for i := range 2 * maxCountedZones {
		c.inc(strings.Repeat("x", i), placement.ZoneLocal)
	}
	counters := scope.Snapshot().Counters()
	assert.Equal(t, counters["requests_by_zone+from=a,reason=spill,to=b"].Value(), int64(2))
	assert.Equal(t, counters["requests_by_zone+from=a,reason=local,to=other"].Value(), int64(maxCountedZones+1))
	assert.Equal(t, len(counters), maxCountedZones+1)
}

// Guards against a setting that takes effect only at the next start, and a state dump without it.
func TestZoneRoutingIsEnabledByAReload(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	zones := func() int {
		var s State
		b, err := json.Marshal(gw.g.State())
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(b, &s))
		return len(s.Zones)
	}
	gw.do(get("/safe/")...)
	assert.Equal(t, zones(), 0)
	changed := *gw.g.opts.Settings
	changed.ZoneRouting = settings.ZoneRouting{Enabled: true}
	gw.g.Reload(t.Context(), &changed)
	gw.do(get("/safe/")...)
	assert.Equal(t, zones(), 1)
	gw.g.Reload(t.Context(), gw.g.opts.Settings)
	assert.Equal(t, zones(), 0)
}
