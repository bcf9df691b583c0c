package agent

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/claims"
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/target"
)

const (
	patience    = 20 * time.Second
	incarnation = 7
)

// fakeTarget counts runs and lets a test hold them.
type fakeTarget struct {
	addr string
	hold chan struct{}

	mu   sync.Mutex
	runs []string
}

func newFakeTarget(t *testing.T) *fakeTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeTarget{addr: ln.Addr().String(), hold: make(chan struct{})}
	go func() { _ = fasthttp.Serve(ln, f.handle) }()
	t.Cleanup(func() { _ = ln.Close() })
	return f
}

func (f *fakeTarget) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	f.mu.Lock()
	f.runs = append(f.runs, path)
	f.mu.Unlock()
	if path != "/free" {
		<-f.hold
	}
	ctx.SetBodyString("answer of " + path)
}

func (f *fakeTarget) ran(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, p := range f.runs {
		if p == path {
			n++
		}
	}
	return n
}

// fakeClaims decides claims after the test lets it.
type fakeClaims struct {
	result claims.Result
	gate   chan struct{}

	mu       sync.Mutex
	outcomes []claims.Outcome
}

func (c *fakeClaims) Claim(ctx context.Context, _ claims.Key, _ claims.Digest) (claims.Result, error) {
	select {
	case <-c.gate:
		return c.result, nil
	case <-ctx.Done():
		return claims.Result{}, apierr.New(apierr.KindClaimUnavailable, "")
	}
}

func (c *fakeClaims) Record(_ claims.Token, o claims.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

func (c *fakeClaims) Flush(context.Context) error { return nil }

// harness is an Agent with one linked entry.
type harness struct {
	t      *testing.T
	agent  *Agent
	target *fakeTarget
	claims *fakeClaims
	entry  *linktest.Peer

	mu     sync.Mutex
	frames []message.Message
}

func newHarness(t *testing.T, limit int) *harness {
	t.Helper()
	h := &harness{t: t, target: newFakeTarget(t), claims: &fakeClaims{gate: make(chan struct{})}}
	h.agent = New(Options{
		Identity: message.Identity{Role: message.RoleAgent, Name: "agent", Pool: "pool", AvailabilityZone: "zone-1", Incarnation: incarnation},
		Target:   target.New(h.target.addr),
		Claims:   h.claims,
		Dial:     func(string) {},
		Logger:   &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
		Metrics:  tally.NoopScope,
	})
	go h.agent.Run()
	t.Cleanup(h.agent.Stop)
	h.agent.Configure(poolConfig(limit, false).Index())
	h.agent.post(healthChecked{up: true, startID: 1})
	h.entry = h.link(1)
	return h
}

func poolConfig(limit int, drained bool) *config.Config {
	return &config.Config{
		Revision:          1,
		AvailabilityZones: []config.AvailabilityZone{{Name: "zone-1", Drained: drained}},
		Organisations:     []config.Organisation{{Name: "org", Weight: 1}},
		Pools:             []config.Pool{{Name: "pool", Kind: config.TargetPlain, Limit: limit, ColdLimit: limit, QueueLimit: 8}},
	}
}

// link connects one more incarnation of an entry.
func (h *harness) link(sender uint64) *linktest.Peer {
	id := message.Identity{Role: message.RoleEntry, Name: "entry", Incarnation: sender}
	p := linktest.NewPeer(id, func(m message.Message) error {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.frames = append(h.frames, m)
		return nil
	})
	h.agent.Up(p)
	return p
}

func (h *harness) request(id uint64, path string, change func(*message.Request)) {
	req := &message.Request{
		ID: id, Incarnation: incarnation, Organisation: "org", Service: "svc",
		Method: "POST", Path: path, Timeout: 10 * time.Second, Window: 1 << 20,
	}
	if change != nil {
		change(req)
	}
	h.agent.Message(h.entry, req)
}

// final waits for the frame that ends request id and returns its failure kind.
func (h *harness) final(id uint64) apierr.Kind {
	h.t.Helper()
	var kind apierr.Kind
	h.wait(func() bool {
		for _, m := range h.frames {
			switch m := m.(type) {
			case *message.ResponseHead:
				if m.ID == id && m.Whole {
					kind = apierr.KindNone
					return true
				}
			case *message.ResponseEnd:
				if m.ID == id {
					kind = apierr.KindNone
					if m.Failure != nil {
						kind = m.Failure.Kind
					}
					return true
				}
			}
		}
		return false
	})
	return kind
}

// withdraw asks to withdraw request id over p and returns the answer.
func (h *harness) withdraw(p *linktest.Peer, id uint64) bool {
	h.t.Helper()
	h.agent.Message(p, &message.Withdraw{ID: id})
	var notRun bool
	h.wait(func() bool {
		for _, m := range h.frames {
			if w, ok := m.(*message.Withdrawn); ok && w.ID == id {
				notRun = w.NotRun
				return true
			}
		}
		return false
	})
	return notRun
}

func (h *harness) wait(done func() bool) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		h.mu.Lock()
		defer h.mu.Unlock()
		if done() {
			return poll.Success()
		}
		return poll.Continue("waiting")
	}, poll.WithTimeout(patience), poll.WithDelay(time.Millisecond))
}

func (h *harness) waitRuns(path string, n int) {
	h.t.Helper()
	h.wait(func() bool { return h.target.ran(path) == n })
}

func TestWithdrawnMeansNeverRun(t *testing.T) {
	h := newHarness(t, 1)
	h.request(1, "/held", nil)
	h.waitRuns("/held", 1)
	h.request(2, "/queued", nil)
	assert.Assert(t, h.withdraw(h.entry, 2), "a waiting request can be withdrawn")
	assert.Assert(t, !h.withdraw(h.entry, 1), "a started request cannot")
	assert.Assert(t, h.withdraw(h.entry, 3), "a request that has not arrived can")
	h.request(3, "/late", nil)
	assert.Equal(t, h.final(3), apierr.KindWithdrawn)
	close(h.target.hold)
	assert.Equal(t, h.final(1), apierr.KindNone)
	h.request(4, "/free", nil)
	assert.Equal(t, h.final(4), apierr.KindNone)
	assert.Equal(t, h.target.ran("/queued"), 0)
	assert.Equal(t, h.target.ran("/late"), 0)
	assert.Assert(t, !h.withdraw(h.entry, 4), "a request that ran is never said not to have run")
}

func TestRepeatedFrameRunsOnce(t *testing.T) {
	h := newHarness(t, 4)
	h.request(1, "/free", nil)
	h.request(1, "/free", nil)
	assert.Equal(t, h.final(1), apierr.KindNone)
	h.request(1, "/free", nil)
	h.request(2, "/free", nil)
	assert.Equal(t, h.final(2), apierr.KindNone)
	assert.Equal(t, h.target.ran("/free"), 2)
}

func TestEarlierIncarnationIsRefused(t *testing.T) {
	h := newHarness(t, 4)
	h.request(1, "/free", func(r *message.Request) { r.Incarnation = incarnation - 1 })
	assert.Equal(t, h.final(1), apierr.KindStaleIncarnation)
	assert.Equal(t, h.target.ran("/free"), 0)
}

func TestLostLinkNeverStartsWaitingRequests(t *testing.T) {
	h := newHarness(t, 1)
	h.request(1, "/held", nil)
	h.waitRuns("/held", 1)
	h.request(2, "/queued", nil)
	h.request(4, "/forgotten", nil)
	h.agent.Down(h.entry, io.EOF)
	again := h.link(1)
	assert.Assert(t, h.withdraw(again, 2), "the entry learns over a new link that it did not run")
	close(h.target.hold)
	h.entry = again
	h.request(3, "/free", nil)
	assert.Equal(t, h.final(3), apierr.KindNone)
	assert.Equal(t, h.target.ran("/queued"), 0)
	assert.Equal(t, h.target.ran("/forgotten"), 0)
}

func TestDrainAndStopRefuseNewWorkAndEndWhatRuns(t *testing.T) {
	for name, begin := range map[string]func(h *harness){
		"drained": func(h *harness) { h.agent.Configure(poolConfig(1, true).Index()) },
		"stopped": func(h *harness) { h.agent.Stop() },
	} {
		h := newHarness(t, 1)
		h.request(1, "/held", nil)
		h.waitRuns("/held", 1)
		h.request(2, "/queued", nil)
		begin(h)
		h.request(3, "/new", nil)
		assert.Equal(t, h.final(3), apierr.KindDraining, name)
		close(h.target.hold)
		assert.Equal(t, h.final(1), apierr.KindNone, name)
		assert.Equal(t, h.final(2), apierr.KindNone, name)
		assert.Equal(t, h.target.ran("/new"), 0, name)
	}
}

// TestWithdrawDuringClaim withdraws a request whose claim is being decided: it
// must not run when the claim turns out to be won, and the key is released.
func TestWithdrawDuringClaim(t *testing.T) {
	h := newHarness(t, 4)
	h.claims.result = claims.Result{Status: claims.Claimed, RunBefore: time.Now().Add(time.Hour)}
	h.request(1, "/free", func(r *message.Request) { r.IdempotencyKey = "k" })
	assert.Assert(t, h.withdraw(h.entry, 1))
	close(h.claims.gate)
	h.wait(func() bool {
		h.claims.mu.Lock()
		defer h.claims.mu.Unlock()
		return len(h.claims.outcomes) == 1
	})
	assert.Assert(t, !h.claims.outcomes[0].Ran)
	assert.Equal(t, h.target.ran("/free"), 0)
}

// TestClaimPastItsWindowNeverRuns wins a claim whose right to run has ended, as
// after a long pause: the request does not run and its key is released.
func TestClaimPastItsWindowNeverRuns(t *testing.T) {
	h := newHarness(t, 4)
	h.claims.result = claims.Result{Status: claims.Claimed, RunBefore: time.Now().Add(-time.Second)}
	close(h.claims.gate)
	h.request(1, "/free", func(r *message.Request) { r.IdempotencyKey = "k" })
	assert.Equal(t, h.final(1), apierr.KindClaimUnavailable)
	assert.Equal(t, h.target.ran("/free"), 0)
	assert.Equal(t, len(h.claims.outcomes), 1)
	assert.Assert(t, !h.claims.outcomes[0].Ran)
}

func TestClaimDecidesWhetherARequestRuns(t *testing.T) {
	kept := &claims.Answer{Status: 201, Body: []byte("first")}
	for status, want := range map[claims.Status]apierr.Kind{
		claims.Claimed:       apierr.KindNone,
		claims.Answered:      apierr.KindNone,
		claims.InProgress:    apierr.KindInProgress,
		claims.AnswerNotKept: apierr.KindAnswerNotKept,
		claims.KeyReused:     apierr.KindKeyReused,
	} {
		h := newHarness(t, 4)
		h.claims.result = claims.Result{Status: status, RunBefore: time.Now().Add(time.Hour), Answer: kept}
		close(h.claims.gate)
		h.request(1, "/free", func(r *message.Request) { r.IdempotencyKey = "k" })
		assert.Equal(t, h.final(1), want, status.String())
		runs := 0
		if status == claims.Claimed {
			runs = 1
		}
		assert.Equal(t, h.target.ran("/free"), runs, status.String())
	}
}

// TestCallerGoneDoesNotCutARunThatMayNotBeRepeated cancels a claimed run: the
// target's answer is read to its end and recorded.
func TestCallerGoneDoesNotCutARunThatMayNotBeRepeated(t *testing.T) {
	h := newHarness(t, 4)
	h.claims.result = claims.Result{Status: claims.Claimed, RunBefore: time.Now().Add(time.Hour)}
	close(h.claims.gate)
	h.request(1, "/held", func(r *message.Request) { r.IdempotencyKey = "k" })
	h.waitRuns("/held", 1)
	h.agent.Message(h.entry, &message.Cancel{ID: 1})
	close(h.target.hold)
	h.wait(func() bool {
		h.claims.mu.Lock()
		defer h.claims.mu.Unlock()
		return len(h.claims.outcomes) == 1
	})
	assert.Assert(t, h.claims.outcomes[0].Ran)
	assert.Equal(t, string(h.claims.outcomes[0].Answer.Body), "answer of /held")
}
