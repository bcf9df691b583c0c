package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/internal/testaddr"
)

func TestForwardedRequest(t *testing.T) {
	gw := newTestGateway(t, respond(200, "hello")).waitReady()
	status, h, body, whole := gw.do(get("/safe/x?y=1", "T-Deadline: 1500", "T-Org: forged", "T-Expect: forged", "X-Other: kept")...)
	assert.Equal(t, status, 200)
	assert.Assert(t, whole)
	assert.Equal(t, body, "hello")
	assert.Equal(t, h.Get("T-Sign"), "signed")
	r := gw.targets[0].requests()[0]
	assert.Equal(t, r.RequestURI, "/safe/x?y=1")
	assert.Equal(t, r.Header.Get("T-Org"), "org")
	assert.Equal(t, len(r.Header.Values("T-Org")), 1)
	assert.Equal(t, r.Header.Get("T-Expect"), "t0")
	assert.Equal(t, r.Header.Get("Authorization"), "")
	assert.Equal(t, r.Header.Get("X-Other"), "kept")
	left, err := strconv.Atoi(r.Header.Get("T-Deadline"))
	assert.NilError(t, err)
	assert.Assert(t, left > 1000 && left <= 1500, left)
}

func TestRequestsThatTheConfigurationDoesNotAllow(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	status, _, _, _ := gw.do("GET /safe/ HTTP/1.1", "Host: h", "Authorization: Bearer other")
	assert.Equal(t, status, 401)
	status, _, _, _ = gw.do(get("/nowhere/")...)
	assert.Equal(t, status, 404)
	status, _, _, _ = gw.do("GET /safe/ HTTP/1.1", "Host: h", "Content-Length: 1", "Content-Length: 2")
	assert.Equal(t, status, 400)
	status, _, _, _ = gw.do(get("/safe/", "X-Long: "+strings.Repeat("x", 5000))...)
	assert.Equal(t, status, 431)
	status, _, _, _ = gw.do(get("/safe/", "Content-Length: 70000")...)
	assert.Equal(t, status, 413)
	assert.Equal(t, len(gw.targets[0].requests()), 0)
}

// A gateway without a configuration can't decide which requests are allowed, so it must
// not deny any as unknown or unauthenticated.
func TestRequestsWithoutConfigurationGet503(t *testing.T) {
	gw := newTestGatewayWith(t, nil)
	assert.ErrorContains(t, gw.g.Ready(), "config-unavailable")
	var status int
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := http.Get("http://" + gw.addr + "/nowhere/")
		if err != nil {
			return poll.Continue("%v", err)
		}
		status = c.StatusCode
		_ = c.Body.Close()
		return poll.Success()
	})
	assert.Equal(t, status, 503)
}

// A request that must not be repeated reaches one target only. If its outcome is unknown,
// the response must not say that the request has not run.
func TestNonIdempotentRequestIsNotRepeatedAfterUnknownOutcome(t *testing.T) {
	gw := newTestGateway(t, closeConnection, closeConnection).waitReady()
	status, h, _, _ := gw.do(get("/once/")...)
	assert.Equal(t, status, 502)
	assert.Equal(t, h.Get("Retry-After"), "")
	assert.Equal(t, len(gw.targets[0].requests())+len(gw.targets[1].requests()), 1)
}

// Guards against work that is run again after its answer was lost: the route allows a second target,
// but only for a request that has not run.
func TestNonIdempotentRequestIsNotRepeatedAlthoughAttemptsAreLeft(t *testing.T) {
	config := testConfig(1)
	for i := range config.Routes {
		config.Routes[i].MaxAttempts = 3
	}
	gw := newTestGatewayWith(t, []fleet.Change{{Name: "main", Config: config}}, closeConnection, closeConnection).waitReady()
	const requests = 6
	for range requests {
		status, _, _, _ := gw.do(get("/once/")...)
		assert.Assert(t, status == 502 || status == 504, "status %d promises that the request has not run", status)
	}
	assert.Equal(t, len(gw.targets[0].requests())+len(gw.targets[1].requests()), requests)
}

// A status that means "not run" is not relayed unless the target's NotExecuted header
// confirms it.
func TestRefusalStatusWithoutNotExecutedHeaderIsNotRelayed(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		gw := newTestGateway(t, respond(status, "")).waitReady()
		got, _, _, _ := gw.do(get("/once/")...)
		assert.Equal(t, got, 502, "the target answered with status %d", status)
	}
}

func TestRefusalWithNotExecutedHeaderIsRelayed(t *testing.T) {
	gw := newTestGateway(t, refuse(503), refuse(503)).waitReady()
	status, h, _, _ := gw.do(get("/once/")...)
	assert.Equal(t, status, 503)
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 0)
	assert.Equal(t, len(gw.targets[0].requests())+len(gw.targets[1].requests()), 1)
}

func TestIdempotentRequestIsRepeatedAtAnotherTarget(t *testing.T) {
	for name, bad := range map[string]http.HandlerFunc{
		"cut": closeConnection, "failed": respond(500, "no"), "refused": refuse(503), "unsigned": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) },
	} {
		for range 4 {
			gw := newTestGateway(t, bad, respond(200, "good")).waitReady()
			status, _, body, _ := gw.do(get("/safe/")...)
			assert.Equal(t, status, 200, name)
			assert.Equal(t, body, "good", name)
		}
	}
}

// A refusal with status 421 comes from another target that has the address by now. It must
// not use up the request's only attempt.
func TestReplacedTargetUsesNoAttempt(t *testing.T) {
	for range 4 {
		gw := newTestGateway(t, refuse(421), respond(200, "good")).waitReady()
		status, _, _, _ := gw.do(get("/once/")...)
		assert.Equal(t, status, 200)
	}
}

func TestBrokenStreamResumesAtAnotherTarget(t *testing.T) {
	gw := newTestGateway(t, streamEvents(9, 4), streamEvents(9, 4)).waitReady()
	status, _, body, whole := gw.do(get("/stream/")...)
	assert.Equal(t, status, 200)
	assert.Assert(t, !whole) // both streams break, the second one without a further event
	assert.Equal(t, body, eventsUpTo(4))

	gw = newTestGateway(t, streamEvents(9, 4), func(w http.ResponseWriter, r *http.Request) {
		streamEvents(9, map[bool]int{true: 0, false: 4}[r.Header.Get("T-Last") != ""])(w, r)
	}).waitReady()
	for range 4 {
		_, _, body, whole = gw.do(get("/stream/")...)
		if whole {
			assert.Equal(t, body, eventsUpTo(9))
		} else {
			assert.Equal(t, body, eventsUpTo(4))
		}
	}
}

func TestStreamWithMissingEventIsAborted(t *testing.T) {
	gap := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Sign", "signed")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 3\ndata: x\n\n")
	}
	gw := newTestGateway(t, gap, gap).waitReady()
	_, _, body, whole := gw.do(get("/stream/")...)
	assert.Assert(t, !whole)
	assert.Equal(t, body, eventsUpTo(1))
}

// The request at the target is cancelled when its caller disconnects.
func TestTargetRequestIsCancelledWhenTheCallerDisconnects(t *testing.T) {
	cancelled := make(chan struct{})
	gw := newTestGateway(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}).waitReady()
	c := gw.send(get("/once/")...)
	gw.waitForRequest()
	assert.NilError(t, c.Close())
	select {
	case <-cancelled:
	case <-time.After(2 * time.Second):
		t.Fatal("the target's request was not cancelled within 2 s")
	}
}

func TestExceededDeadlineIsAnsweredOnTime(t *testing.T) {
	gw := newTestGateway(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }).waitReady()
	begun := time.Now()
	status, _, _, _ := gw.do(get("/once/", "T-Deadline: 200")...)
	assert.Equal(t, status, 504)
	assert.Assert(t, time.Since(begun) >= 200*time.Millisecond)
	assert.Assert(t, time.Since(begun) < 700*time.Millisecond)
}

func TestLeavingTargetAndEvacuatedZoneGetNoNewWork(t *testing.T) {
	gw := newTestGateway(t, respond(200, "a")).waitReady()
	gw.store.change(fleet.TopicEvacuations, fleet.Change{Name: "z"})
	waitStatus(t, gw, 503)
	gw.store.change(fleet.TopicEvacuations, fleet.Change{Name: "z", Removed: true})
	waitStatus(t, gw, 200)
	leaving := *gw.store.content[fleet.TopicTargets][0].Target
	leaving.State = fleet.TargetLeaving
	gw.store.change(fleet.TopicTargets, fleet.Change{Name: "t0", Target: &leaving})
	waitStatus(t, gw, 503)
}

func waitStatus(t *testing.T, gw *testGateway, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, _, _, _ := gw.do(get("/safe/")...); status != want {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(5*time.Second))
}

// Requests on one connection are answered in order, also when they are sent together.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) { respond(200, r.RequestURI)(w, r) }).waitReady()
	second := strings.Join(get("/safe/2"), "\r\n")
	c := gw.send(append(get("/safe/1"), "", second)...)
	br := bufio.NewReader(c)
	for _, want := range []string{"/safe/1", "/safe/2"} {
		resp, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), want)
	}
}

// A stop makes Ready fail at once and lets the requests in flight complete.
func TestStopServesRequestsInFlight(t *testing.T) {
	release := make(chan struct{})
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respond(200, "done")(w, r)
	}).waitReady()
	c := gw.send(get("/once/")...)
	gw.waitForRequest()
	stopped := make(chan struct{})
	go func() {
		gw.g.Stop(context.Background())
		close(stopped)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if gw.g.Ready() == nil {
			return poll.Continue("still ready")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Assert(t, resp.Close)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "done")
	<-stopped
}

// TestServeReportsAddressInUse starts a gateway on an address with another listener.
func TestServeReportsAddressInUse(t *testing.T) {
	ln, err := testaddr.Listen()
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	g := New(Options{
		Settings: &settings.Gateway{Listen: ln.Addr().String(), Limits: settings.DefaultGatewayLimits()},
		Logger:   &log.Logger{Level: log.PanicLevel}, Metrics: tally.NoopScope,
	})
	assert.ErrorIs(t, g.Serve(t.Context()), syscall.EADDRINUSE)
}

// reportGroup reports to the balancer whether the lock-step group of the first target is
// running.
func (gw *testGateway) reportGroup(epoch int64, open bool) {
	gw.g.mu.Lock()
	defer gw.g.mu.Unlock()
	gw.g.balancer.HandleGroupReport(gw.g.now(), "t0", "group", epoch, open)
}

// TestRequestWaitsForAGroupThatOpensSoon sends requests while the only lock-step group is
// not running. The first request is served once the group opens. The second one is refused
// in time, with a Retry-After that the caller's deadline allows.
func TestRequestWaitsForAGroupThatOpensSoon(t *testing.T) {
	gw := newTestGateway(t, respond(200, "hello")).waitReady()
	gw.reportGroup(1, false)
	time.AfterFunc(groupWait/3, func() { gw.reportGroup(2, true) })
	status, _, body, _ := gw.do(get("/safe/x")...)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "hello")

	gw.reportGroup(2, false)
	begin := time.Now()
	status, h, _, _ := gw.do(get("/safe/x", "T-Deadline: 1800")...)
	waited := time.Since(begin)
	assert.Equal(t, status, 503)
	assert.Assert(t, waited >= groupWait && waited < groupWait+500*time.Millisecond, waited)
	after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after >= 0.3 && after <= 0.4, "Retry-After is %v s, want at most a third of the time left", after)
	assert.Equal(t, len(gw.targets[0].requests()), 1)
}

// TestWaitForAGroupEndsInTime guards against a wait that goes on to the next poll, and leaves less time to the
// deadline than its caller needs to try again.
func TestWaitForAGroupEndsInTime(t *testing.T) {
	const wait, slack = groupPollInterval / 5, groupPollInterval / 2
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	late := time.Hour
	for range 10 { // the process itself may be late in some of them
		gw.reportGroup(1, false)
		x := &exchange{ctx: t.Context(), service: "s", route: &fleet.Route{}, deadline: time.Now().Add(groupWait + wait)}
		_, refusal := gw.g.chooseOrWait(x)
		assert.Equal(t, refusal, placement.GroupDown)
		late = min(late, groupWait-x.remaining())
	}
	assert.Assert(t, late < slack, "%v late", late)
}

// TestStreamStaysWithStalledGroupWithoutAlternative makes the only lock-step group pause
// for longer than its stall timeout and then continue. Without another group the stream
// must not be cancelled.
func TestStreamStaysWithStalledGroupWithoutAlternative(t *testing.T) {
	pausing := func(w http.ResponseWriter, r *http.Request) {
		streamEvents(5, 0)(w, r)
		time.Sleep(900 * time.Millisecond)
		_, _ = io.WriteString(w, "id: 6\ndata: x\n\n")
	}
	gw := newTestGateway(t, pausing, pausing).waitReady()
	gw.g.mu.Lock()
	for _, target := range gw.targets {
		gw.g.balancer.SetGroup(target.id, "group")
	}
	gw.g.mu.Unlock()
	_, _, body, whole := gw.do(get("/stream/")...)
	assert.Assert(t, whole)
	assert.Equal(t, body, eventsUpTo(6))
}
