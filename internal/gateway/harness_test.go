package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/observe"
	"github.com/gentiantrail/gentiantrail/internal/pause"
	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/internal/testaddr"
)

// testHeaders differ from the platform's names, since the gateway must use only the names
// from its options.
var testHeaders = Headers{
	Attempt: "T-Id", Deadline: "T-Deadline", Signature: "T-Sign", Organisation: "T-Org", ExpectTarget: "T-Expect",
	Load: "T-Load", RateLimit: "T-Limit", Leaving: "T-Leaving", NotExecuted: "T-Not-Run", LastEvent: "T-Last", Urgency: "T-Urgency", Prompt: "T-Prompt",
}

// testGateway is a gateway with fake targets.
type testGateway struct {
	t       testing.TB
	g       *Gateway
	records *fakeRecords
	store   *fakeStore
	addr    string
	targets []*fakeTarget
	logs    *logBuffer
}

// logBuffer collects the lines of a gateway's log.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(line))
	return len(line), nil
}

// find returns the first line that contains all parts.
func (b *logBuffer) find(parts ...string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, line := range b.lines {
		if !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) }) {
			return line, true
		}
	}
	return "", false
}

// decisions are the events whose lines tell why a request went where it did.
var decisions = []string{"event=hedge", "event=repeat", "event=attempt-failed", "event=request", "event=stream-resumed"}

// logDecisions writes the lines of decisions on requests to the log of the test.
func (b *logBuffer) logDecisions(t testing.TB) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, line := range b.lines {
		if slices.ContainsFunc(decisions, func(event string) bool { return strings.Contains(line, event) }) {
			t.Log(strings.TrimSpace(line))
		}
	}
}

// fakeTarget is a target with a handler that the test provides.
type fakeTarget struct {
	id     string
	server *httptest.Server
	mu     sync.Mutex
	seen   []*http.Request
	// crashed is true once the target accepts no more connections.
	crashed atomic.Bool
}

// crash makes the target accept no more connections.
func (f *fakeTarget) crash() {
	f.crashed.Store(true)
	_ = f.current().Listener.Close()
}

// current returns the server of the target's current run.
func (f *fakeTarget) current() *httptest.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.server
}

// requests returns the requests that the target has received.
func (f *fakeTarget) requests() []*http.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*http.Request(nil), f.seen...)
}

func freePort(t testing.TB) string {
	t.Helper()
	addr, err := testaddr.Free()
	assert.NilError(t, err)
	return addr
}

// startServer starts a server on an address that no outgoing connection gets, so that another one can
// listen there after its end.
func startServer(t testing.TB, addr string, h http.Handler) *httptest.Server {
	t.Helper()
	ln, err := net.Listen("tcp4", addr)
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(h)
	_ = server.Listener.Close() // the one that it comes with
	server.Listener = ln
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func testConfig(version int64) *fleet.Config {
	route := func(name string, repeat fleet.RepeatPolicy, streaming bool, attempts int) fleet.Route {
		return fleet.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Repeat: repeat, Streaming: streaming, MaxAttempts: attempts,
			Timeout: 2 * time.Second, Split: []fleet.WeightedService{{Service: "s", Weight: 1}},
		}
	}
	return &fleet.Config{
		Version: version,
		Routes: []fleet.Route{
			route("once", fleet.AtMostOnce, false, 1), route("safe", fleet.Idempotent, false, 2),
			route("stream", fleet.Resumable, true, 2),
		},
		Services:      []fleet.Service{{Name: "s"}},
		Organisations: []fleet.Organisation{{Name: "org", Keys: []string{"key"}}, {Name: "second", Keys: []string{"second-key"}}},
		Limits:        fleet.Limits{HeaderBytes: 4096, BodyBytes: 1 << 16, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second},
	}
}

// newTestGateway starts a gateway with one target for each handler.
func newTestGateway(t testing.TB, handlers ...http.HandlerFunc) *testGateway {
	t.Helper()
	return newTestGatewayWith(t, []fleet.Change{{Name: "main", Config: testConfig(1)}}, handlers...)
}

// newTestGatewayWith is like newTestGateway with the given configuration in the store; nil
// means that there is none.
func newTestGatewayWith(t testing.TB, config []fleet.Change, handlers ...http.HandlerFunc) *testGateway {
	t.Helper()
	return newTestGatewayWithRecords(t, newFakeRecords(), config, handlers...)
}

// newTestGatewayWithRecords is like newTestGatewayWith with the given records of the quarantine in
// the store.
func newTestGatewayWithRecords(t testing.TB, records *fakeRecords, config []fleet.Change, handlers ...http.HandlerFunc) *testGateway {
	t.Helper()
	gw := &testGateway{t: t, addr: freePort(t), logs: &logBuffer{}, records: records, store: &fakeStore{
		revision: 1, changes: map[fleet.Topic][]fleet.Change{}, content: map[fleet.Topic][]fleet.Change{},
	}}
	gw.store.content[fleet.TopicConfig] = config
	for i, h := range handlers {
		f := &fakeTarget{id: fmt.Sprintf("t%d", i)}
		f.server = startServer(t, freePort(t), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			f.seen = append(f.seen, r)
			f.mu.Unlock()
			w.Header().Set("T-Id", r.Header.Get("T-Id"))
			h(w, r)
		}))
		gw.targets = append(gw.targets, f)
		gw.store.content[fleet.TopicTargets] = append(gw.store.content[fleet.TopicTargets], fleet.Change{Name: f.id, Target: &fleet.Target{
			ID: f.id, Service: "s", Address: f.server.Listener.Addr().String(), AvailabilityZone: "z", Slots: 4,
		}})
	}
	limits := settings.DefaultGatewayLimits()
	limits.RetrySlack = 2000 // divided among the assumed number of gateways
	limits.RetryRatio = 10   // the first request of a process earns the repeats that it needs
	gw.g = New(Options{
		Settings: &settings.Gateway{
			Name: "g", AvailabilityZone: "z", Listen: gw.addr, PeerAddress: freePort(t), Limits: limits,
		},
		Headers: testHeaders, PromptParts: splitParts, Source: gw.store, Records: gw.records, Keys: fakeKeys{}, Logger: observe.NewLogger(gw.logs, "info", "test", "g"), Metrics: tally.NoopScope,
		Probe:        func(context.Context, string) (string, error) { return "", nil },
		OnFatalError: func(err error) { t.Error(err) },
	})
	// On a busy machine a test's process stands still too, and its requests would earn no repeats.
	// Pauses are tested by the simulation of a fleet.
	gw.g.pauses = pause.NewDetector(time.Hour)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go gw.g.Run(ctx)
	go func() { served <- gw.g.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-served)
		if t.Failed() {
			gw.logs.logDecisions(t)
		}
	})
	return gw
}

// splitParts decodes the test's form of a prompt, ids separated by spaces or commas; a question
// mark is an entry that can't be decoded.
func splitParts(value string) ([]string, error) {
	parts := strings.Fields(strings.ReplaceAll(value, ",", " "))
	var err error
	for i, p := range parts {
		if p == "?" {
			parts[i], err = "", errors.New("undecodable part")
		}
	}
	return parts, err
}

// waitReady waits until the gateway accepts requests.
func (gw *testGateway) waitReady() *testGateway {
	gw.t.Helper()
	poll.WaitOn(gw.t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp4", gw.addr)
		if err == nil {
			err = errors.Join(gw.g.Ready(), c.Close())
		}
		if err != nil {
			return poll.Continue("not ready: %v", err)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	return gw
}

// limitRepeats changes the limits of the retry budgets by a reload of the settings, so that they stay in force.
func (gw *testGateway) limitRepeats(ratio float64, slack int) {
	changed := *gw.g.opts.Settings
	changed.Limits.RetryRatio, changed.Limits.RetrySlack = ratio, slack
	gw.g.Reload(gw.t.Context(), &changed)
}

// dialPeer returns a socket for messages of other gateways, once the gateway receives them: it is ready for callers
// before.
func (gw *testGateway) dialPeer() net.Conn {
	gw.t.Helper()
	conn, err := net.Dial("udp4", gw.g.opts.Settings.PeerAddress)
	assert.NilError(gw.t, err)
	gw.t.Cleanup(func() { assert.NilError(gw.t, conn.Close()) })
	poll.WaitOn(gw.t, func(poll.LogT) poll.Result {
		_, _ = conn.Write([]byte{0}) // not a message; the next read tells whether it was refused
		assert.NilError(gw.t, conn.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, syscall.ECONNREFUSED) {
			return poll.Continue("no socket for messages")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	return conn
}

// waitForRequest waits until the first target has received a request.
func (gw *testGateway) waitForRequest() {
	gw.t.Helper()
	poll.WaitOn(gw.t, func(poll.LogT) poll.Result {
		if len(gw.targets[0].requests()) == 0 {
			return poll.Continue("no request at the first target yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// send writes a request without a body on a new connection and returns the connection.
func (gw *testGateway) send(lines ...string) net.Conn {
	gw.t.Helper()
	return gw.write(strings.Join(lines, "\r\n") + "\r\n\r\n")
}

// write writes the bytes of a request on a new connection and returns the connection.
func (gw *testGateway) write(request string) net.Conn {
	gw.t.Helper()
	c, err := net.Dial("tcp4", gw.addr)
	assert.NilError(gw.t, err)
	gw.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(gw.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, request)
	assert.NilError(gw.t, err)
	return c
}

// do sends a request and returns the status, header and body of the response, and whether
// the response was complete.
func (gw *testGateway) do(lines ...string) (status int, h http.Header, body string, whole bool) {
	gw.t.Helper()
	c := gw.send(lines...)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(gw.t, err)
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(raw), err == nil
}

// get returns the lines of a request with a valid key.
func get(path string, more ...string) []string {
	return append([]string{"GET " + path + " HTTP/1.1", "Host: h", "T-Id: a1", "Authorization: Bearer key"}, more...)
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Sign", "signed")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// refuse returns a handler that refuses to run requests, like a target without capacity.
func refuse(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Not-Run", "1")
		w.WriteHeader(status)
	}
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// streamEvents returns a handler that sends events up to id last, starting after the one
// that the request's T-Last header names. If breakAfter is not zero, the handler closes the
// connection in the middle of the event after it.
func streamEvents(last, breakAfter int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		first := 1
		_, _ = fmt.Sscan(r.Header.Get("T-Last"), &first)
		if r.Header.Get("T-Last") != "" {
			first++
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("T-Sign", "signed")
		for id := first; id <= last; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\n", id)
			if breakAfter > 0 && id > breakAfter {
				w.(http.Flusher).Flush()
				closeConnection(w, r)
				return
			}
			_, _ = fmt.Fprintf(w, "data: x\n\n")
			w.(http.Flusher).Flush()
		}
	}
}

// eventsUpTo returns the body of a stream with the events 1 to last.
func eventsUpTo(last int) string {
	var b strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", id)
	}
	return b.String()
}
