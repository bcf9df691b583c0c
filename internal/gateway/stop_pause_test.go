package gateway

import (
	"bufio"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/pause"
)

// stood is how long the process of these tests has stood still when it notices the signal.
const stood = 2 * time.Second

// standStill makes the gateway believe that its process stood still from its start until now.
func (gw *testGateway) standStill() {
	time.Sleep(stood)
	gw.g.mu.Lock()
	defer gw.g.mu.Unlock()
	gw.g.pauses = pause.NewDetector(stood / 2)
}

// TestRequestsAreRefusedInTimeAfterASignalThatWasNoticedLate guards against requests that are taken so long
// after the signal that the process may be killed before they end.
func TestRequestsAreRefusedInTimeAfterASignalThatWasNoticedLate(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	gw.standStill()
	go gw.g.Stop(t.Context())
	status, _, _, _ := gw.do(get("/safe/")...)
	assert.Equal(t, status, 200)
	time.Sleep(stopIdleTime - stood)
	status, header, _, _ := gw.do(get("/safe/")...)
	assert.Equal(t, status, 503)
	assert.Check(t, header.Get("Retry-After") != "")
	_, found := gw.logs.find("event=stopping", "signal_age_ms=2", "refuses_in_ms=", "ends_in_ms=")
	assert.Check(t, found)
}

// TestStopEndsBeforeTheKillAfterASignalThatWasNoticedLate guards against a process that is killed since it has
// begun its stop late, and against one that ends sooner than it must.
func TestStopEndsBeforeTheKillAfterASignalThatWasNoticedLate(t *testing.T) {
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1, 0)(w, r)
		<-r.Context().Done()
	}).waitReady()
	gw.standStill()
	gw.g.opts.Settings.Limits.StopTimeout = stood + time.Second
	_, err := http.ReadResponse(bufio.NewReader(gw.send(get("/stream/")...)), nil)
	assert.NilError(t, err)
	gw.g.Stop(t.Context())
	left := stood + time.Second - gw.g.now() // the signal may have been sent at the start of the process
	assert.Check(t, left > 0 && left <= stopMargin, "%v are left at the end of the stop", left)
}
