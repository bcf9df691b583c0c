package agent

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/claims"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/target"
)

func TestWithdrawnRequestNeverRuns(t *testing.T) {
	h := newHarness(t, 1)
	h.request(1, "/held", nil)
	h.waitRuns("/held", 1)
	h.request(2, "/queued", nil)
	assert.Assert(t, h.withdraw(h.entry, 2), "a waiting request can be withdrawn")
	assert.Assert(t, !h.withdraw(h.entry, 1), "a started request cannot be withdrawn")
	assert.Assert(t, h.withdraw(h.entry, 3), "a request that has not arrived can be withdrawn")
	h.request(3, "/late", nil)
	assert.Equal(t, h.finalKind(3), apierr.KindWithdrawn)
	close(h.target.release)
	assert.Equal(t, h.finalKind(1), apierr.KindNone)
	h.request(4, "/free", nil)
	assert.Equal(t, h.finalKind(4), apierr.KindNone)
	assert.Equal(t, h.target.runCount("/queued"), 0)
	assert.Equal(t, h.target.runCount("/late"), 0)
	assert.Assert(t, !h.withdraw(h.entry, 4), "a request that ran must not be reported as not run")
}

func TestRepeatedFrameRunsOnce(t *testing.T) {
	h := newHarness(t, 4)
	h.request(1, "/free", nil)
	h.request(1, "/free", nil)
	assert.Equal(t, h.finalKind(1), apierr.KindNone)
	h.request(1, "/free", nil)
	h.request(2, "/free", nil)
	assert.Equal(t, h.finalKind(2), apierr.KindNone)
	assert.Equal(t, h.target.runCount("/free"), 2)
}

func TestEarlierIncarnationIsRefused(t *testing.T) {
	h := newHarness(t, 4)
	h.request(1, "/free", func(r *message.Request) { r.Incarnation = incarnation - 1 })
	assert.Equal(t, h.finalKind(1), apierr.KindStaleIncarnation)
	assert.Equal(t, h.target.runCount("/free"), 0)
}

func TestWaitingRequestsDoNotStartAfterLinkLoss(t *testing.T) {
	h := newHarness(t, 1)
	h.request(1, "/held", nil)
	h.waitRuns("/held", 1)
	h.request(2, "/queued", nil)
	h.request(4, "/forgotten", nil)
	h.agent.Down(h.entry, io.EOF)
	reconnected := h.link(1)
	assert.Assert(t, h.withdraw(reconnected, 2), "over a new link, a waiting request must be reported as not run")
	close(h.target.release)
	h.entry = reconnected
	h.request(3, "/free", nil)
	assert.Equal(t, h.finalKind(3), apierr.KindNone)
	assert.Equal(t, h.target.runCount("/queued"), 0)
	assert.Equal(t, h.target.runCount("/forgotten"), 0)
}

func TestDrainAndStopRefuseNewRequestsAndFinishOpenOnes(t *testing.T) {
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
		assert.Equal(t, h.finalKind(3), apierr.KindDraining, name)
		close(h.target.release)
		assert.Equal(t, h.finalKind(1), apierr.KindNone, name)
		assert.Equal(t, h.finalKind(2), apierr.KindNone, name)
		assert.Equal(t, h.target.runCount("/new"), 0, name)
	}
}

// TestWithdrawDuringClaim withdraws a request while its claim is pending. The request
// must not run when the claim is granted afterwards, and its key must be released.
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
	assert.Equal(t, h.target.runCount("/free"), 0)
}

// TestExpiredClaimNeverRuns grants a claim whose time to run has already passed, as
// after a long pause of the agent. The request must not run and its key must be released.
func TestExpiredClaimNeverRuns(t *testing.T) {
	h := newHarness(t, 4)
	h.claims.result = claims.Result{Status: claims.Claimed, RunBefore: time.Now().Add(-time.Second)}
	close(h.claims.gate)
	h.request(1, "/free", func(r *message.Request) { r.IdempotencyKey = "k" })
	assert.Equal(t, h.finalKind(1), apierr.KindClaimUnavailable)
	assert.Equal(t, h.target.runCount("/free"), 0)
	assert.Equal(t, len(h.claims.outcomes), 1)
	assert.Assert(t, !h.claims.outcomes[0].Ran)
}

func TestClaimDecidesWhetherARequestRuns(t *testing.T) {
	recorded := &claims.Answer{Status: 201, Body: []byte("first")}
	for status, want := range map[claims.Status]apierr.Kind{
		claims.Claimed:       apierr.KindNone,
		claims.Answered:      apierr.KindNone,
		claims.InProgress:    apierr.KindInProgress,
		claims.AnswerNotKept: apierr.KindAnswerNotKept,
		claims.KeyReused:     apierr.KindKeyReused,
	} {
		h := newHarness(t, 4)
		h.claims.result = claims.Result{Status: status, RunBefore: time.Now().Add(time.Hour), Answer: recorded}
		close(h.claims.gate)
		h.request(1, "/free", func(r *message.Request) { r.IdempotencyKey = "k" })
		assert.Equal(t, h.finalKind(1), want, status.String())
		runs := 0
		if status == claims.Claimed {
			runs = 1
		}
		assert.Equal(t, h.target.runCount("/free"), runs, status.String())
	}
}

// TestCancelDoesNotInterruptNonIdempotentRun cancels a running request with a claim. The
// target's answer must still be read to its end and recorded.
func TestCancelDoesNotInterruptNonIdempotentRun(t *testing.T) {
	h := newHarness(t, 4)
	h.claims.result = claims.Result{Status: claims.Claimed, RunBefore: time.Now().Add(time.Hour)}
	close(h.claims.gate)
	h.request(1, "/held", func(r *message.Request) { r.IdempotencyKey = "k" })
	h.waitRuns("/held", 1)
	h.agent.Message(h.entry, &message.Cancel{ID: 1})
	close(h.target.release)
	h.wait(func() bool {
		h.claims.mu.Lock()
		defer h.claims.mu.Unlock()
		return len(h.claims.outcomes) == 1
	})
	assert.Assert(t, h.claims.outcomes[0].Ran)
	assert.Equal(t, string(h.claims.outcomes[0].Answer.Body), "answer of /held")
}

// TestReplacedTargetIsCheckedBeforeItsNextRequest closes the probe's connection between
// two health checks, as when an idle target is replaced by a cold one. No request may
// reach the target before the next successful check, which reports that it is cold.
func TestReplacedTargetIsCheckedBeforeItsNextRequest(t *testing.T) {
	h := newHarness(t, 4)
	h.request(1, "/free", nil)
	assert.Equal(t, h.finalKind(1), apierr.KindNone)
	h.agent.post(probeDisconnected{})
	h.request(2, "/free", nil)
	assert.Equal(t, h.finalKind(2), apierr.KindDraining)
	assert.Equal(t, h.target.runCount("/free"), 1)
	h.agent.post(healthChecked{up: true, startID: 2, cold: true, sentAt: h.agent.now()})
	h.request(3, "/free", nil)
	assert.Equal(t, h.finalKind(3), apierr.KindNone)
}

// TestClosedProbeConnectionTriggersHealthCheck closes the target's connections while the
// next regular health check is an hour away. A check must follow at once.
func TestClosedProbeConnectionTriggersHealthCheck(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	var mu sync.Mutex
	var conns []net.Conn
	checks := 0
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			go func() {
				_ = fasthttp.ServeConn(conn, func(*fasthttp.RequestCtx) {
					mu.Lock()
					defer mu.Unlock()
					checks++
				})
			}()
		}
	}()
	a := New(Options{Target: target.New(ln.Addr().String()), HealthInterval: time.Hour, Metrics: tally.NoopScope})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.WatchHealth(ctx)
	counts := func() (int, int) {
		mu.Lock()
		defer mu.Unlock()
		return checks, len(conns)
	}
	await := func(done func() bool) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if done() {
				return poll.Success()
			}
			return poll.Continue("the condition does not hold yet")
		}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
	}
	// The connection is closed behind the answer of the first check, once the agent has got it.
	await(func() bool { n, open := counts(); return n == 1 && open == 1 && len(a.events) == 1 })
	mu.Lock()
	for _, conn := range conns {
		_ = conn.Close()
	}
	mu.Unlock()
	await(func() bool { n, _ := counts(); return n >= 2 })
}

// Guards against an end of the target that the entries can't tell from a closed connection.
func TestEndOfTheTargetIsReported(t *testing.T) {
	for path, ended := range map[string]bool{"/crash": true, "/drop": false} {
		h := newHarness(t, 4)
		h.request(1, path, nil)
		f := h.finalFailure(1)
		assert.Assert(t, f != nil && f.Kind == apierr.KindTargetFailed, "%s: %+v", path, f)
		assert.Assert(t, (f.EndedTarget != "") == ended, "%s: ended run %q", path, f.EndedTarget)
	}
}

// Guards against requests that were at a target when it ended and seem to have ended several.
func TestEndsOfTheTargetAreCounted(t *testing.T) {
	var e targetEnds
	now := time.Now()
	assert.Equal(t, e.record(now), 1)
	assert.Equal(t, e.record(now.Add(targetEndSpacing/2)), 1)
	assert.Equal(t, e.record(now.Add(3*targetEndSpacing)), 2)
}
