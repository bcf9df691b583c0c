//go:build soak

package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/gentiantrail/gentiantrail/platform/platformtest"
)

// propagationTime is how long after an acknowledged change gateways may still act on the
// previous state.
const propagationTime = 2 * time.Second

// checker records the requests, runs and answers that callers and targets see, and collects
// violations of the guarantees of the gateway.
type checker struct {
	testbed *testbed

	mu   sync.Mutex
	runs map[string]int
	// refused is the set of attempts answered with a status that says they were not run.
	refused map[string]bool
	sent    map[string]bool
	// calls contains the requests without a whole answer so far.
	calls map[string]*call
	// ends counts the requests that have ended, by whether their gateway was in the window of a stop.
	ends            map[bool]int
	violations      []string
	answersByStatus map[int]int
}

func newChecker(tb *testbed) *checker {
	return &checker{testbed: tb, runs: map[string]int{}, refused: map[string]bool{}, sent: map[string]bool{}, calls: map[string]*call{}, ends: map[bool]int{}, answersByStatus: map[int]int{}}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// recordRun records the begin or end of a run at a target and checks that it was allowed. Runs in an evacuated
// zone, at a target that has left or with a revoked key are violations only while no fault
// may have delayed the change.
func (c *checker) recordRun(r platformtest.Run) {
	c.mu.Lock()
	c.recordCallRun(r)
	c.mu.Unlock()
	if !r.Ended.IsZero() {
		return
	}
	c.testbed.mu.Lock()
	now := time.Now()
	undisturbed := now.After(c.testbed.storeFaultUntil) && now.After(c.testbed.networkFaultUntil)
	for _, g := range c.testbed.gateways {
		undisturbed = undisturbed && now.After(g.faultUntil)
	}
	evacuated := !c.testbed.evacuatedAt.IsZero() && now.Sub(c.testbed.evacuatedAt) > propagationTime
	leftAt, left := c.testbed.leftAt[r.Target]
	left = left && now.Sub(leftAt) > propagationTime
	revoked := !c.testbed.revokedAt.IsZero() && now.Sub(c.testbed.revokedAt) > propagationTime
	c.testbed.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.Attempt]++
	once := strings.HasPrefix(r.Path, "/once/")
	switch {
	case !c.sent[r.Attempt]:
		c.addViolation("UNASKED: %s ran at %s but was never sent", r.Attempt, r.Target)
	case once && c.runs[r.Attempt] > 1:
		c.addViolation("TWICE: %s ran again at %s", r.Attempt, r.Target)
	case once && c.refused[r.Attempt]:
		c.addViolation("REFUSED: %s ran at %s after it was refused", r.Attempt, r.Target)
	case r.Organisation != "org" || r.HasKey:
		c.addViolation("TENANT: %s reached %s as organisation %q, with the caller's key: %t", r.Attempt, r.Target, r.Organisation, r.HasKey)
	case undisturbed && evacuated && r.Zone == "b":
		c.addViolation("EVACUATED: %s ran at %s in evacuated zone b", r.Attempt, r.Target)
	case undisturbed && left:
		c.addViolation("LEFT: %s ran at %s, %v after it had left", r.Attempt, r.Target, now.Sub(leftAt))
	case undisturbed && revoked && strings.HasPrefix(r.Attempt, "key-2"):
		c.addViolation("REVOKED: %s ran at %s with a revoked key", r.Attempt, r.Target)
	}
}

// recordProbe checks that a version of the configuration, which the store has had since a
// time, is in force at a gateway that no fault may have delayed: its own route is served.
func (c *checker) recordProbe(g *gatewayProcess, version int64, since time.Time, status int) {
	tb := c.testbed
	tb.mu.Lock()
	now := time.Now()
	undisturbed := now.After(tb.storeFaultUntil) && now.After(tb.networkFaultUntil) && now.After(g.faultUntil)
	superseded := tb.configVersion != version
	tb.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if status == 404 && undisturbed && !superseded {
		c.addViolation("CONFIG: %s does not know the route of version %d, %v after the store had it", g.name, version, now.Sub(since))
	}
}

// recordSent records an attempt before it is sent.
func (c *checker) recordSent(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[attempt] = true
}

// recordAnswer records and checks an answer. complete is true if the answer was read to its
// end without an error.
func (c *checker) recordAnswer(attempt, path string, status int, signature, body string, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answersByStatus[status]++
	stream := strings.HasPrefix(path, "/stream/")
	switch {
	case status == 200 && stream:
		c.checkStream(attempt, signature, body, complete)
	case status == 200 && complete && (body != platformtest.Body(attempt, path) || signature != platformtest.Sign(attempt, body)):
		c.addViolation("MIXED: %s got %d bytes with signature %q, which are not its answer", attempt, len(body), signature)
	case status == 429 || status == 503 || status == 408 || status == 421:
		c.refused[attempt] = true
		if strings.HasPrefix(path, "/once/") && c.runs[attempt] > 0 {
			c.addViolation("REFUSED: %s got status %d but had run", attempt, status)
		}
	case status == 404 || status == 400 || status == 403:
		c.addViolation("DENIED: %s got unexpected status %d", attempt, status)
	}
}

// checkStream requires the signature of the attempt and its events in order from 1: all of
// them if the stream is complete, otherwise a prefix.
func (c *checker) checkStream(attempt, signature, body string, complete bool) {
	var want strings.Builder
	for id := 1; id <= platformtest.StreamEvents; id++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", id, attempt)
	}
	switch {
	case signature != platformtest.Sign(attempt, ""):
		c.addViolation("MIXED: stream %s has signature %q", attempt, signature)
	case complete && body != want.String():
		c.addViolation("ORDER: stream %s was complete with wrong body %q", attempt, body)
	case !complete && !strings.HasPrefix(want.String(), body):
		c.addViolation("ORDER: stream %s was cut off with wrong body %q", attempt, body)
	}
}
