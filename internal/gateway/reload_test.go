package gateway

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/settings"
)

// reloadStopTimeout changes the stop timeout by a reload of the settings.
func (gw *testGateway) reloadStopTimeout(timeout time.Duration) {
	changed := *gw.g.opts.Settings
	changed.Limits.StopTimeout = timeout
	gw.g.Reload(gw.t.Context(), &changed)
}

// Guards against answers that a stop cuts off: the time to stop was raised by a reload before the stop.
func TestRaisedStopTimeoutIsInForce(t *testing.T) {
	answer := make(chan struct{})
	gw := newTestGatewayWith(t, patientConfig(), func(w http.ResponseWriter, r *http.Request) {
		<-answer
		respond(200, "x")(w, r)
	}).waitReady()
	const early = stopMargin + stopIdleTime
	gw.g.opts.Settings.Limits.StopTimeout = early // at the start
	gw.reloadStopTimeout(time.Minute)
	c := gw.send(get("/once/")...)
	gw.waitForRequest()
	stopped := make(chan bool, 1)
	go func() { stopped <- gw.g.Stop(t.Context()) }()
	select {
	case <-stopped:
		t.Error("the stop ended by the earlier timeout")
	case <-time.After(early + sweepInterval + 2*stopPollInterval):
	}
	close(answer)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "x")
	if !t.Failed() {
		assert.Assert(t, <-stopped, "the stop left the request")
	}
}

// Guards against a stop that goes on beyond the time at which the process may be killed: the time to stop
// was lowered by a reload before the stop.
func TestLoweredStopTimeoutIsInForce(t *testing.T) {
	answer := make(chan struct{})
	gw := newTestGatewayWith(t, patientConfig(), func(http.ResponseWriter, *http.Request) { <-answer }).waitReady()
	defer close(answer)
	gw.reloadStopTimeout(stopMargin + stopIdleTime)
	gw.send(get("/once/")...)
	gw.waitForRequest()
	stopped := make(chan bool, 1)
	go func() { stopped <- gw.g.Stop(t.Context()) }()
	select {
	case whole := <-stopped:
		assert.Assert(t, !whole)
	case <-time.After(gw.g.opts.Settings.Limits.StopTimeout - 2*time.Second):
		t.Error("the stop goes on by the earlier timeout")
	}
}

// inspection is an event that reads the state of the control goroutine.
type inspection func(c *control)

func (i inspection) apply(c *control) { i(c) }

// Guards against a setting of which a part of the gateway goes on using the value of the start. Each live setting
// has a row; TestEverySettingIsLiveOrNeedsARestart in package settings fails for one that is added.
func TestEveryLiveSettingIsInForceAfterAReload(t *testing.T) {
	gw := newTestGateway(t).waitReady()
	changed := *gw.g.opts.Settings
	changed.Limits = settings.GatewayLimits{
		RetryRatio: 0.5, RetrySlack: 640, RetryWindow: 7 * time.Second, ColdFactor: 3, ColdSlack: 9,
		DrainTimeout: 5 * time.Second, StopTimeout: 17 * time.Second,
	}
	changed.ZoneRouting = settings.ZoneRouting{Enabled: true, CostMs: 7}
	gw.g.Reload(t.Context(), &changed)
	shares := gw.g.view.Load().shares
	assert.Equal(t, shares.retries.Ratio, 0.5)
	assert.Equal(t, shares.retries.Slack, 640.0/assumedGateways)
	assert.Equal(t, shares.retries.Span, 7*time.Second)
	assert.Equal(t, shares.coldFactor, 3.0)
	assert.Equal(t, shares.coldSlack, 9.0)
	inspected := make(chan struct{})
	gw.g.post(t.Context(), inspection(func(c *control) {
		defer close(inspected)
		assert.Check(t, c.registry.DrainTimeout() == 5*time.Second)
		assert.Check(t, c.peers.store.CurrentDrainTimeout() == 5*time.Second)
		assert.Check(t, c.zoneSettings == changed.ZoneRouting)
	}))
	<-inspected
	assert.Equal(t, gw.g.timeToKill(), 17*time.Second-stopMargin)
}
