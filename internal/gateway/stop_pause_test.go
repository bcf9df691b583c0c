package gateway

import (
	"bufio"
	"io"
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

// TestAnswersGoOnInAStopThatWasNoticedLate guards against answers that are cut off as if the process had got
// the signal at the begin of a pause, and against requests that are not in the log if it is killed for that.
func TestAnswersGoOnInAStopThatWasNoticedLate(t *testing.T) {
	release := make(chan struct{})
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1, 0)(w, r)
		<-release
	}).waitReady()
	gw.standStill()
	timeout := stood + time.Second
	gw.g.opts.Settings.Limits.StopTimeout = timeout
	resp, err := http.ReadResponse(bufio.NewReader(gw.send(get("/stream/")...)), nil)
	assert.NilError(t, err)
	noticed := time.Now()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		gw.g.Stop(t.Context())
	}()
	// The signal may have been sent at the start of the process.
	time.Sleep(timeout - gw.g.now())
	_, found := gw.logs.find("event=unfinished", "request=a1")
	assert.Check(t, found, "the request is not in the log when the process may be killed")
	select {
	case <-stopped:
		t.Errorf("the stop ended %v after the signal was noticed", time.Since(noticed))
	default:
	}
	close(release)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), eventsUpTo(1))
	<-stopped
	assert.Check(t, time.Since(noticed) < timeout, "the stop went on beyond its time")
}
