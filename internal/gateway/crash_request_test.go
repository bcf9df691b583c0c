package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/http1"
	"github.com/gentiantrail/gentiantrail/internal/placement"
)

// maxRequestCrashes is the number of targets that one request may end in all: three until it has
// been found out, and three more.
const maxRequestCrashes = 3 + 3

// plainRequest is a request that can be told apart by its path, caller, body or prompt.
type plainRequest struct {
	method, target, key, body, prompt string
}

// bytes returns the request as a caller sends it, with an id of its own.
func (r plainRequest) bytes(id string) string {
	lines := []string{r.method + " " + r.target + " HTTP/1.1", "Host: h", "T-Id: " + id, "Authorization: Bearer " + r.key}
	if r.prompt != "" {
		lines = append(lines, "T-Prompt: "+r.prompt)
	}
	if r.body != "" {
		lines = append(lines, fmt.Sprint("Content-Length: ", len(r.body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + r.body
}

// isOf reports whether r is the request as a target gets it.
func (r plainRequest) isOf(got *http.Request, body string) bool {
	return got.URL.RequestURI() == r.target && body == r.body && got.Header.Get("T-Prompt") == r.prompt &&
		(got.Header.Get("T-Org") == "org") == (r.key == "key")
}

// newGatewayWithCrashingRequest starts a gateway with n targets that crash a short time after
// they have begun to run the request: the connections end, and no other one is accepted.
func newGatewayWithCrashingRequest(t *testing.T, n int, crashing plainRequest) *testGateway {
	t.Helper()
	const (
		runTime   = 20 * time.Millisecond
		crashTime = 5 * time.Millisecond
	)
	var gw *testGateway
	handlers := make([]http.HandlerFunc, n)
	for i := range handlers {
		handlers[i] = func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body) // an incomplete request is not the crashing one
			if crashing.isOf(r, string(body)) {
				time.Sleep(crashTime)
				gw.targets[i].crash()
				gw.targets[i].current().CloseClientConnections()
				return
			}
			time.Sleep(runTime)
			if strings.HasPrefix(r.URL.Path, "/stream/") {
				streamEvents(3, 0)(w, r)
				return
			}
			respond(200, "ok")(w, r)
		}
	}
	gw = newTestGateway(t, handlers...)
	return gw.waitReady()
}

// status sends a request and returns the status of the response.
func (gw *testGateway) status(r plainRequest, id string) int {
	gw.t.Helper()
	c := gw.write(r.bytes(id))
	defer func() { _ = c.Close() }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(gw.t, err)
	_, _ = io.Copy(io.Discard, resp.Body) // the status counts
	return resp.StatusCode
}

// requestPairs contains requests that crash targets, each with a sound one that differs from it
// in one property.
var requestPairs = map[string]struct{ crashing, sound plainRequest }{
	"safe by path":      {plainRequest{"GET", "/safe/a", "key", "", ""}, plainRequest{"GET", "/safe/b", "key", "", ""}},
	"safe by query":     {plainRequest{"GET", "/safe/a?n=1", "key", "", ""}, plainRequest{"GET", "/safe/a?n=2", "key", "", ""}},
	"safe by caller":    {plainRequest{"GET", "/safe/a", "key", "", ""}, plainRequest{"GET", "/safe/a", "second-key", "", ""}},
	"safe by body":      {plainRequest{"POST", "/safe/a", "key", "x", ""}, plainRequest{"POST", "/safe/a", "key", "y", ""}},
	"once by body":      {plainRequest{"POST", "/once/a", "key", "x", ""}, plainRequest{"POST", "/once/a", "key", "y", ""}},
	"stream by own":     {plainRequest{"GET", "/stream/a", "key", "", "doc own-x"}, plainRequest{"GET", "/stream/a", "key", "", "doc own-y"}},
	"stream by body":    {plainRequest{"POST", "/stream/a", "key", "x", "doc own"}, plainRequest{"POST", "/stream/a", "key", "y", "doc own"}},
	"stream, no prompt": {plainRequest{"POST", "/stream/a", "key", "x", ""}, plainRequest{"POST", "/stream/a", "key", "y", ""}},
}

// Guards against one request without shared parts that comes again and crashes one target after
// the other, and against refusing a sound request that differs from it in one property only.
func TestRequestThatCrashesTargetsEndsFewOfThem(t *testing.T) {
	for name, pair := range requestPairs {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			gw := newGatewayWithCrashingRequest(t, 14, pair.crashing)
			assert.Equal(t, gw.status(pair.sound, "first"), 200)
			for i := range 12 {
				gw.status(pair.crashing, fmt.Sprint("c", i))
				status := gw.status(pair.sound, fmt.Sprint("s", i))
				assert.Check(t, status == 200, "sound request %d got status %d", i, status)
			}
			assert.Assert(t, gw.crashed() <= maxRequestCrashes, "%d targets crashed", gw.crashed())
		})
	}
}

// keepSending sends a request again and again from several callers until stop is called.
func (gw *testGateway) keepSending(r plainRequest, callers int) (stop func()) {
	const pause = 5 * time.Millisecond
	var stopped atomic.Bool
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				c, err := net.Dial("tcp4", gw.addr)
				if err != nil {
					gw.t.Error(err)
					return
				}
				_, _ = io.WriteString(c, r.bytes(fmt.Sprint("p", i, "-", n))) // answered or not: these requests are load only
				_, _ = c.Read(make([]byte, 1))
				_ = c.Close()
				time.Sleep(pause)
			}
		})
	}
	return func() {
		stopped.Store(true)
		running.Wait()
	}
}

// Guards against a popular sound request that is at each target when it ends, and hides the one
// that targets crash on or is refused in its place.
func TestPopularRequestIsServedBesideACrashingOne(t *testing.T) {
	for _, answeredBefore := range []bool{true, false} {
		t.Run(fmt.Sprint("answered-before-", answeredBefore), func(t *testing.T) {
			t.Parallel()
			pair := requestPairs["safe by path"]
			gw := newGatewayWithCrashingRequest(t, 14, pair.crashing)
			if answeredBefore {
				assert.Equal(t, gw.status(pair.sound, "first"), 200)
			}
			stop := gw.keepSending(pair.sound, 14)
			served := 0
			for i := range 12 {
				gw.status(pair.crashing, fmt.Sprint("c", i))
				time.Sleep(100 * time.Millisecond)
				if gw.status(pair.sound, fmt.Sprint("s", i)) == 200 {
					served++
				}
			}
			stop()
			assert.Check(t, served >= 10, "%d of 12 sound requests are served", served)
			assert.Assert(t, gw.crashed() <= maxRequestCrashes, "%d targets crashed", gw.crashed())
		})
	}
}

// restart starts the crashed target again with a new id at its address.
func (gw *testGateway) restart(i int, id string) {
	gw.t.Helper()
	old := gw.targets[i]
	addr := old.current().Listener.Addr().String()
	server := startServer(gw.t, addr, old.current().Config.Handler)
	gw.store.change(fleet.TopicTargets, fleet.Change{Name: old.id, Removed: true})
	gw.store.change(fleet.TopicTargets, fleet.Change{Name: id, Target: &fleet.Target{ID: id, Service: "s", Address: addr, AvailabilityZone: "z", Slots: 4}})
	old.mu.Lock()
	old.id, old.server = id, server
	old.mu.Unlock()
	old.crashed.Store(false)
}

// Guards against evidence that needs more targets than a service has: all of its three copies end,
// and are back at the same addresses with new ids.
func TestServiceOfThreeOutlivesARequestThatCrashesIt(t *testing.T) {
	pair := requestPairs["safe by path"]
	gw := newGatewayWithCrashingRequest(t, 3, pair.crashing)
	assert.Equal(t, gw.status(pair.sound, "first"), 200)
	ends := 0
	for round := range 8 {
		for i := range 3 {
			gw.status(pair.crashing, fmt.Sprint("c", round, "-", i))
		}
		ends += gw.crashed()
		for i, target := range gw.targets {
			if target.crashed.Load() {
				gw.restart(i, fmt.Sprint("r", round, "-", i))
			}
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if status := gw.status(pair.sound, fmt.Sprint("s", round)); status != 200 {
				return poll.Continue("sound requests get status %d", status)
			}
			return poll.Success()
		}, poll.WithDelay(50*time.Millisecond))
	}
	assert.Assert(t, ends <= maxRequestCrashes, "%d targets crashed", ends)
}

// Guards against evidence that is lost because the gateway ends an attempt before the target does:
// callers leave early, or the request is sent to a second target.
func TestRequestThatIsGivenUpBeforeTheCrashEndsFewTargets(t *testing.T) {
	const (
		crashTime = 60 * time.Millisecond
		patience  = 20 * time.Millisecond
	)
	for _, path := range []string{"/safe/a", "/once/a", "/stream/a"} {
		t.Run(path[1:len(path)-2], func(t *testing.T) {
			t.Parallel()
			crashing := plainRequest{"GET", path, "key", "", ""}
			var gw *testGateway
			handlers := make([]http.HandlerFunc, 14)
			for i := range handlers {
				handlers[i] = func(w http.ResponseWriter, r *http.Request) {
					if !crashing.isOf(r, "") {
						respond(200, "ok")(w, r)
						return
					}
					time.Sleep(crashTime)
					gw.targets[i].crash()
					gw.targets[i].current().CloseClientConnections()
				}
			}
			gw = newTestGateway(t, handlers...).waitReady()
			for i := range 12 {
				c := gw.write(crashing.bytes(fmt.Sprint("c", i)))
				time.Sleep(patience)
				_ = c.Close()
				time.Sleep(600 * time.Millisecond)
				status := gw.status(plainRequest{"GET", "/safe/b", "key", "", ""}, fmt.Sprint("s", i))
				assert.Check(t, status == 200, "sound request %d got status %d", i, status)
			}
			assert.Assert(t, gw.crashed() <= maxRequestCrashes, "%d targets crashed", gw.crashed())
		})
	}
}

// Guards against a sound request that is refused for good because its answer is never a success: a
// target that rejects it has not crashed on it.
func TestRejectionShowsThatARequestIsSound(t *testing.T) {
	sound := plainRequest{"GET", "/safe/missing", "key", "", ""}
	gw := newTestGateway(t, respond(404, "not found")).waitReady()
	assert.Equal(t, gw.status(sound, "first"), 404)
	req, _, err := http1.ParseRequest([]byte(sound.bytes("a")), http1.Limits{Header: 4096})
	assert.NilError(t, err)
	x := &exchange{req: req, organisation: &fleet.Organisation{Name: "org"}}
	for i := range 3 {
		gw.g.recordCrash(x, placement.Target{ID: fmt.Sprint("gone", i)}, false)
	}
	assert.Equal(t, gw.status(sound, "again"), 404)
	poll.WaitOn(t, func(poll.LogT) poll.Result { // the answer is passed on before it is recorded
		if suspected := gw.suspected(); len(suspected) > 0 {
			return poll.Continue("suspected: %v", suspected)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(time.Second))
}
