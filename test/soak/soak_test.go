//go:build soak

package soak

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/platform"
	"github.com/gentiantrail/gentiantrail/platform/platformtest"
)

var (
	firstSeed     = flag.Uint64("first", 1, "the first seed")
	lastSeed      = flag.Uint64("last", 3, "the last seed")
	faultDuration = flag.Duration("length", 8*time.Second, "time during which faults strike, for each seed")
	stopDuration  = flag.Duration("stops", 10*time.Second, "time during which TestStops stops gateways in turn, for each seed")
	gatewayBinary = flag.String("gateway", "../../bin/gentiantrail-gateway", "the gateway's program")
	callerCount   = flag.Int("callers", 12, "callers of each seed")
)

const (
	// statedRate is the rate, in requests per second, that a target states after the faults, and
	// limitSpan the span in which its requests are counted.
	statedRate = 3.0
	limitSpan  = 4 * time.Second
	// recoveryTime is the time allowed for recovery after the last fault.
	recoveryTime = 9 * time.Second
	// answerTimeout is how long callers wait for a complete answer.
	answerTimeout = 5 * time.Second
)

// requestPaths are paths on the routes that all versions of the configuration have.
var requestPaths = []string{"/once/x", "/safe/x", "/stream/x"}

func TestSoak(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed <= *lastSeed; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed)
		})
	}
}

// runSeed injects the seed's faults under load. It requires that no violation occurs and
// that every gateway serves requests again afterwards.
func runSeed(t *testing.T, seed uint64) {
	tb := newTestbed(t, seed)
	tb.awaitReady()
	stopLoad := tb.startLoad()
	stop := make(chan struct{})
	var backups sync.WaitGroup
	backups.Add(1)
	go func() {
		defer backups.Done()
		tb.takeBackups(stop)
	}()
	tb.injectFaults(*faultDuration)
	tb.restoreAfterFaults()
	tb.crashAfterFaults()
	faultsEnded := time.Now()
	tb.targets[0].SetRate(statedRate)
	tb.leaveAfterReset()
	time.Sleep(time.Until(faultsEnded.Add(recoveryTime)))
	tb.checkStatedRate()
	close(stop)
	backups.Wait()
	stopLoad()
	tb.checkViolations()
	t.Run("service", tb.checkService)
}

// startLoad starts all callers and returns a function that ends them.
func (tb *testbed) startLoad() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	run := func(caller func()) {
		load.Add(1)
		go func() {
			defer load.Done()
			caller()
		}()
	}
	for i := range *callerCount {
		run(func() { tb.runCaller(ctx, i) })
	}
	for i, g := range tb.gateways {
		name := fmt.Sprint("key-1-gw-", i)
		run(func() { tb.runNewConns(ctx, g, name+"-new") })
		for j := range 2 {
			run(func() { tb.runSentAhead(ctx, g, fmt.Sprint(name, "-ahead-", j)) })
		}
	}
	run(func() { tb.probeConfig(ctx.Done()) })
	return func() {
		cancel()
		load.Wait()
	}
}

// checkViolations fails the test if there are violations, in one subtest for each kind.
func (tb *testbed) checkViolations() {
	lost, unanswered := tb.checkAnswers()
	tb.checker.mu.Lock()
	violations, answers := tb.checker.violations, tb.checker.answersByStatus
	tb.checker.mu.Unlock()
	tb.t.Logf("%d faults, answers %v", len(tb.faults), answers)
	tb.expectNone("rules", violations)
	tb.expectNone("lost", lost)
	tb.expectNone("unanswered", unanswered)
}

// expectNone fails a subtest if there are violations.
func (tb *testbed) expectNone(name string, violations []string) {
	tb.t.Run(name, func(t *testing.T) {
		assert.Assert(t, len(violations) == 0, "%d violations:\n%s", len(violations), strings.Join(violations, "\n"))
	})
}

// injectFaults starts one fault after the other for duration and waits for the end of all.
// Each fault ends after its own duration, so that faults overlap.
func (tb *testbed) injectFaults(duration time.Duration) {
	start := time.Now()
	var activeFaults sync.WaitGroup
	for time.Since(start) < duration {
		name, span, end := tb.injectFault()
		tb.faults = append(tb.faults, fmt.Sprintf("%s %.3f %s for %v", time.Now().Format("05.000"), time.Since(start).Seconds(), name, span))
		if end != nil {
			activeFaults.Add(1)
			time.AfterFunc(span, func() {
				defer activeFaults.Done()
				end()
			})
		}
		time.Sleep(time.Duration(100+tb.rng.IntN(500)) * time.Millisecond)
	}
	activeFaults.Wait()
}

// checkStatedRate checks the requests at the first target, which states its rate, and ends the
// statement.
func (tb *testbed) checkStatedRate() {
	arrivals := tb.targets[0].Arrivals()
	tb.targets[0].SetRate(-1)
	bound := int(1.5*statedRate*limitSpan.Seconds()) + 5
	tb.checker.mu.Lock()
	defer tb.checker.mu.Unlock()
	for id, times := range arrivals {
		if n := mostWithin(times, times[0].Add(settleTime), limitSpan); n > bound {
			tb.checker.addViolation("LIMIT: %d requests in %v at %s, which states %g a second; %d are allowed", n, limitSpan, id, statedRate, bound)
		}
	}
}

// mostWithin returns the highest number of times in any span after a time.
func mostWithin(times []time.Time, after time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first].Before(after) && first < i || at.Sub(times[first]) >= span {
			first++
		}
		if at.After(after) {
			most = max(most, i-first+1)
		}
	}
	return most
}

func (tb *testbed) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, g := range tb.gateways {
		for {
			resp, err := http.Get("http://" + g.readyAddr + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			assert.Assert(tb.t, time.Now().Before(deadline), "gateway %s is not ready within 20 s", g.name)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// checkService requires that every gateway answers at least 9 of 10 requests of each kind
// with status 200.
func (tb *testbed) checkService(t *testing.T) {
	for i, g := range tb.gateways {
		for _, path := range requestPaths {
			served := 0
			for n := range 10 {
				conn, err := net.DialTimeout("tcp4", g.listenAddr, time.Second)
				if err != nil {
					continue
				}
				status, _ := tb.sendRequest(conn, bufio.NewReader(conn), fmt.Sprintf("key-1-check-%d-%s-%d", i, path[1:], n), path, "key-1")
				_ = conn.Close()
				if status == 200 {
					served++
				}
			}
			assert.Assert(t, served >= 9, "%s served %d of 10 requests on %s after all faults, want at least 9", g.name, served, path)
		}
	}
}

// probeInterval is the interval of the requests that show which configuration is in force.
const probeInterval = 100 * time.Millisecond

// probeConfig sends requests on the route that only the current version of the configuration
// has, to each gateway in turn, until stop is closed.
func (tb *testbed) probeConfig(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(probeInterval):
		}
		g := tb.gateways[n%len(tb.gateways)]
		tb.mu.Lock()
		version, since := tb.configVersion, tb.configuredAt
		tb.mu.Unlock()
		if time.Since(since) <= propagationTime {
			continue
		}
		conn, err := net.DialTimeout("tcp4", g.listenAddr, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(answerTimeout))
		attempt := fmt.Sprintf("key-1-probe-%d", n)
		tb.checker.recordSent(attempt)
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: soak.example\r\n%s: %s\r\n%s: 4000\r\nAuthorization: Bearer key-1\r\n\r\n",
			platformtest.VersionPath(version), platform.Headers.Attempt, attempt, platform.Headers.Deadline)
		if err == nil {
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				tb.checker.recordProbe(g, version, since, resp.StatusCode)
			}
		}
		_ = conn.Close()
	}
}

// runCaller sends requests until ctx is done. It reuses its connection as long as it lasts,
// even to a gateway that is stopping.
func (tb *testbed) runCaller(ctx context.Context, caller int) {
	g := tb.gateways[caller%len(tb.gateways)]
	var conn net.Conn
	var br *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			c, err := net.DialTimeout("tcp4", g.listenAddr, time.Second)
			if err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			conn, br = c, bufio.NewReader(c)
		}
		key := fmt.Sprintf("key-%d", 1+caller%2)
		status, reusable := tb.sendRequest(conn, br, fmt.Sprintf("%s-%d-%d", key, caller, n), requestPaths[(caller+n)%len(requestPaths)], key, "route", fmt.Sprint("doc-", n%5))
		if !reusable {
			_ = conn.Close()
			conn = nil
		}
		if status != 200 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}
