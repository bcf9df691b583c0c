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

// TestReplacedTargetIsCheckedBeforeItsNextRequest lets an idle target vanish between
// two health checks and come back cold: nothing reaches it before a check, and then
// no more than its cold limit.
func TestReplacedTargetIsCheckedBeforeItsNextRequest(t *testing.T) {
	h := newHarness(t, 4)
	h.request(1, "/free", nil)
	assert.Equal(t, h.final(1), apierr.KindNone)
	h.agent.post(targetLost{})
	h.request(2, "/free", nil)
	assert.Equal(t, h.final(2), apierr.KindDraining)
	assert.Equal(t, h.target.ran("/free"), 1)
	h.agent.post(healthChecked{up: true, startID: 2, cold: true, began: h.agent.now()})
	h.request(3, "/free", nil)
	assert.Equal(t, h.final(3), apierr.KindNone)
}

// TestEndOfTheProbesConnectionBringsACheckForward closes the target's connections
// while the next health check is an hour away.
func TestEndOfTheProbesConnectionBringsACheckForward(t *testing.T) {
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
			return poll.Continue("waiting")
		}, poll.WithTimeout(patience), poll.WithDelay(time.Millisecond))
	}
	await(func() bool { n, open := counts(); return n == 1 && open == 1 })
	mu.Lock()
	for _, conn := range conns {
		_ = conn.Close()
	}
	mu.Unlock()
	await(func() bool { n, _ := counts(); return n >= 2 })
}
