package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopRefusesRequestsThatItHasNoTimeFor guards against requests that are taken in a stop although the answers
// of their route have taken longer than what is left of it: they reach a target and are cut off.
func TestStopRefusesRequestsThatItHasNoTimeFor(t *testing.T) {
	const work, left = time.Second, 500 * time.Millisecond
	gw := newTestGatewayWith(t, patientConfig(), func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/once/") {
			time.Sleep(work)
		}
		respond(200, "x")(w, r)
	}).waitReady()
	status, _, _, _ := gw.do(get("/once/")...)
	assert.Equal(t, status, 200)
	gw.g.opts.Settings.Limits.StopTimeout = left + stopMargin
	go gw.g.Stop(t.Context())
	gw.waitUntil("the stop has begun", func() bool { return gw.g.view.Load().stopping })

	status, header, _, whole := gw.do(get("/once/")...)
	assert.Equal(t, status, 503)
	assert.Check(t, whole && header.Get("Retry-After") != "")
	assert.Equal(t, len(gw.targets[0].requests()), 1)
	status, _, _, _ = gw.do(get("/once/", "T-Deadline: 100")...)
	assert.Equal(t, status, 504, "its time is up before the stop ends")
	status, _, _, _ = gw.do(get("/safe/")...)
	assert.Equal(t, status, 200, "nothing is known of its route")
	gw.waitUntil("the refusal is logged", func() bool { // the caller may have its answer before
		_, found := gw.logs.find("event=request", "kind=draining", "outcome=not-run", "usual_ms=1", "left_ms=")
		return found
	})
}

// TestAnswerTimesOfRoutesThatAreGoneAreDropped guards against a memory that grows with each change of the routes.
func TestAnswerTimesOfRoutesThatAreGoneAreDropped(t *testing.T) {
	times := newAnswerTimes()
	for i := range 100 {
		times.record(time.Duration(i)*time.Minute, time.Duration(i).String(), time.Second)
	}
	assert.Check(t, len(times.routes) <= 2, "%d routes", len(times.routes))
}
