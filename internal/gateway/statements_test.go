package gateway

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
)

// arrivals records the times at which a target gets requests.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

// record returns a handler that records its calls and calls next.
func (a *arrivals) record(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		a.times = append(a.times, time.Now())
		a.mu.Unlock()
		next(w, r)
	}
}

// since returns the times of the calls after a time.
func (a *arrivals) since(t time.Time) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(a.times), func(at time.Time) bool { return at.Before(t) })
}

// mostWithin returns the highest number of times in any span.
func mostWithin(times []time.Time, span time.Duration) int {
	most := 0
	for i := range times {
		n := 0
		for j := i; j < len(times) && times[j].Sub(times[i]) < span; j++ {
			n++
		}
		most = max(most, n)
	}
	return most
}

// respondWith responds like respond, with a header field added.
func respondWith(name, value string, status int) http.HandlerFunc {
	next := respond(status, "x")
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		next(w, r)
	}
}

// sendFor sends requests at an interval for a time and returns how many were served.
func (gw *testGateway) sendFor(d, interval time.Duration) (served int) {
	gw.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		if status, _, _, _ := gw.do(get("/safe/")...); status == 200 {
			served++
		}
	}
	return served
}

// Guards against a target in need that gets more requests than the rate that it names in its
// answers.
func TestTargetGetsNoMoreThanTheRateThatItNames(t *testing.T) {
	const (
		rate  = 2.0
		span  = 4 * time.Second
		bound = int(1.5*rate*4) + 5
	)
	var a arrivals
	gw := newTestGateway(t, a.record(respondWith("T-Limit", "2", 200)), respond(200, "x")).waitReady()
	served := gw.sendFor(6*time.Second, 30*time.Millisecond)
	got := mostWithin(a.since(time.Now().Add(-span-time.Second)), span)
	assert.Check(t, got <= bound, "%d requests in %v", got, span)
	assert.Check(t, served > 100, "%d requests were served, the other target can serve all", served)
}

// Guards against requests to a target that says in its answers that it leaves, although its
// entry in the store is still ready.
func TestTargetThatSaysItLeavesGetsNoNewWork(t *testing.T) {
	var a arrivals
	gw := newTestGateway(t, a.record(respondWith("T-Leaving", "1", 200)), respond(200, "x")).waitReady()
	gw.sendFor(time.Second, 10*time.Millisecond)
	assert.Equal(t, len(a.since(time.Time{})), 1)
	gw.waitForLog("event=belief", "topic=targets", "subject=t0", "outcome=leaving")
}

// Guards against requests to a target during the time for which it has asked for none.
func TestRefusingTargetGetsNothingForTheTimeThatItNames(t *testing.T) {
	const pause = 1500 * time.Millisecond
	var a arrivals
	refuse := respondWith("Retry-After", "1.5", 503)
	gw := newTestGateway(t, a.record(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("T-Not-Run", "1")
		refuse(w, r)
	}), respond(200, "x")).waitReady()
	served := gw.sendFor(4*pause, 10*time.Millisecond)
	got := a.since(time.Time{})
	assert.Check(t, len(got) >= 2 && len(got) <= 4, "%d requests", len(got))
	assert.Check(t, mostWithin(got, pause-10*time.Millisecond) == 1, "more than one request within %v", pause)
	assert.Check(t, served > 100, "%d requests were served", served)
}

// Guards against a pause that is forgotten because the target's entry in the store lapses and
// returns.
func TestPauseOutlastsALapseOfTheEntry(t *testing.T) {
	const pause = 3 * time.Second
	var a arrivals
	refuse := respondWith("Retry-After", "3", 503)
	gw := newTestGateway(t, a.record(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("T-Not-Run", "1")
		refuse(w, r)
	}), respond(200, "x")).waitReady()
	gw.sendFor(500*time.Millisecond, 10*time.Millisecond)
	entry := gw.store.content[fleet.TopicTargets][0]
	gw.store.change(fleet.TopicTargets, fleet.Change{Name: entry.Name, Removed: true})
	gw.waitForLog("event=belief", "topic=targets", "subject=t0", "outcome=gone")
	gw.store.change(fleet.TopicTargets, entry)
	served := gw.sendFor(pause-time.Second, 10*time.Millisecond)
	got := a.since(time.Time{})
	assert.Check(t, len(got) == 1, "%d requests within %v", len(got), pause)
	assert.Check(t, served > 50, "%d requests were served", served)
}
