package gateway

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
)

// waitForLog waits until the gateway has logged a line that contains all parts.
func (gw *testGateway) waitForLog(parts ...string) string {
	gw.t.Helper()
	var line string
	poll.WaitOn(gw.t, func(poll.LogT) poll.Result {
		found, ok := gw.logs.find(parts...)
		if !ok {
			return poll.Continue("no line with %q", parts)
		}
		line = found
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	return line
}

// The log must show how long an outage of the store lasted, when the last call failed and
// how long a lapsed target is kept.
func TestStoreOutageIsLogged(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	gw.store.setErr(errors.New("store is down"))
	gw.waitForLog("event=store-lost", "topic=targets")
	gw.store.change(fleet.TopicTargets, fleet.Change{Name: "t0", Removed: true})
	gw.store.setErr(nil)
	for _, part := range []string{"lost_ms=", "failed_calls=", "last_failure_ms_ago="} {
		gw.waitForLog("event=store-regained", "topic=targets", part)
	}
	gw.waitForLog("event=belief", "subject=t0", "outcome=lapsed", "keep_ms=")
}
