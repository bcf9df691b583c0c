package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
)

// TestSilentTargetDelaysOneRequest makes one of two engines stand still, together with the
// reports from its instance. Only the request that finds out may wait; it moves to the other
// engine, and further requests go there at once.
func TestSilentTargetDelaysOneRequest(t *testing.T) {
	const atOnce = 300 * time.Millisecond
	standStill := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	config := testConfig(1)
	config.Services[0].Engine = &fleet.Engine{Slots: 4}
	gw := newTestGatewayWith(t, []fleet.Change{{Name: "main", Config: config}}, standStill, streamEvents(5, 0)).waitReady()
	report := func(i int) {
		gw.g.mu.Lock()
		defer gw.g.mu.Unlock()
		gw.g.balancer.HandleGroupReport(gw.g.now(), gw.targets[i].id, "group-"+gw.targets[i].id, 1, true)
	}
	report(0)
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		for begin := time.Now(); time.Since(begin) < 3*time.Second; <-ticker.C {
			report(1)
		}
	}()
	delayed := 0
	for range 20 {
		begin := time.Now()
		_, _, body, whole := gw.do(get("/stream/")...)
		assert.Assert(t, whole)
		assert.Equal(t, body, eventsUpTo(5))
		if time.Since(begin) > atOnce {
			delayed++
		}
	}
	assert.Assert(t, delayed <= 1, "%d requests were delayed", delayed)
	assert.Assert(t, len(gw.targets[0].requests()) <= 1, "%d requests", len(gw.targets[0].requests()))
	gw.waitForLog("event=belief", "subject=t0", "outcome=silent")
	<-reported
}
