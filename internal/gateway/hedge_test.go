package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
)

// threeAttempts is the patient configuration with routes that allow three attempts.
func threeAttempts() []fleet.Change {
	changes := patientConfig()
	for i := range changes[0].Config.Routes[1:] {
		changes[0].Config.Routes[1+i].MaxAttempts = 3
	}
	return changes
}

// standStill is a target that gives no sign of life until the request is cancelled.
func standStill(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// startAndStandStill sends the first three events of a stream and then nothing.
func startAndStandStill(w http.ResponseWriter, r *http.Request) {
	streamEvents(3, 0)(w, r)
	standStill(w, r)
}

// inTurn returns the handler of all targets: the first request that any of them gets is handled by the first
// handler, and so on; the last one handles the rest.
func inTurn(handlers ...http.HandlerFunc) http.HandlerFunc {
	if len(handlers) == 1 {
		return handlers[0]
	}
	return firstRunThen(handlers[0], inTurn(handlers[1:]...))
}

// expectIdle requires that nothing of a request is left: no attempt, and no place at a target.
func (gw *testGateway) expectIdle() {
	gw.t.Helper()
	poll.WaitOn(gw.t, func(poll.LogT) poll.Result {
		gw.g.mu.Lock()
		defer gw.g.mu.Unlock()
		inFlight := 0
		for _, f := range gw.targets {
			n, _, _, _ := gw.g.balancer.TargetStatus(gw.g.now(), f.id)
			inFlight += n
		}
		if n := len(gw.g.unanswered); n+inFlight > 0 || gw.g.answers.total.Load() > 0 || gw.g.inFlight.Load() > 0 {
			return poll.Continue("%d unanswered, %d at targets", n, inFlight)
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestQuarantineOfASecondRunLeavesTheFirst guards against a stream that is broken off because its second run,
// which has sent nothing, is cancelled.
func TestQuarantineOfASecondRunLeavesTheFirst(t *testing.T) {
	h := inTurn(pausingStream(3, 6), standStill)
	gw := newTestGatewayWith(t, patientConfig(), h, h).waitReady()
	gw.reportTwoGroups()
	c := gw.call("quarantined", "/stream/")
	gw.waitForLog("event=hedge", "outcome=started")
	gw.g.mu.Lock()
	for a := range gw.g.unanswered {
		a.cancel(errQuarantined)
	}
	gw.g.mu.Unlock()
	c.expect(eventsUpTo(6))
	gw.expectIdle()
}

// TestStalledRequestIsSentToAnotherTargetAfterARefusal guards against a request that waits for a silent target
// until its deadline, because its second target has refused it.
func TestStalledRequestIsSentToAnotherTargetAfterARefusal(t *testing.T) {
	for _, grouped := range []bool{false, true} {
		h := inTurn(startAndStandStill, refuse(503), streamEvents(6, 0))
		gw := newTestGatewayWith(t, threeAttempts(), h, h, h, h).waitReady()
		if grouped {
			gw.reportTwoGroups()
		}
		begin := time.Now()
		gw.call(fmt.Sprint("groups: ", grouped), "/stream/").expect(eventsUpTo(6))
		assert.Check(t, time.Since(begin) < 4*time.Second, "took %v", time.Since(begin))
		gw.expectIdle()
	}
}

// TestStalledRequestIsSentToAnotherTargetOnceTheBudgetAllowsIt guards against the same where the first check
// finds the retry budget empty.
func TestStalledRequestIsSentToAnotherTargetOnceTheBudgetAllowsIt(t *testing.T) {
	h := inTurn(startAndStandStill, streamEvents(6, 0))
	gw := newTestGatewayWith(t, patientConfig(), h, h).waitReady()
	limits := gw.g.opts.Settings.Limits
	gw.limitRepeats(0, 0)
	c := gw.call("budget", "/stream/")
	gw.waitForLog("event=hedge", "outcome=refused", "reason=budget")
	gw.limitRepeats(limits.RetryRatio, limits.RetrySlack)
	gw.g.mu.Lock()
	for range 5 {
		gw.g.budget("s").RecordRequest(gw.g.now(), gw.g.now())
	}
	gw.g.mu.Unlock()
	begin := time.Now()
	c.expect(eventsUpTo(6))
	assert.Check(t, time.Since(begin) < 3*time.Second, "took %v", time.Since(begin))
}

// TestTargetOfAnUnneededRunMayGoOnLater guards against a stream that breaks and can't resume, because the only
// other target had a run of it before that was not needed.
func TestTargetOfAnUnneededRunMayGoOnLater(t *testing.T) {
	first := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("T-Sign", "signed")
		for id := 1; id <= 6; id++ {
			if id == 4 {
				time.Sleep(standstill)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
			_ = http.NewResponseController(w).Flush()
		}
		time.Sleep(100 * time.Millisecond)
		closeConnection(w, r)
	}
	h := inTurn(first, standStill, streamEvents(9, 0))
	gw := newTestGatewayWith(t, threeAttempts(), h, h).waitReady()
	gw.reportTwoGroups()
	gw.call("resumed", "/stream/").expect(eventsUpTo(9))
}

// TestBothRunsEndWhenTheCallerLeaves guards against targets that work for nobody, and against a target that
// counts as failed since its caller has left.
func TestBothRunsEndWhenTheCallerLeaves(t *testing.T) {
	for _, path := range []string{"/safe/", "/stream/"} {
		first := http.HandlerFunc(standStill)
		if path == "/stream/" {
			first = startAndStandStill
		}
		for range 3 {
			h := inTurn(first, standStill)
			gw := newTestGatewayWith(t, patientConfig(), h, h).waitReady()
			c := gw.call("leaves", path)
			gw.waitForLog("event=hedge", "outcome=started")
			assert.NilError(t, c.conn.Close())
			gw.expectIdle()
			for _, f := range gw.targets {
				for _, r := range f.requests() {
					select {
					case <-r.Context().Done():
					case <-time.After(time.Second):
						t.Errorf("%s: target %s is still at work", path, f.id)
					}
				}
				gw.g.mu.Lock()
				_, _, failures, _ := gw.g.balancer.TargetStatus(gw.g.now(), f.id)
				gw.g.mu.Unlock()
				assert.Check(t, failures == 0, "%s: target %s has failure rate %v", path, f.id, failures)
			}
		}
	}
}

// TestRunThatIsGivenUpEndsAtOnce guards against a target that works on a request with which another one has
// gone on, until that has ended.
func TestRunThatIsGivenUpEndsAtOnce(t *testing.T) {
	ended := make(chan time.Time, 1)
	first := func(w http.ResponseWriter, r *http.Request) {
		startAndStandStill(w, r)
		ended <- time.Now()
	}
	second := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("T-Sign", "signed")
		for id := 4; id <= 6; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(400 * time.Millisecond)
		}
	}
	h := inTurn(first, second)
	gw := newTestGatewayWith(t, patientConfig(), h, h).waitReady()
	gw.reportTwoGroups()
	gw.call("given up", "/stream/").expect(eventsUpTo(6))
	complete := time.Now()
	assert.Check(t, complete.Sub(<-ended) > 600*time.Millisecond, "the first run went on until the stream was complete")
	gw.expectIdle()
}

// TestRequestLineNamesTheTargetThatAnswered guards against a log line that names the target of a run which
// was not needed.
func TestRequestLineNamesTheTargetThatAnswered(t *testing.T) {
	answered := make(chan string, 1)
	slow := func(w http.ResponseWriter, r *http.Request) {
		answered <- r.Header.Get("T-Expect")
		time.Sleep(time.Second)
		respond(200, "first")(w, r)
	}
	h := inTurn(slow, standStill)
	gw := newTestGatewayWith(t, patientConfig(), h, h).waitReady()
	gw.call("line", "/safe/").expect("first")
	gw.waitForLog("event=request", "target="+<-answered)
}

// TestRelayedEventsDoNotCountAsHeld guards against streams that are broken off because the bytes of others, which
// their callers have got, use up the bound on the answers in progress.
func TestRelayedEventsDoNotCountAsHeld(t *testing.T) {
	const events, size = 70, 100 << 10 // less than the bound of one answer
	const streams = maxTotalAnswerBytes/(events*size) + 2
	h := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Sign", "signed")
		for id := 1; id <= events; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", size))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(30 * time.Millisecond)
		}
	}
	gw := newTestGatewayWith(t, patientConfig(), h, h, h, h).waitReady()
	var callers sync.WaitGroup
	for range streams {
		callers.Go(func() {
			_, _, body, whole := gw.do(get("/stream/")...)
			assert.Check(t, whole, "cut off after %d bytes", len(body))
		})
	}
	callers.Wait()
	gw.expectIdle()
}
