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
	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/internal/testaddr"
)

func TestRequestReachesItsTargetAsThePagesSay(t *testing.T) {
	b := newBench(t, answer(200, "hello")).ready()
	status, h, body, whole := b.do(get("/safe/x?y=1", "T-Deadline: 1500", "T-Org: forged", "T-Expect: forged", "X-Other: kept")...)
	assert.Equal(t, status, 200)
	assert.Assert(t, whole)
	assert.Equal(t, body, "hello")
	assert.Equal(t, h.Get("T-Sign"), "signed")
	r := b.targets[0].requests()[0]
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

func TestWhatTheConfigurationDoesNotAllow(t *testing.T) {
	b := newBench(t, answer(200, "x")).ready()
	status, _, _, _ := b.do("GET /safe/ HTTP/1.1", "Host: h", "Authorization: Bearer other")
	assert.Equal(t, status, 401)
	status, _, _, _ = b.do(get("/nowhere/")...)
	assert.Equal(t, status, 404)
	status, _, _, _ = b.do("GET /safe/ HTTP/1.1", "Host: h", "Content-Length: 1", "Content-Length: 2")
	assert.Equal(t, status, 400)
	status, _, _, _ = b.do(get("/safe/", "X-Long: "+strings.Repeat("x", 5000))...)
	assert.Equal(t, status, 431)
	status, _, _, _ = b.do(get("/safe/", "Content-Length: 70000")...)
	assert.Equal(t, status, 413)
	assert.Equal(t, len(b.targets[0].requests()), 0)
}

// A process that has read no configuration can't tell what is allowed.
func TestWithoutConfigurationNothingIsDenied(t *testing.T) {
	b := newBenchWith(t, nil)
	assert.ErrorContains(t, b.g.Ready(), "config-unavailable")
	var status int
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := http.Get("http://" + b.addr + "/nowhere/")
		if err != nil {
			return poll.Continue("%v", err)
		}
		status = c.StatusCode
		_ = c.Body.Close()
		return poll.Success()
	})
	assert.Equal(t, status, 503)
}

// A request that may not be repeated reaches one target, and its unknown end is never
// called not run.
func TestUnknownEndIsNoPromise(t *testing.T) {
	b := newBench(t, cut, cut).ready()
	status, h, _, _ := b.do(get("/once/")...)
	assert.Equal(t, status, 502)
	assert.Equal(t, h.Get("Retry-After"), "")
	assert.Equal(t, len(b.targets[0].requests())+len(b.targets[1].requests()), 1)
}

// A promise without the target's own word is not passed on.
func TestBareRefusalIsNotPassedOn(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		b := newBench(t, answer(status, "")).ready()
		got, _, _, _ := b.do(get("/once/")...)
		assert.Equal(t, got, 502, "target said %d", status)
	}
}

func TestRefusalOfATargetIsAPromise(t *testing.T) {
	b := newBench(t, notRun(503), notRun(503)).ready()
	status, h, _, _ := b.do(get("/once/")...)
	assert.Equal(t, status, 503)
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 0)
	assert.Equal(t, len(b.targets[0].requests())+len(b.targets[1].requests()), 1)
}

func TestIdempotentRequestIsTriedElsewhere(t *testing.T) {
	for name, bad := range map[string]http.HandlerFunc{
		"cut": cut, "failed": answer(500, "no"), "refused": notRun(503), "unsigned": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) },
	} {
		for range 4 {
			b := newBench(t, bad, answer(200, "good")).ready()
			status, _, body, _ := b.do(get("/safe/")...)
			assert.Equal(t, status, 200, name)
			assert.Equal(t, body, "good", name)
		}
	}
}

// Another target has the address now: its refusal does not use up the one attempt.
func TestReplacedTargetDoesNotCount(t *testing.T) {
	for range 4 {
		b := newBench(t, notRun(421), answer(200, "good")).ready()
		status, _, _, _ := b.do(get("/once/")...)
		assert.Equal(t, status, 200)
	}
}

func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	b := newBench(t, stream(9, 4), stream(9, 4)).ready()
	status, _, body, whole := b.do(get("/stream/")...)
	assert.Equal(t, status, 200)
	assert.Assert(t, !whole) // both break; the second after no further event
	assert.Equal(t, body, eventsUpTo(4))

	b = newBench(t, stream(9, 4), func(w http.ResponseWriter, r *http.Request) {
		stream(9, map[bool]int{true: 0, false: 4}[r.Header.Get("T-Last") != ""])(w, r)
	}).ready()
	for range 4 {
		_, _, body, whole = b.do(get("/stream/")...)
		if whole {
			assert.Equal(t, body, eventsUpTo(9))
		} else {
			assert.Equal(t, body, eventsUpTo(4))
		}
	}
}

func TestStreamWithAGapIsNotJoined(t *testing.T) {
	gap := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Sign", "signed")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 3\ndata: x\n\n")
	}
	b := newBench(t, gap, gap).ready()
	_, _, body, whole := b.do(get("/stream/")...)
	assert.Assert(t, !whole)
	assert.Equal(t, body, eventsUpTo(1))
}

// A target's work ends when its caller leaves.
func TestWorkEndsWhenTheCallerLeaves(t *testing.T) {
	left := make(chan struct{})
	b := newBench(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	}).ready()
	c := b.send(get("/once/")...)
	b.waitForRequest()
	assert.NilError(t, c.Close())
	select {
	case <-left:
	case <-time.After(2 * time.Second):
		t.Fatal("the target still works")
	}
}

func TestDeadlineIsAnsweredOnTime(t *testing.T) {
	b := newBench(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }).ready()
	begun := time.Now()
	status, _, _, _ := b.do(get("/once/", "T-Deadline: 200")...)
	assert.Equal(t, status, 504)
	assert.Assert(t, time.Since(begun) >= 200*time.Millisecond)
	assert.Assert(t, time.Since(begun) < 700*time.Millisecond)
}

func TestLeavingTargetAndEvacuatedZoneGetNoNewWork(t *testing.T) {
	b := newBench(t, answer(200, "a")).ready()
	b.store.change(fleet.TopicEvacuations, fleet.Change{Name: "z"})
	waitStatus(t, b, 503)
	b.store.change(fleet.TopicEvacuations, fleet.Change{Name: "z", Removed: true})
	waitStatus(t, b, 200)
	leaving := *b.store.content[fleet.TopicTargets][0].Target
	leaving.State = fleet.TargetLeaving
	b.store.change(fleet.TopicTargets, fleet.Change{Name: "t0", Target: &leaving})
	waitStatus(t, b, 503)
}

func waitStatus(t *testing.T, b *bench, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, _, _, _ := b.do(get("/safe/")...); status != want {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(5*time.Second))
}

// Requests on one connection are answered in turn, also when they are sent together.
func TestRequestsOnOneConnection(t *testing.T) {
	b := newBench(t, func(w http.ResponseWriter, r *http.Request) { answer(200, r.RequestURI)(w, r) }).ready()
	second := strings.Join(get("/safe/2"), "\r\n")
	c := b.send(append(get("/safe/1"), "", second)...)
	br := bufio.NewReader(c)
	for _, want := range []string{"/safe/1", "/safe/2"} {
		resp, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), want)
	}
}

// A stop refuses readiness at once, serves what still comes for a while, and cuts
// nothing off.
func TestStopServesWhatIsInFlight(t *testing.T) {
	release := make(chan struct{})
	b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answer(200, "done")(w, r)
	}).ready()
	c := b.send(get("/once/")...)
	b.waitForRequest()
	stopped := make(chan struct{})
	go func() {
		b.g.Stop(context.Background())
		close(stopped)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.g.Ready() == nil {
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

// TestBusyAddressIsNamed starts a gateway on an address that another listens on.
func TestBusyAddressIsNamed(t *testing.T) {
	ln, err := testaddr.Listen()
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	g := New(Options{
		Settings: &settings.Gateway{Listen: ln.Addr().String(), Limits: settings.DefaultGatewayLimits()},
		Logger:   &log.Logger{Level: log.PanicLevel}, Metrics: tally.NoopScope,
	})
	assert.ErrorIs(t, g.Serve(t.Context()), syscall.EADDRINUSE)
}

// reportGroup has the first target's instance say whether its lock-step group runs.
func (b *bench) reportGroup(epoch int64, open bool) {
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	b.g.balancer.GroupReported(b.g.now(), "t0", "group", epoch, open)
}

// TestRequestWaitsForAGroupThatOpensSoon sends requests while the only lock-step group
// forms anew: one is served as it opens, one is told in time when to return.
func TestRequestWaitsForAGroupThatOpensSoon(t *testing.T) {
	b := newBench(t, answer(200, "hello")).ready()
	b.reportGroup(1, false)
	time.AfterFunc(formWait/3, func() { b.reportGroup(2, true) })
	status, _, body, _ := b.do(get("/safe/x")...)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "hello")

	b.reportGroup(2, false)
	begin := time.Now()
	status, h, _, _ := b.do(get("/safe/x", "T-Deadline: 1800")...)
	waited := time.Since(begin)
	assert.Equal(t, status, 503)
	assert.Assert(t, waited >= formWait && waited < formWait+500*time.Millisecond, waited)
	after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after >= 0.3 && after <= 0.4, "a third of the time left at most: %v s", after)
	assert.Equal(t, len(b.targets[0].requests()), 1)
}

// TestStreamStaysWithItsStalledGroupIfThereIsNoOther has the only lock-step group pause
// for longer than its pace explains, and then go on.
func TestStreamStaysWithItsStalledGroupIfThereIsNoOther(t *testing.T) {
	pausing := func(w http.ResponseWriter, r *http.Request) {
		stream(5, 0)(w, r)
		time.Sleep(900 * time.Millisecond)
		_, _ = io.WriteString(w, "id: 6\ndata: x\n\n")
	}
	b := newBench(t, pausing, pausing).ready()
	b.g.mu.Lock()
	for _, target := range b.targets {
		b.g.balancer.SetGroup(target.id, "group")
	}
	b.g.mu.Unlock()
	_, _, body, whole := b.do(get("/stream/")...)
	assert.Assert(t, whole)
	assert.Equal(t, body, eventsUpTo(6))
}
