package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/retry"
)

// standstill is how long the first run of a request makes no progress: longer than the longest stall
// timeout.
const standstill = 2 * time.Second

// patientConfig is the test's configuration with time for a run that stands still.
func patientConfig() []fleet.Change {
	c := testConfig(1)
	for i := range c.Routes {
		c.Routes[i].Timeout = 8 * time.Second
	}
	c.Routes[1].Objective = 500 * time.Millisecond
	return []fleet.Change{{Name: "main", Config: c}}
}

// pausingStream sends the events up to pauseAfter, stands still, and goes on to its end.
func pausingStream(pauseAfter, last int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("T-Sign", "signed")
		w.(http.Flusher).Flush() // the head
		for id := 1; id <= last; id++ {
			if id == pauseAfter+1 {
				time.Sleep(standstill)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		if pauseAfter >= last {
			time.Sleep(standstill)
		}
	}
}

// firstRunThen returns the handler of all targets: the first request that any of them gets is handled
// by first, and the others by later.
func firstRunThen(first, later http.HandlerFunc) http.HandlerFunc {
	var runs atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			first(w, r)
			return
		}
		later(w, r)
	}
}

// laterRuns are targets at which no second run of a stream goes on.
func laterRuns() map[string]http.HandlerFunc {
	return map[string]http.HandlerFunc{
		"full":         refuse(503),
		"failed":       respond(500, "no"),
		"closed":       closeConnection,
		"nothing left": rawAnswer("HTTP/1.1 200 OK\r\nT-Sign: signed\r\nContent-Type: text/event-stream\r\nContent-Length: 0", ""),
		"silent":       func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	}
}

// pendingCall is a request whose answer has not been read.
type pendingCall struct {
	name string
	gw   *testGateway
	conn net.Conn
}

// call sends a request whose answer is read later, so that several gateways work at the same time.
func (gw *testGateway) call(name, path string) pendingCall {
	return pendingCall{name: name, gw: gw, conn: gw.send(get(path)...)}
}

// expect requires a whole answer with status 200 and the body.
func (c pendingCall) expect(want string) {
	t := c.gw.t
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if !assert.Check(t, err, c.name) {
		return
	}
	body, err := io.ReadAll(resp.Body)
	assert.Check(t, err == nil && resp.StatusCode == 200 && string(body) == want,
		"%s: status %d, error %v, body %q", c.name, resp.StatusCode, err, body)
}

// TestStreamThatPausesIsNotEndedWithoutAnotherRun guards against a gateway that ends a sound stream
// because its target makes no progress for a while, and then finds no target that goes on with it.
func TestStreamThatPausesIsNotEndedWithoutAnotherRun(t *testing.T) {
	const last = 6
	var calls []pendingCall
	for at, pauseAfter := range map[string]int{"the first event": 0, "a later event": 3, "the end": last} {
		for name, later := range laterRuns() {
			for _, grouped := range []bool{false, true} {
				if !grouped && name != "full" { // one is enough to show the longer stall timeout
					continue
				}
				h := firstRunThen(pausingStream(pauseAfter, last), later)
				gw := newTestGatewayWith(t, patientConfig(), h, h).waitReady()
				if grouped {
					gw.reportTwoGroups()
				}
				calls = append(calls, gw.call(fmt.Sprintf("before %s, second run %s, groups %t", at, name, grouped), "/stream/"))
			}
		}
	}
	for _, c := range calls {
		c.expect(eventsUpTo(last))
	}
}

// reportTwoGroups reports that each of the two targets is a lock-step group of its own.
func (gw *testGateway) reportTwoGroups() {
	gw.g.mu.Lock()
	defer gw.g.mu.Unlock()
	for i, f := range gw.targets {
		gw.g.balancer.HandleGroupReport(gw.g.now(), f.id, fmt.Sprintf("group-%d", i), 1, true)
	}
}

// TestStreamThatPausesIsNotEndedWithoutABudget guards against the same where no repeat may be sent.
func TestStreamThatPausesIsNotEndedWithoutABudget(t *testing.T) {
	h := pausingStream(3, 6)
	gw := newTestGatewayWith(t, patientConfig(), h, h).waitReady()
	gw.reportTwoGroups()
	gw.limitRepeats(0, 0)
	gw.call("no budget", "/stream/").expect(eventsUpTo(6))
	assert.Equal(t, len(gw.targets[0].requests())+len(gw.targets[1].requests()), 1)
}

// TestStreamThatGoesOnBesideItsSecondRunHasEachEventOnce guards against events that come twice or are
// missing when both runs of a stream go on at about the same time.
func TestStreamThatGoesOnBesideItsSecondRunHasEachEventOnce(t *testing.T) {
	const last = 12
	var calls []pendingCall
	for delay := standstill - time.Second; delay <= standstill; delay += 100 * time.Millisecond {
		h := firstRunThen(pausingStream(3, last), func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(delay)
			streamEvents(last, 0)(w, r)
		})
		gw := newTestGatewayWith(t, patientConfig(), h, h).waitReady()
		gw.reportTwoGroups()
		calls = append(calls, gw.call(delay.String(), "/stream/"))
	}
	for _, c := range calls {
		c.expect(eventsUpTo(last))
	}
}

// TestHedgeThatIsNotSentUsesNoRepeat guards against repeats that are lost from the retry budget when the
// second target can't be reached.
func TestHedgeThatIsNotSentUsesNoRepeat(t *testing.T) {
	reached := make(chan int, 1)
	var handlers []http.HandlerFunc
	for i := range 4 {
		handlers = append(handlers, func(w http.ResponseWriter, r *http.Request) {
			reached <- i
			time.Sleep(standstill)
			respond(200, "first")(w, r)
		})
	}
	gw := newTestGatewayWith(t, patientConfig(), handlers...).waitReady()
	c := gw.call("unreachable", "/safe/")
	first := <-reached
	for i, target := range gw.targets {
		if i != first {
			target.crash()
		}
	}
	c.expect("first")
	gw.waitForLog("event=hedge", "outcome=failed")
	gw.waitForLog("event=request") // it follows the return of the repeat
	gw.g.mu.Lock()
	defer gw.g.mu.Unlock()
	limits := gw.g.view.Load().shares.retries
	fresh := retry.NewFleetBudget(limits)
	fresh.RecordRequest(gw.g.now(), gw.g.now())
	assert.Equal(t, gw.g.budget("s").Status(gw.g.now()).Earned, fresh.Status(gw.g.now()).Earned)
}

// TestSlowIdempotentRequestIsNotEndedWithoutAnotherAnswer guards against a gateway that ends a request
// which may run more than once because its answer is late, and then gets no answer elsewhere.
func TestSlowIdempotentRequestIsNotEndedWithoutAnotherAnswer(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Second)
		respond(200, "first")(w, r)
	}
	var calls []pendingCall
	for name, later := range laterRuns() {
		if name == "nothing left" { // a whole answer
			continue
		}
		h := firstRunThen(slow, later)
		calls = append(calls, newTestGatewayWith(t, patientConfig(), h, h).waitReady().call(name, "/safe/"))
	}
	for _, c := range calls {
		c.expect("first")
	}
}

// TestFasterSecondAnswerIsRelayed guards against a late first answer that its caller has to wait for
// although another target has answered.
func TestFasterSecondAnswerIsRelayed(t *testing.T) {
	first := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(6 * time.Second):
		case <-r.Context().Done():
		}
	}
	h := firstRunThen(first, respond(200, "second"))
	gw := newTestGatewayWith(t, patientConfig(), h, h).waitReady()
	begin := time.Now()
	status, _, body, _ := gw.do(get("/safe/")...)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "second")
	assert.Check(t, time.Since(begin) < 3*time.Second)
}

// TestRequestReadBehindAStreamIsAnsweredInAStop guards against a stop that closes a kept connection behind
// the answer that is being sent, although another request has been read and the answer's head, sent before
// the stop, has not announced the close.
func TestRequestReadBehindAStreamIsAnsweredInAStop(t *testing.T) {
	for name, sendAt := range map[string]time.Duration{"before the stop": 0, "in the stop": time.Second, "late in the stop": stopIdleTime + sweepInterval} {
		release := make(chan struct{})
		gw := newTestGatewayWith(t, patientConfig(), func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/stream/") {
				respond(200, "x")(w, r)
				return
			}
			streamEvents(1, 0)(w, r)
			<-release
		}).waitReady()
		c := gw.send(get("/stream/")...)
		br := bufio.NewReader(c)
		resp, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		assert.Check(t, !resp.Close)
		if sendAt > 0 {
			go gw.g.Stop(t.Context())
			time.Sleep(sendAt)
		}
		_, err = io.WriteString(c, strings.Join(get("/safe/"), "\r\n")+"\r\n\r\n")
		assert.NilError(t, err)
		time.Sleep(sweepInterval) // the gateway reads it
		if sendAt == 0 {
			go gw.g.Stop(t.Context())
			time.Sleep(sweepInterval)
		}
		close(release)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.Check(t, err, "%s: the stream was cut off", name)
		resp, err = http.ReadResponse(br, nil)
		if assert.Check(t, err, "%s: the request behind the stream was not answered", name) {
			assert.Check(t, resp.StatusCode == 200 || resp.StatusCode == 503, "%s: status %d", name, resp.StatusCode)
		}
	}
}

// TestRequestReadBehindAnAnswerThatBeginsInAStopIsAnswered guards against an answer of a stop that announces the
// close of its connection although another request has been read, or may be read before the answer ends.
func TestRequestReadBehindAnAnswerThatBeginsInAStopIsAnswered(t *testing.T) {
	for _, path := range []string{"/stream/", "/safe/slow"} {
		for _, sentBehind := range []time.Duration{0, sweepInterval} {
			if path != "/stream/" && sentBehind > 0 {
				continue // its answer is sent at once, and announces the close
			}
			release := make(chan struct{})
			gw := newTestGatewayWith(t, patientConfig(), func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/stream/":
					streamEvents(1, 0)(w, r)
					<-release
				case "/safe/slow":
					<-release
					respond(200, "slow")(w, r)
				default:
					respond(200, "x")(w, r)
				}
			}).waitReady()
			go gw.g.Stop(t.Context())
			gw.waitForLog("event=stopping")
			request := func(path string) string { return strings.Join(get(path), "\r\n") + "\r\n\r\n" }
			c := gw.send(get(path)...)
			time.Sleep(sentBehind) // a stream's head has been sent by then
			_, err := io.WriteString(c, request("/safe/"))
			assert.NilError(t, err)
			time.AfterFunc(sweepInterval, func() { close(release) })
			br := bufio.NewReader(c)
			for _, want := range []string{path, "/safe/"} {
				resp, err := http.ReadResponse(br, nil)
				if !assert.Check(t, err, "%s, %v: no answer to %s", path, sentBehind, want) {
					break
				}
				_, err = io.Copy(io.Discard, resp.Body)
				assert.Check(t, err)
				assert.Check(t, resp.StatusCode == 200, "%s: status %d", want, resp.StatusCode)
			}
		}
	}
}
