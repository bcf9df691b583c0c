package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/settings"
)

const (
	testZone    = "zone-1"
	testKey     = "key"
	waitTimeout = 20 * time.Second
)

// warm is the load report of an idle target.
var warm = message.Load{State: message.TargetWarm, Limit: 8, QueueLimit: 8}

func testConfig() *config.Index {
	digest := sha256.Sum256([]byte(testKey))
	c := &config.Config{
		Revision:          1,
		Organisations:     []config.Organisation{{Name: "org", KeyDigests: []string{hex.EncodeToString(digest[:])}, Weight: 1, MaxWaiting: 100}},
		AvailabilityZones: []config.AvailabilityZone{{Name: testZone}},
		Pools:             []config.Pool{{Name: "pool", Kind: config.TargetPlain, Limit: 8, ColdLimit: 8, QueueLimit: 8}},
		Services: []config.Service{{
			Name: "svc", Pool: "pool", MaxBody: 1 << 10, DefaultTimeout: 2 * time.Second, MaxTimeout: 5 * time.Second,
			Routes: []config.Route{{Method: "GET", Path: "/*", Idempotent: true}, {Method: "POST", Path: "/once"}},
		}},
	}
	return c.Index()
}

// testEntry runs an Entry with an in-memory listener; functions act as its agents.
type testEntry struct {
	t     testing.TB
	entry *Entry
	ln    *fasthttputil.InmemoryListener
}

func testLimits() settings.EntryLimits {
	limits := settings.DefaultEntryLimits()
	limits.Header, limits.Body, limits.ReadTimeout = 4<<10, 2<<10, 300*time.Millisecond
	return limits
}

func newTestEntry(t testing.TB) *testEntry {
	t.Helper()
	e := New(Options{
		Identity:    message.Identity{Role: message.RoleEntry, Name: "entry", AvailabilityZone: testZone, Incarnation: 1},
		MaxRequests: 100,
		Dial:        func(string) {},
		Logger:      &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
		Metrics:     tally.NoopScope,
	})
	s := &testEntry{t: t, entry: e, ln: fasthttputil.NewInmemoryListener()}
	go e.Run()
	e.Configure(testConfig())
	h := e.NewServer(testLimits())
	go func() { _ = h.Serve(s.ln) }()
	t.Cleanup(func() {
		_ = s.ln.Close()
		e.Stop()
	})
	return s
}

// agentFunc answers the messages that an entry sends to one agent.
type agentFunc func(p *linktest.Peer, m message.Message)

// addAgent links an agent to the entry and waits until requests can reach it.
func (s *testEntry) addAgent(name string, f agentFunc) *linktest.Peer {
	return s.addPeer(name, func(p *linktest.Peer, m message.Message) error {
		if _, ok := m.(*message.Members); !ok {
			go f(p, m)
		}
		return nil
	})
}

// addPeer links an agent that takes, or refuses, each message on its sender's goroutine.
func (s *testEntry) addPeer(name string, onSend func(*linktest.Peer, message.Message) error) *linktest.Peer {
	id := message.Identity{
		Role: message.RoleAgent, Name: name, AvailabilityZone: testZone,
		Pool: "pool", Incarnation: uint64(len(name)) + 100,
	}
	var p *linktest.Peer
	p = linktest.NewPeer(id, func(m message.Message) error { return onSend(p, m) })
	s.entry.Up(p)
	s.entry.Message(p, &message.Heartbeat{Load: warm})
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if s.entry.view.Load().links[name] != nil && len(s.entry.view.Load().routing.Pools) > 0 {
			return poll.Success()
		}
		return poll.Continue("agent %s is not in the view", name)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
	return p
}

// result is an answer as the caller receives it.
type result struct {
	status  int
	header  http.Header
	body    string
	readErr error
}

func (s *testEntry) client() *http.Client {
	return &http.Client{Timeout: waitTimeout, Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return s.ln.Dial() },
	}}
}

func (s *testEntry) call(method, path string, headers ...string) result {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://entry"+path, strings.NewReader(""))
	assert.NilError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.client().Do(req)
	if err != nil {
		return result{readErr: err, header: http.Header{}}
	}
	defer func() { _ = resp.Body.Close() }()
	body, readErr := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(body), readErr: readErr}
}

// streamAnswer answers each request with a streamed body made of pieces.
func streamAnswer(e *Entry, pieces ...message.ResponseData) agentFunc {
	return func(p *linktest.Peer, m message.Message) {
		req, ok := m.(*message.Request)
		if !ok {
			return
		}
		e.Message(p, &message.ResponseHead{ID: req.ID, Status: 200, Length: -1})
		var length int64
		for _, piece := range pieces {
			piece.ID = req.ID
			e.Message(p, &piece)
			length += int64(len(piece.Data))
		}
		e.Message(p, &message.ResponseEnd{ID: req.ID, Length: length, Load: warm})
	}
}

func piece(offset int64, data string) message.ResponseData {
	return message.ResponseData{Offset: offset, Data: []byte(data)}
}

func TestDamagedStreamsAreNotReportedComplete(t *testing.T) {
	for name, pieces := range map[string][]message.ResponseData{
		"missing piece":   {piece(0, "ab"), piece(4, "ef")},
		"repeated piece":  {piece(0, "ab"), piece(0, "ab")},
		"swapped pieces":  {piece(2, "cd"), piece(0, "ab")},
		"exceeded window": {piece(0, strings.Repeat("x", streamWindow+1))},
	} {
		s := newTestEntry(t)
		s.addAgent("agent", streamAnswer(s.entry, pieces...))
		got := s.call("POST", "/svc/once")
		complete := got.status == http.StatusOK && got.readErr == nil
		assert.Assert(t, !complete, "%s: the answer was reported as complete with body %q", name, got.body)
	}
}

func TestTruncatedStreamIsNotReportedComplete(t *testing.T) {
	s := newTestEntry(t)
	s.addAgent("agent", func(p *linktest.Peer, m message.Message) {
		if req, ok := m.(*message.Request); ok {
			s.entry.Message(p, &message.ResponseHead{ID: req.ID, Status: 200, Length: -1})
			s.entry.Message(p, &message.ResponseData{ID: req.ID, Data: []byte("ab")})
			s.entry.Message(p, &message.ResponseEnd{ID: req.ID, Length: 4, Load: warm})
		}
	})
	got := s.call("POST", "/svc/once")
	assert.Assert(t, got.readErr != nil, "the answer was reported as complete with body %q", got.body)
}

func TestCompleteStreamIsRelayed(t *testing.T) {
	s := newTestEntry(t)
	s.addAgent("agent", streamAnswer(s.entry, piece(0, "ab"), piece(2, "cd")))
	got := s.call("GET", "/svc/x")
	assert.NilError(t, got.readErr)
	assert.Equal(t, got.body, "abcd")
	assert.Equal(t, got.header.Get("Gentiantrail-Outcome"), "ran")
}

// TestLateAndInterleavedAnswersReachOnlyTheirCaller answers each request with its own
// path, after it has sent a late answer to every request answered before. Each caller
// must receive its own path only.
func TestLateAndInterleavedAnswersReachOnlyTheirCaller(t *testing.T) {
	s := newTestEntry(t)
	var mu sync.Mutex
	var answered []uint64
	s.addAgent("agent", func(p *linktest.Peer, m message.Message) {
		req, ok := m.(*message.Request)
		if !ok {
			return
		}
		mu.Lock()
		late := slices.Clone(answered)
		mu.Unlock()
		for _, id := range late {
			s.entry.Message(p, &message.ResponseHead{ID: id, Status: 200, Length: 4, Complete: true, Body: []byte("late"), Load: warm})
		}
		s.entry.Message(p, &message.ResponseHead{ID: req.ID, Status: 200, Length: -1})
		s.entry.Message(p, &message.ResponseData{ID: req.ID, Data: []byte(req.Path)})
		s.entry.Message(p, &message.ResponseEnd{ID: req.ID, Length: int64(len(req.Path)), Load: warm})
		mu.Lock()
		answered = append(answered, req.ID)
		mu.Unlock()
	})
	done := make(chan string, 64)
	for i := range 64 {
		go func() {
			want := fmt.Sprintf("/%d", i)
			if got := s.call("GET", "/svc"+want); got.body != want {
				done <- fmt.Sprintf("caller of %s got %q", want, got.body)
				return
			}
			done <- ""
		}()
	}
	for range 64 {
		assert.Equal(t, <-done, "")
	}
}

// TestLostLinkRetriesOnlyIdempotentRequests drops the link after the request was sent, so
// that the request may have run. It must be sent again only if it is idempotent.
func TestLostLinkRetriesOnlyIdempotentRequests(t *testing.T) {
	s := newTestEntry(t)
	var sent atomic.Int64
	dropLink := func(p *linktest.Peer, m message.Message) {
		if _, ok := m.(*message.Request); ok {
			sent.Add(1)
			s.entry.Down(p, io.EOF)
		}
	}
	s.addAgent("agent-a", dropLink)
	s.addAgent("agent-bb", dropLink)
	got := s.call("POST", "/svc/once", "Idempotency-Key", "k")
	assert.Equal(t, got.header.Get("Gentiantrail-Error"), apierr.KindLinkLost.String())
	assert.Equal(t, got.header.Get("Gentiantrail-Outcome"), "unknown")
	assert.Equal(t, sent.Load(), int64(1))

	s = newTestEntry(t)
	sent.Store(0)
	for range 11 { // a new entry has no repeats yet
		s.entry.recordSuccess()
	}
	s.addAgent("agent-a", dropLink)
	s.addAgent("agent-bb", dropLink)
	s.call("GET", "/svc/x")
	assert.Equal(t, sent.Load(), int64(2))
}

func TestRefusedAttemptGoesToAnotherTarget(t *testing.T) {
	s := newTestEntry(t)
	refuse := func(p *linktest.Peer, m message.Message) {
		if req, ok := m.(*message.Request); ok {
			s.entry.Message(p, &message.ResponseEnd{ID: req.ID, Load: warm, Failure: &message.Failure{Kind: apierr.KindDraining}})
		}
	}
	s.addAgent("agent-a", refuse)
	s.addAgent("agent-bb", streamAnswer(s.entry, piece(0, "ok")))
	for range 20 {
		got := s.call("POST", "/svc/once")
		assert.Equal(t, got.body, "ok")
	}
}

func TestSilentAgentIsAskedToWithdrawBeforeTheDeadline(t *testing.T) {
	for _, notRun := range []bool{true, false} {
		s := newTestEntry(t)
		s.addAgent("agent", func(p *linktest.Peer, m message.Message) {
			if w, ok := m.(*message.Withdraw); ok {
				s.entry.Message(p, &message.Withdrawn{ID: w.ID, NotRun: notRun})
			}
		})
		got := s.call("POST", "/svc/once", "Gentiantrail-Timeout", "300ms")
		if notRun {
			assert.Equal(t, got.header.Get("Gentiantrail-Outcome"), "not-run")
			assert.Assert(t, got.header.Get("Retry-After") != "")
		} else {
			assert.Equal(t, got.header.Get("Gentiantrail-Outcome"), "unknown")
			assert.Equal(t, got.status, http.StatusGatewayTimeout)
		}
	}
}

func TestBadInputIsAnsweredWithItsErrorKind(t *testing.T) {
	s := newTestEntry(t)
	s.addAgent("agent", streamAnswer(s.entry, piece(0, "ok")))
	long := strings.Repeat("x", 5<<10)
	for name, c := range map[string]struct {
		raw  string
		kind apierr.Kind
	}{
		"garbage":        {"\x00\x01\x02\r\n\r\n", apierr.KindMalformed},
		"no key":         {"GET /svc/x HTTP/1.1\r\nHost: e\r\n\r\n", apierr.KindUnauthenticated},
		"unknown key":    {"GET /svc/x HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer no\r\n\r\n", apierr.KindUnauthenticated},
		"unknown path":   {withKey("GET /nothing/x", ""), apierr.KindUnknownService},
		"wrong method":   {withKey("DELETE /svc/once", ""), apierr.KindMethodNotAllowed},
		"large header":   {withKey("GET /svc/x", "X: "+long+"\r\n"), apierr.KindHeaderTooLarge},
		"large body":     {withKey("POST /svc/once", "Content-Length: 1500\r\n") + long[:1500], apierr.KindBodyTooLarge},
		"huge body":      {withKey("POST /svc/once", "Content-Length: 999999\r\n") + long, apierr.KindBodyTooLarge},
		"slow sender":    {"GET /svc/x HTTP/1.1\r\nHost:", apierr.KindSlowRequest},
		"bad deadline":   {withKey("GET /svc/x", "Gentiantrail-Timeout: soon\r\n"), apierr.KindBadDeadline},
		"bad key":        {withKey("POST /svc/once", "Idempotency-Key: \xc3\xa9\r\n"), apierr.KindBadIdempotencyKey},
		"key too long":   {withKey("POST /svc/once", "Idempotency-Key: "+long[:256]+"\r\n"), apierr.KindBadIdempotencyKey},
		"no such method": {withKey("PUT /svc/once", ""), apierr.KindMethodNotAllowed},
	} {
		conn, err := s.ln.Dial()
		assert.NilError(t, err)
		_, err = io.WriteString(conn, c.raw)
		assert.NilError(t, err, name)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, name)
		assert.Equal(t, resp.Header.Get("Gentiantrail-Error"), c.kind.String(), name)
		assert.Equal(t, resp.StatusCode, c.kind.Answer().Status, name)
		_ = conn.Close()
	}
	got := s.call("GET", "/svc/x")
	assert.Equal(t, got.body, "ok", "the entry must serve valid requests after bad input")
}

func withKey(line, headers string) string {
	return line + " HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer " + testKey + "\r\n" + headers + "\r\n"
}

func TestStopAnswersRequestsInFlightAndRefusesNewOnes(t *testing.T) {
	s := newTestEntry(t)
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	s.addAgent("agent", func(p *linktest.Peer, m message.Message) {
		if _, ok := m.(*message.Request); ok {
			started <- struct{}{}
			<-release
		}
		streamAnswer(s.entry, piece(0, "done"))(p, m)
	})
	answered := make(chan result, 1)
	go func() { answered <- s.call("GET", "/svc/x") }()
	<-started
	s.entry.Stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.entry.Ready() != nil {
			return poll.Success()
		}
		return poll.Continue("still ready")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
	// An entry that does not wait for the request in flight ends within this time.
	time.Sleep(minStopTime + 5*tickInterval)
	refused := s.call("GET", "/svc/y")
	assert.Equal(t, refused.header.Get("Gentiantrail-Error"), apierr.KindDraining.String())
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	select {
	case <-s.entry.Done():
		t.Fatal("the entry ended with a request in flight")
	default:
	}
	close(release)
	got := <-answered
	assert.NilError(t, got.readErr)
	assert.Equal(t, got.body, "done")
	<-s.entry.Done()
}
