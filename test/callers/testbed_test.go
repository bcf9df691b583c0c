//go:build callers

package callers

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/testaddr"
	"github.com/gentiantrail/gentiantrail/platform/platformtest"
)

// The bounds come from the settings of the gateway. They and the crowd stay as they are.
const (
	memoryMiB       = 64
	maxDescriptors  = 1024
	descriptorBound = 900
	bodyLimit       = 256 << 10
	crowd           = 192
	// abuseTime is how long callers go on; it is longer than the header timeout.
	abuseTime      = 4 * time.Second
	recoveryTime   = 15 * time.Second
	answerTimeout  = 5 * time.Second
	sampleInterval = 20 * time.Millisecond
)

// testbed contains the processes and stand-ins of one test.
type testbed struct {
	t                                *testing.T
	listenAddr, readyAddr, adminAddr string
	logPath                          string
	cmd                              *exec.Cmd
	exited                           chan struct{}
	mostDescriptors                  atomic.Int64
	store                            *platformtest.Store
	target                           *platformtest.Target
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	tb := &testbed{t: t, exited: make(chan struct{})}
	var err error
	tb.store, err = platformtest.NewStore()
	assert.NilError(t, err)
	t.Cleanup(tb.store.Close)
	tb.target, err = platformtest.NewTarget("i-0", "a", func(platformtest.Run) {})
	assert.NilError(t, err)
	t.Cleanup(tb.target.Close)
	tb.store.Put("servers", "i-0", map[string]any{
		"service": "desk", "address": tb.target.Addr(), "zone": "a", "version": "v1",
		"concurrencySlots": 2 * crowd, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
	})
	tb.configure()
	tb.start()
	return tb
}

// configure writes a configuration with one route and small bodies.
func (tb *testbed) configure() {
	tb.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "once", "host": "callers.example", "pathPrefix": "/once/", "kind": "non_idempotent", "service": "desk",
			"timeoutMs": 4000, "targetLatencyMs": 300, "targetGapMs": 200, "maxAttempts": 1,
		}},
		"services": []any{map[string]any{"name": "desk", "connectionLimit": 200}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": bodyLimit, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "org", "accessKeys": []string{"key-1"}}},
	})
}

// start starts the gateway with a limit of descriptors and waits until it is ready.
func (tb *testbed) start() {
	t := tb.t
	var addrs [4]string
	for i := range addrs {
		var err error
		addrs[i], err = testaddr.Free()
		assert.NilError(t, err)
	}
	tb.listenAddr, tb.readyAddr, tb.adminAddr = addrs[0], addrs[1], addrs[2]
	dir := t.TempDir()
	settings := filepath.Join(dir, "gw.yaml")
	text := fmt.Sprintf("name: gw\navailability_zone: a\nlisten: %s\nready_address: %s\nadmin_address: %s\npeer_address: %s\nstore_address: %s\nmemory: %d\n",
		addrs[0], addrs[1], addrs[2], addrs[3], tb.store.Addr(), memoryMiB)
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	tb.logPath = filepath.Join(dir, "gw.log")
	log, err := os.Create(tb.logPath)
	assert.NilError(t, err)
	defer func() { _ = log.Close() }()
	tb.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec ../../bin/gentiantrail-gateway --settings %s", maxDescriptors, settings))
	tb.cmd.Stdout, tb.cmd.Stderr = log, log
	assert.NilError(t, tb.cmd.Start())
	go func() {
		_ = tb.cmd.Wait()
		close(tb.exited)
	}()
	t.Cleanup(func() {
		_ = tb.cmd.Process.Kill()
		<-tb.exited
	})
	tb.waitFor("the gateway is ready", func() bool {
		resp, err := http.Get("http://" + tb.readyAddr + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	go tb.sampleDescriptors()
}

// waitFor waits for a condition; it fails the test if the process ends before.
func (tb *testbed) waitFor(condition string, done func() bool) {
	tb.t.Helper()
	for deadline := time.Now().Add(recoveryTime); time.Now().Before(deadline); time.Sleep(sampleInterval) {
		if done() {
			return
		}
		select {
		case <-tb.exited:
			tb.t.Fatalf("the process has ended: %v; end of its log:\n%s", tb.cmd.ProcessState, tb.logEnd())
		default:
		}
	}
	tb.t.Fatalf("not within %v: %s", recoveryTime, condition)
}

// logEnd returns the last lines of the gateway's log.
func (tb *testbed) logEnd() string {
	content, _ := os.ReadFile(tb.logPath)
	return string(content[max(0, len(content)-2000):])
}

// sampleDescriptors records the highest number of open descriptors until the process ends.
func (tb *testbed) sampleDescriptors() {
	for {
		select {
		case <-tb.exited:
			return
		case <-time.After(sampleInterval):
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", tb.cmd.Process.Pid))
		if n := int64(len(entries)); err == nil && n > tb.mostDescriptors.Load() {
			tb.mostDescriptors.Store(n)
		}
	}
}

// peakMemory returns the highest resident memory of the process so far, in KiB.
func (tb *testbed) peakMemory() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", tb.cmd.Process.Pid))
	assert.NilError(tb.t, err)
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kib, err := strconv.Atoi(fields[1])
			assert.NilError(tb.t, err)
			return kib
		}
	}
	tb.t.Fatal("the process has no VmHWM")
	return 0
}

// abuse runs callers at an address, each on a connection of its own that it doesn't read, and
// keeps the connections open until abuseTime has passed. Callers end on their first error.
func (tb *testbed) abuse(addr string, callers int, run func(c net.Conn)) {
	end := time.Now().Add(abuseTime)
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			c, err := net.DialTimeout("tcp4", addr, abuseTime)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			_ = c.SetDeadline(end)
			run(c)
			time.Sleep(time.Until(end))
		})
	}
	all.Wait()
}

// check asserts that the process has kept to its bounds and still serves.
func (tb *testbed) check() {
	tb.t.Helper()
	tb.waitFor("an ordinary request is answered", func() bool { return tb.get() == http.StatusOK })
	peak, descriptors := tb.peakMemory(), tb.mostDescriptors.Load()
	tb.t.Logf("peak of resident memory %.1f MiB, of descriptors %d", float64(peak)/1024, descriptors)
	assert.Check(tb.t, peak < memoryMiB<<10, "resident memory %.1f MiB, allowed %d", float64(peak)/1024, memoryMiB)
	assert.Check(tb.t, descriptors < descriptorBound, "%d descriptors, allowed %d", descriptors, descriptorBound)
}

// get sends an ordinary request and returns its status, or 0 if it was not answered.
func (tb *testbed) get() int {
	c, err := net.DialTimeout("tcp4", tb.listenAddr, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(c, "GET /once/x HTTP/1.1\r\n%s\r\n", knownFields); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}
