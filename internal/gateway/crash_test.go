package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/http1"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/quarantine"
)

// crashingPart is the part of a prompt on which the targets of these tests crash.
const crashingPart = "crash"

// newCrashingGateway starts a gateway with n targets that answer requests after delay, and
// crash as they begin the answer to a request with crashingPart: the connection ends after the
// head and some events, and no other one is accepted. They drop requests that are withdrawn
// before.
func newCrashingGateway(t *testing.T, n int, delay time.Duration, eventsBeforeCrash int) *testGateway {
	t.Helper()
	var gw *testGateway
	handlers := make([]http.HandlerFunc, n)
	for i := range handlers {
		answer := streamEvents(3, 0)
		handlers[i] = func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(delay):
			case <-r.Context().Done():
				return
			}
			if !strings.Contains(r.Header.Get("T-Prompt"), crashingPart) {
				answer(w, r)
				return
			}
			last := 0
			_, _ = fmt.Sscan(r.Header.Get("T-Last"), &last)
			streamEvents(last+eventsBeforeCrash, 0)(w, r)
			w.(http.Flusher).Flush()
			gw.targets[i].crash()
			closeConnection(w, r)
		}
	}
	gw = newTestGateway(t, handlers...).waitReady()
	return gw
}

// crashed returns the number of targets that have crashed.
func (gw *testGateway) crashed() int {
	n := 0
	for _, target := range gw.targets {
		if target.crashed.Load() {
			n++
		}
	}
	return n
}

// recordCrashes records the ends of n targets under requests with crashingPart.
func (gw *testGateway) recordCrashes(n uint32) {
	gw.g.mu.Lock()
	defer gw.g.mu.Unlock()
	for target := range n {
		gw.g.quarantine.RecordCrash(gw.g.now(), target, []string{crashingPart}, true)
	}
	gw.g.applyEvidence()
}

// suspected returns the subjects under suspicion.
func (gw *testGateway) suspected() []string {
	var subjects []string
	for _, s := range gw.g.State().(State).Quarantine {
		subjects = append(subjects, s.Subject)
	}
	slices.Sort(subjects)
	return subjects
}

// getPrompt returns the lines of a request for a stream with the given parts of a prompt.
func getPrompt(id string, parts ...string) []string {
	lines := get("/stream/", "T-Prompt: "+strings.Join(append(parts, "own-"+id), " "))
	lines[2] = "T-Id: " + id
	return lines
}

// Guards against requests with one part in their prompts that crash one target after the
// other. No two of them are alike; requests without the part share their other parts.
func TestRequestsWithACrashingPartEndFewTargets(t *testing.T) {
	const maxCrashed = 5
	gw := newCrashingGateway(t, 12, 0, 0)
	for i := range 4 {
		status, _, _, _ := gw.do(getPrompt(fmt.Sprint("s", i), "route", fmt.Sprint("doc", i))...)
		assert.Equal(t, status, 200)
	}
	for i := range 12 {
		gw.do(getPrompt(fmt.Sprint("c", i), "route", fmt.Sprint("doc", i%4), crashingPart)...)
		status, _, _, _ := gw.do(getPrompt(fmt.Sprint("t", i), "route", fmt.Sprint("doc", i%4))...)
		assert.Check(t, status == 200, "sound request %d got status %d", i, status)
	}
	assert.Assert(t, gw.crashed() <= maxCrashed, "%d targets crashed", gw.crashed())
}

// Guards against a first event that counts as an answer although the target crashes right after
// it: streams with the part went on at one target after the other.
func TestStreamsThatCrashAfterTheirFirstEventEndFewTargets(t *testing.T) {
	const maxCrashed = 5
	gw := newCrashingGateway(t, 12, 0, 1)
	gw.do(getPrompt("first", "route")...)
	for i := range 12 {
		gw.do(getPrompt(fmt.Sprint("c", i), "route", crashingPart)...)
		status, _, _, whole := gw.do(getPrompt(fmt.Sprint("s", i), "route")...)
		assert.Check(t, status == 200 && whole, "sound request %d got status %d", i, status)
	}
	assert.Assert(t, gw.crashed() <= maxCrashed, "%d targets crashed", gw.crashed())
}

// Guards against an answer without a length that seems to be complete although its target
// crashed: its end is that of the connection.
func TestCrashesAfterAnswersWithoutALengthEndFewTargets(t *testing.T) {
	const maxCrashed = 5
	for path, body := range map[string]string{"/stream/": eventsUpTo(1), "/safe/": "bod"} {
		var gw *testGateway
		handlers := make([]http.HandlerFunc, 12)
		for i := range handlers {
			handlers[i] = func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nT-Sign: signed\r\n\r\n"+body)
				gw.targets[i].crash()
				_ = c.Close()
			}
		}
		gw = newTestGateway(t, handlers...).waitReady()
		for i := range 12 {
			lines := getPrompt(fmt.Sprint("c", i), "route", crashingPart)
			lines[0] = "GET " + path + " HTTP/1.1"
			gw.do(lines...)
		}
		assert.Check(t, gw.crashed() <= maxCrashed, "%s: %d targets crashed", path, gw.crashed())
	}
}

// Guards against evidence that is lost because the caller has left by the time at which the
// gateway looks at the target.
func TestTargetEndIsRecordedAfterTheCallerHasLeft(t *testing.T) {
	gw := newTestGateway(t, streamEvents(3, 0)).waitReady()
	gw.targets[0].crash()
	ctx, leave := context.WithCancel(context.Background())
	leave()
	x := &exchange{ctx: ctx, req: &http1.Request{}, sharedParts: []string{crashingPart}}
	a := &attempt{
		g: gw.g, x: x,
		target: placement.Target{ID: "t0", Address: gw.targets[0].server.Listener.Addr().String()},
	}
	assert.Assert(t, a.recordEnd())
	assert.DeepEqual(t, gw.suspected(), []string{crashingPart, x.fingerprint()})
}

// Guards against a popular part that stays refused because many targets with such requests ended
// together: its requests are served again once stabilityWindow has passed.
func TestServiceGoesOnAfterManyTargetsEndTogether(t *testing.T) {
	const stabilityWindow = 3 * time.Second
	held := make(chan struct{})
	answer := streamEvents(3, 0)
	handlers := make([]http.HandlerFunc, 12)
	for i := range handlers {
		handlers[i] = func(w http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.Header.Get("T-Prompt"), "held") {
				<-held
				closeConnection(w, r)
				return
			}
			answer(w, r)
		}
	}
	gw := newTestGateway(t, handlers...).waitReady()
	gw.do(getPrompt("first", "route")...)
	callers := make(chan struct{})
	for i := range 24 {
		c := gw.send(getPrompt(fmt.Sprint("held", i), "route", fmt.Sprint("held", i))...)
		go func() {
			_, _ = c.Read(make([]byte, 1))
			callers <- struct{}{}
		}()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n := 0
		for _, target := range gw.targets {
			n += len(target.requests())
		}
		if n < 1+24 {
			return poll.Continue("%d requests at targets", n)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	for _, target := range gw.targets[:8] {
		target.crash()
	}
	close(held)
	for range 24 {
		<-callers
	}
	_, quarantined := gw.logs.find("outcome=quarantined", "subject=route")
	assert.Assert(t, quarantined, "the ends do not speak against the part")
	time.Sleep(stabilityWindow)
	served := 0
	for i := range 10 {
		if status, _, _, _ := gw.do(getPrompt(fmt.Sprint("after", i), "route")...); status == http.StatusOK {
			served++
		}
	}
	assert.Assert(t, served >= 5, "%d of 10 requests are served", served)
}

// Guards against a part that stays held back because the request that was let through reached
// no target.
func TestTrialThatReachedNoTargetIsRepeated(t *testing.T) {
	gw := newTestGateway(t, streamEvents(3, 0)).waitReady()
	gw.recordCrashes(1)
	time.Sleep(1600 * time.Millisecond) // until a request is let through
	gw.targets[0].crash()
	gw.do(getPrompt("a", crashingPart)...)
	gw.g.mu.Lock()
	defer gw.g.mu.Unlock()
	verdict, _ := gw.g.quarantine.Admit(gw.g.now(), []string{crashingPart})
	assert.Equal(t, verdict, quarantine.Trial)
}

// Guards against a stream that goes on at another target after a part of its prompt has been
// quarantined.
func TestStreamWithAQuarantinedPartIsNotResumed(t *testing.T) {
	quarantined := make(chan struct{})
	breakStream := func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1, 0)(w, r)
		<-quarantined
		closeConnection(w, r)
	}
	gw := newTestGateway(t, breakStream, breakStream).waitReady()
	c := bufio.NewReader(gw.send(getPrompt("a", crashingPart)...))
	for line := ""; line != "data: x\n"; {
		var err error
		line, err = c.ReadString('\n')
		assert.NilError(t, err)
	}
	gw.recordCrashes(4)
	close(quarantined)
	_, err := io.Copy(io.Discard, c)
	assert.NilError(t, err)
	assert.Equal(t, len(gw.targets[0].requests())+len(gw.targets[1].requests()), 1)
}

// Guards against requests that reach targets all at once: many callers send requests with
// the part at the same time, before any of them has failed.
func TestSimultaneousRequestsWithACrashingPartEndFewTargets(t *testing.T) {
	const maxCrashed = 5
	gw := newCrashingGateway(t, 12, 30*time.Millisecond, 0)
	done := make(chan struct{})
	for i := range 24 {
		go func() {
			c := gw.send(getPrompt(fmt.Sprint("c", i), "route", crashingPart)...)
			_, _ = c.Read(make([]byte, 1)) // any answer, or the end of the connection
			done <- struct{}{}
		}()
		time.Sleep(10 * time.Millisecond)
	}
	for range 24 {
		<-done
	}
	assert.Assert(t, gw.crashed() <= maxCrashed, "%d targets crashed", gw.crashed())
}

// Guards against requests that hide a quarantined part in a list that can't be decoded whole,
// or that is spread over several fields. The target decodes what it can.
func TestQuarantinedPartCanNotBeHidden(t *testing.T) {
	gw := newTestGateway(t, streamEvents(3, 0)).waitReady()
	gw.recordCrashes(2)
	for name, lines := range map[string][]string{
		"undecodable entry before": getPrompt("a", "?", crashingPart),
		"undecodable last entry":   append(get("/stream/"), "T-Prompt: route "+crashingPart+" ?"),
		"second field":             append(get("/stream/"), "T-Prompt: route", "T-Prompt: "+crashingPart+" own"),
	} {
		status, _, _, _ := gw.do(lines...)
		assert.Check(t, status == http.StatusServiceUnavailable, "%s: status %d", name, status)
	}
	assert.Equal(t, len(gw.targets[0].requests()), 0)
}

// Guards against an error of a target that counts as an answer and ends a suspicion: a target
// that fails a request has not begun to answer its prompt.
func TestErrorAnswerDoesNotEndASuspicion(t *testing.T) {
	gw := newTestGateway(t, respond(500, "failed")).waitReady()
	gw.recordCrashes(1)
	time.Sleep(1600 * time.Millisecond) // until a request is let through
	gw.do(getPrompt("a", crashingPart)...)
	assert.Equal(t, len(gw.targets[0].requests()), 1)
	assert.DeepEqual(t, gw.suspected(), []string{crashingPart})
}

// Guards against a target's count that stays too high: a request that is quarantined after its target
// was chosen is not sent there.
func TestQuarantinedRequestDoesNotCountAtItsTarget(t *testing.T) {
	gw := newTestGateway(t, streamEvents(3, 0)).waitReady()
	gw.recordCrashes(2)
	x := &exchange{
		ctx: context.Background(), req: &http1.Request{}, deadline: time.Now().Add(time.Second),
		route: &fleet.Route{MaxAttempts: 1}, service: "s", sharedParts: []string{crashingPart},
	}
	err := gw.g.dispatch(x)
	assert.Assert(t, err != nil && err.Kind == apierr.KindQuarantined, err)
	gw.g.mu.Lock()
	defer gw.g.mu.Unlock()
	inFlight, _, _, _ := gw.g.balancer.TargetStatus(gw.g.now(), "t0")
	assert.Equal(t, inFlight, 0)
}

// Guards against evidence that is lost because the first check of a target that has ended gets no
// answer in time, on a lossy link or a busy instance.
func TestTargetEndIsFoundByASecondCheck(t *testing.T) {
	gw := newTestGateway(t, respond(200, "ok")).waitReady()
	addr, unblock := listenWithoutAccepting(t)
	x := &exchange{ctx: context.Background(), req: &http1.Request{}}
	a := &attempt{g: gw.g, x: x, target: placement.Target{ID: "t0", Address: addr}}
	assert.Assert(t, !a.recordEnd())
	assert.Equal(t, len(gw.suspected()), 0)
	unblock()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(gw.suspected()) == 0 {
			return poll.Continue("no suspicion")
		}
		return poll.Success()
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(2*time.Second))
	assert.DeepEqual(t, gw.suspected(), []string{x.fingerprint()})
}

// listenWithoutAccepting returns an address at which connections get no answer until unblock is
// called, and are refused then: the queue of its listener is full.
func listenWithoutAccepting(t *testing.T) (addr string, unblock func()) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	raw, err := ln.(*net.TCPListener).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }))
	assert.NilError(t, err)
	var queued []net.Conn
	for {
		c, err := net.DialTimeout("tcp4", ln.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		queued = append(queued, c)
	}
	return ln.Addr().String(), func() {
		_ = ln.Close()
		for _, c := range queued {
			_ = c.Close()
		}
	}
}
