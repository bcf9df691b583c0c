//go:build soak

package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/gentiantrail/gentiantrail/platform/platformtest"
)

const (
	// routeTimeout is the timeout of all routes, and the time that callers state.
	routeTimeout = 4 * time.Second
	// timeoutSlack is the difference of a request's age at its caller and at its gateway.
	timeoutSlack = 100 * time.Millisecond
	// unreadTime is the time before a connection's close in which the gateway may not have read a request yet.
	unreadTime = 200 * time.Millisecond
	// lateRequestTime is how long after a SIGTERM a gateway still takes requests that it may be unable to
	// complete: those at which a target is at work in the last sixth of the stop timeout.
	lateRequestTime = 3 * time.Second
	lastPart        = stopTimeout - stopTimeout/6
	// stopWindow is the time after a SIGTERM in which a request counts as lost around a stop.
	stopWindow = stopTimeout + time.Second
)

// span is a time in which something was disturbed; it has not ended if until is zero.
type span struct{ from, until time.Time }

func (s span) overlaps(from, until time.Time) bool {
	return !s.from.After(until) && (s.until.IsZero() || !s.until.Before(from))
}

// call is a request that its caller has begun to send, until its whole answer has been read.
type call struct {
	attempt, path string
	gateway       *gatewayProcess
	// ahead is the request ahead of this one that was unanswered on its connection when this one was sent.
	ahead *call
	// sent is when the last byte was sent, and ended when the connection failed; both may be zero.
	sent, ended time.Time
	// status is zero if no head of an answer was read.
	status int
	body   string
	runs   []platformtest.Run
}

func (k *call) String() string {
	var runs []string
	for _, r := range k.runs {
		runs = append(runs, fmt.Sprintf("%s %s to %s", r.Target, r.At.Format("05.000"), r.Ended.Format("05.000")))
	}
	return fmt.Sprintf("%s %s at %s, sent %s, status %d, %d events, closed after %.3f s; runs: [%s]", k.attempt, k.path, k.gateway.name,
		k.sent.Format("05.000"), k.status, strings.Count(k.body, "\n\n"), k.ended.Sub(k.sent).Seconds(), strings.Join(runs, ", "))
}

// beginCall records a request before it is sent.
func (c *checker) beginCall(k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[k.attempt] = true
	c.calls[k.attempt] = k
}

// sentCall records that the last byte of a request has been sent.
func (c *checker) sentCall(k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.sent = time.Now()
}

// endCall records that a caller has a whole answer to a request, or that its connection has failed.
func (c *checker) endCall(k *call, status int, body string, whole bool) {
	c.testbed.mu.Lock()
	k.ended = time.Now()
	inStop := k.gateway.sinceSignal(k.ended) >= 0
	c.testbed.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	k.status, k.body = status, body
	if whole {
		delete(c.calls, k.attempt)
	}
	c.ends[inStop]++
}

// recordCallRun adds a run that begins to its request, or the end of one.
func (c *checker) recordCallRun(r platformtest.Run) {
	k := c.calls[r.Attempt]
	if k == nil {
		return
	}
	if i := slices.IndexFunc(k.runs, func(o platformtest.Run) bool { return o.At.Equal(r.At) && o.Target == r.Target }); i >= 0 {
		k.runs[i] = r
		return
	}
	k.runs = append(k.runs, r)
}

// sinceSignal returns the time from the last SIGTERM to the gateway in whose window a time is, or -1.
func (g *gatewayProcess) sinceSignal(at time.Time) time.Duration {
	since := time.Duration(-1)
	for _, s := range g.sigterms {
		if d := at.Sub(s); d >= 0 && d <= stopWindow {
			since = d
		}
	}
	return since
}

// checkAnswers checks the requests without a whole answer once all callers have ended. It returns those that
// a target ran, and those that a gateway had read around a stop and did not pass on, unless the record of
// faults excuses them.
func (tb *testbed) checkAnswers() (lost, unanswered []string) {
	c := tb.checker
	tb.mu.Lock()
	defer tb.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	excuses, lostInStops := map[string]int{}, 0
	for _, k := range slices.SortedFunc(maps.Values(c.calls), func(a, b *call) int { return a.ended.Compare(b.ended) }) {
		since := k.gateway.sinceSignal(k.ended)
		excuse := tb.excuse(k, since >= 0)
		switch line := fmt.Sprintf("%s %s; %s", k.ended.Format("05.000"), k, stopText(since)); {
		case excuse != "":
			excuses[excuse]++
		case len(k.runs) == 0:
			unanswered = append(unanswered, line)
		default:
			lost = append(lost, line)
			if since >= 0 {
				lostInStops++
			}
		}
	}
	tb.t.Logf("around stops: %d requests, %d lost, %d unanswered; at other times: %d requests, %d lost; excused: %v",
		c.ends[true], lostInStops, len(unanswered), c.ends[false], len(lost)-lostInStops, excuses)
	return lost, unanswered
}

func stopText(since time.Duration) string {
	if since < 0 {
		return "no stop"
	}
	return fmt.Sprintf("closed %.3f s after a SIGTERM", since.Seconds())
}

// excuse returns why a request needs no whole answer, or "" if it does.
func (tb *testbed) excuse(k *call, inStop bool) string {
	disturbed := func(name string, from time.Time) bool {
		return slices.ContainsFunc(tb.disturbed[name], func(s span) bool { return s.overlaps(from, k.ended) })
	}
	passedOn := len(k.runs) > 0
	switch {
	case !passedOn && (k.sent.IsZero() || k.ended.Sub(k.sent) <= unreadTime):
		return "unread"
	case !passedOn && !inStop:
		return "no run and no stop"
	case k.ended.Sub(k.sent) >= routeTimeout-timeoutSlack:
		return "timeout"
	case disturbed(k.gateway.name, k.sent):
		return "gateway killed or frozen"
	case slices.ContainsFunc(k.runs, func(r platformtest.Run) bool { return r.BreaksOff }):
		return "target broke off"
	case slices.ContainsFunc(k.runs, func(r platformtest.Run) bool { return disturbed(targetName(r.Target), r.At) }):
		return "target disturbed"
	case slices.ContainsFunc(k.gateway.sigterms, k.lateAtWork):
		return "at work at the end of the stop"
	case k.ahead != nil && !k.ahead.ended.IsZero() && tb.checker.calls[k.ahead.attempt] != nil:
		return tb.excuse(k.ahead, inStop)
	}
	return ""
}

// lateAtWork reports whether the request was sent no later than lateRequestTime after a SIGTERM, and a
// target was still at work on it in the last sixth of the stop timeout.
func (k *call) lateAtWork(sigterm time.Time) bool {
	last := span{from: sigterm.Add(lastPart), until: sigterm.Add(stopWindow)}
	return !k.sent.After(sigterm.Add(lateRequestTime)) && last.overlaps(k.ended, k.ended) &&
		slices.ContainsFunc(k.runs, func(r platformtest.Run) bool { return r.Ended.IsZero() || !r.Ended.Before(last.from) })
}

// targetName returns the name under which faults of a target are recorded, which all its ids have in common.
func targetName(id string) string { return id[:strings.LastIndex(id, "-")] }

// disturb records a fault of a gateway, or of a target or its proxy, that starts now and lasts for a time.
func (tb *testbed) disturb(name string, duration time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.disturbed[name] = append(tb.disturbed[name], span{from: time.Now(), until: time.Now().Add(duration)})
}

// recordSignal records a signal to a running process: its first SIGTERM, or the begin or end of a fault.
// The caller holds tb.mu.
func (tb *testbed) recordSignal(g *gatewayProcess, s syscall.Signal, at time.Time) {
	switch s {
	case syscall.SIGTERM:
		if !g.stopping {
			g.sigterms = append(g.sigterms, at)
		}
		g.stopping = true
	case syscall.SIGKILL, syscall.SIGSTOP:
		tb.disturbed[g.name] = append(tb.disturbed[g.name], span{from: at})
	case syscall.SIGCONT:
		tb.endDisturbances(g)
	}
}

// endDisturbances records that a gateway's process goes on after SIGSTOP, or that a new one has started.
// The caller holds tb.mu.
func (tb *testbed) endDisturbances(g *gatewayProcess) {
	for i := range tb.disturbed[g.name] {
		if s := &tb.disturbed[g.name][i]; s.until.IsZero() {
			s.until = time.Now()
		}
	}
}
