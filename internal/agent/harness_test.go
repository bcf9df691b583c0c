package agent

import (
	"context"
	"io"
	"net"
	"strings"
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
	waitTimeout = 20 * time.Second
	incarnation = 7
)

// fakeTarget counts runs. Requests to /drop lose their connection, those to /crash end the target,
// and those to any other path but /free and /stream block until release is closed.
type fakeTarget struct {
	addr    string
	ln      net.Listener
	release chan struct{}

	mu   sync.Mutex
	runs []string
}

func newFakeTarget(t *testing.T) *fakeTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeTarget{addr: ln.Addr().String(), ln: ln, release: make(chan struct{})}
	go func() { _ = fasthttp.Serve(ln, f.handle) }()
	t.Cleanup(func() { _ = ln.Close() })
	return f
}

func (f *fakeTarget) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	f.mu.Lock()
	f.runs = append(f.runs, path)
	f.mu.Unlock()
	switch path {
	case "/free":
	case "/stream":
		ctx.SetBodyStream(strings.NewReader("answer of /stream"), -1)
		return
	case "/crash":
		_ = f.ln.Close()
		_ = ctx.Conn().Close()
	case "/drop":
		_ = ctx.Conn().Close()
	default:
		<-f.release
	}
	ctx.SetBodyString("answer of " + path)
}

func (f *fakeTarget) runCount(path string) int {
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

// fakeClaims answers every claim with result once gate is closed.
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
	t.Cleanup(h.agent.Close)
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

// link connects another incarnation of the entry.
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

// finalKind waits for the frame that ends request id and returns its failure kind.
func (h *harness) finalKind(id uint64) apierr.Kind {
	h.t.Helper()
	if f := h.finalFailure(id); f != nil {
		return f.Kind
	}
	return apierr.KindNone
}

// finalFailure waits for the frame that ends request id and returns its failure, or nil.
func (h *harness) finalFailure(id uint64) *message.Failure {
	h.t.Helper()
	var failure *message.Failure
	h.wait(func() bool {
		for _, m := range h.frames {
			switch m := m.(type) {
			case *message.ResponseHead:
				if m.ID == id && m.Complete {
					return true
				}
			case *message.ResponseEnd:
				if m.ID == id {
					failure = m.Failure
					return true
				}
			}
		}
		return false
	})
	return failure
}

// withdraw asks over p to withdraw request id and reports whether the answer is that the
// request never runs.
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
		return poll.Continue("the condition does not hold yet")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
}

func (h *harness) waitRuns(path string, n int) {
	h.t.Helper()
	h.wait(func() bool { return h.target.runCount(path) == n })
}
