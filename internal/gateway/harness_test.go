package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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

// testHeaders are other names than the platform's: the gateway knows none by itself.
var testHeaders = Headers{
	Attempt: "T-Id", Deadline: "T-Deadline", Signature: "T-Sign", Organisation: "T-Org", ExpectTarget: "T-Expect",
	Load: "T-Load", NotExecuted: "T-Not-Run", LastEvent: "T-Last", Urgency: "T-Urgency",
}

// fakeStore is a Source whose content tests change.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	content  map[fleet.Topic][]fleet.Change
	changes  map[fleet.Topic][]fleet.Change
	err      error
}

func (s *fakeStore) List(_ context.Context, topic fleet.Topic) (fleet.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fleet.Batch{Changes: s.content[topic], Revision: s.revision}, s.err
}

func (s *fakeStore) Watch(ctx context.Context, topic fleet.Topic, _ int64, _ time.Duration) (fleet.Batch, error) {
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Millisecond):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := fleet.Batch{Changes: s.changes[topic], Revision: s.revision}
	s.changes[topic] = nil
	return b, s.err
}

func (s *fakeStore) Register(context.Context, fleet.Gateway) error { return nil }

// change puts a change into a watch.
func (s *fakeStore) change(topic fleet.Topic, c fleet.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes[topic] = append(s.changes[topic], c)
}

// bench is a gateway with fake targets.
type bench struct {
	t       *testing.T
	g       *Gateway
	store   *fakeStore
	addr    string
	targets []*fakeTarget
}

// fakeTarget is a target whose handler a test sets.
type fakeTarget struct {
	id     string
	server *httptest.Server
	mu     sync.Mutex
	seen   []*http.Request
}

// requests returns the requests that reached the target.
func (f *fakeTarget) requests() []*http.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*http.Request(nil), f.seen...)
}

func freePort(t *testing.T) string {
	t.Helper()
	addr, err := testaddr.Free()
	assert.NilError(t, err)
	return addr
}

func testConfig(version int64) *fleet.Config {
	route := func(name string, run fleet.RunRule, streaming bool, attempts int) fleet.Route {
		return fleet.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Run: run, Streaming: streaming, Attempts: attempts,
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
		Organisations: []fleet.Organisation{{Name: "org", Keys: []string{"key"}}},
		Limits:        fleet.Limits{HeaderBytes: 4096, BodyBytes: 1 << 16, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second},
	}
}

// newBench starts a gateway in front of one target for each handler.
func newBench(t *testing.T, handlers ...http.HandlerFunc) *bench {
	t.Helper()
	return newBenchWith(t, []fleet.Change{{Name: "main", Config: testConfig(1)}}, handlers...)
}

// newBenchWith is newBench with a configuration of its own in the store, or none.
func newBenchWith(t *testing.T, config []fleet.Change, handlers ...http.HandlerFunc) *bench {
	t.Helper()
	b := &bench{t: t, addr: freePort(t), store: &fakeStore{
		revision: 1, changes: map[fleet.Topic][]fleet.Change{}, content: map[fleet.Topic][]fleet.Change{},
	}}
	b.store.content[fleet.TopicConfig] = config
	for i, h := range handlers {
		f := &fakeTarget{id: fmt.Sprintf("t%d", i)}
		f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			f.seen = append(f.seen, r)
			f.mu.Unlock()
			w.Header().Set("T-Id", r.Header.Get("T-Id"))
			h(w, r)
		}))
		t.Cleanup(f.server.Close)
		b.targets = append(b.targets, f)
		b.store.content[fleet.TopicTargets] = append(b.store.content[fleet.TopicTargets], fleet.Change{Name: f.id, Target: &fleet.Target{
			ID: f.id, Service: "s", Address: f.server.Listener.Addr().String(), AvailabilityZone: "z", Slots: 4,
		}})
	}
	limits := settings.DefaultGatewayLimits()
	limits.RetrySlack = 2000 // the share of one gateway among many that may exist
	b.g = New(Options{
		Settings: &settings.Gateway{
			Name: "g", AvailabilityZone: "z", Listen: b.addr, PeerAddress: freePort(t), Limits: limits,
		},
		Headers: testHeaders, Source: b.store, Logger: &log.Logger{Level: log.PanicLevel}, Metrics: tally.NoopScope,
		Probe:  func(context.Context, string) (string, error) { return "", nil },
		Broken: func(err error) { t.Error(err) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go b.g.Run(ctx)
	go func() { served <- b.g.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-served)
	})
	return b
}

// ready waits until the gateway takes work.
func (b *bench) ready() *bench {
	b.t.Helper()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp4", b.addr)
		if err != nil || b.g.Ready() != nil {
			return poll.Continue("not ready")
		}
		_ = c.Close()
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	return b
}

// waitForRequest waits until the first target has got a request.
func (b *bench) waitForRequest() {
	b.t.Helper()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		if len(b.targets[0].requests()) == 0 {
			return poll.Continue("not there yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// send writes a request on a new connection and returns the connection.
func (b *bench) send(lines ...string) net.Conn {
	b.t.Helper()
	c, err := net.Dial("tcp4", b.addr)
	assert.NilError(b.t, err)
	b.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(b.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, strings.Join(lines, "\r\n")+"\r\n\r\n")
	assert.NilError(b.t, err)
	return c
}

// do sends a request and returns its answer's status, header and body, and whether the
// answer was whole.
func (b *bench) do(lines ...string) (status int, h http.Header, body string, whole bool) {
	b.t.Helper()
	c := b.send(lines...)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(b.t, err)
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(raw), err == nil
}

// get returns the lines of a request with a valid key.
func get(path string, more ...string) []string {
	return append([]string{"GET " + path + " HTTP/1.1", "Host: h", "T-Id: a1", "Authorization: Bearer key"}, more...)
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Sign", "signed")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// notRun refuses as a target without room does.
func notRun(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Not-Run", "1")
		w.WriteHeader(status)
	}
}

// cut closes the connection without an answer.
func cut(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// stream sends events from the one after the last that the request names, up to last;
// it breaks after breakAfter, in the middle of the next event, if that is not zero.
func stream(last, breakAfter int) http.HandlerFunc {
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
				cut(w, r)
				return
			}
			_, _ = fmt.Fprintf(w, "data: x\n\n")
			w.(http.Flusher).Flush()
		}
	}
}

// eventsUpTo is the body of a whole stream.
func eventsUpTo(last int) string {
	var b strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", id)
	}
	return b.String()
}
