package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/daemon"
	"github.com/gentiantrail/gentiantrail/internal/testaddr"
	"github.com/gentiantrail/gentiantrail/platform"
	"github.com/gentiantrail/gentiantrail/platform/platformtest"
)

// asProgram is the environment variable that makes the test binary run as the gateway.
const asProgram = "GENTIANTRAIL_TEST_AS_GATEWAY"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a running gateway.
type process struct {
	t                       *testing.T
	cmd                     *exec.Cmd
	settingsPath, readyAddr string
	logPath                 string
	settingsText            string
	addr                    string
	store                   *platformtest.Store
}

// start runs a gateway with a store that contains a configuration and waits until the
// gateway is ready.
func start(t *testing.T) *process {
	t.Helper()
	return startWith(t, "")
}

// startWith is like start with more settings.
func startWith(t *testing.T, settings string) *process {
	t.Helper()
	return startWithOutput(t, settings, nil)
}

// startWithOutput is like startWith with a file for the log, or nil for one of its own.
func startWithOutput(t *testing.T, settings string, log *os.File) *process {
	t.Helper()
	store, err := platformtest.NewStore()
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	store.PutConfig(1, []string{"key"})
	var addrs []any
	for range 4 {
		addr, err := testaddr.Free()
		assert.NilError(t, err)
		addrs = append(addrs, addr)
	}
	dir := t.TempDir()
	p := &process{
		t: t, settingsPath: filepath.Join(dir, "settings.yaml"), logPath: filepath.Join(dir, "log"), readyAddr: addrs[1].(string),
		addr: addrs[0].(string), store: store,
		settingsText: fmt.Sprintf("name: gw\navailability_zone: a\nlisten: %s\nready_address: %s\nadmin_address: %s\npeer_address: %s\n", addrs...) +
			"store_address: " + store.Addr() + "\nmemory: 256\n" + settings,
	}
	p.writeSettings(p.settingsText)
	if log == nil {
		log, err = os.Create(p.logPath)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = log.Close() })
	}
	p.cmd = exec.Command(os.Args[0], "--settings", p.settingsPath)
	p.cmd.Env = append(os.Environ(), asProgram+"=1")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	assert.NilError(t, p.cmd.Start())
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	p.waitFor("ready", p.isReady)
	return p
}

func (p *process) writeSettings(text string) {
	p.t.Helper()
	assert.NilError(p.t, os.WriteFile(p.settingsPath, []byte(text), 0o600))
}

func (p *process) isReady() bool {
	resp, err := http.Get("http://" + p.readyAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// countLines returns the number of the event's lines in the log.
func (p *process) countLines(event string) int {
	content, err := os.ReadFile(p.logPath)
	assert.NilError(p.t, err)
	return len(regexp.MustCompile("event="+event+`\s`).FindAll(content, -1))
}

func (p *process) waitFor(condition string, done func() bool) {
	p.t.Helper()
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", condition)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// expectReload sends SIGHUP to the process and waits for one more line of the event.
func (p *process) expectReload(event, settingsName string) {
	p.t.Helper()
	before := p.countLines(event)
	assert.NilError(p.t, p.cmd.Process.Signal(syscall.SIGHUP))
	p.waitFor(event+" after "+settingsName, func() bool { return p.countLines(event) > before })
}

// TestInvalidSettingsLeaveTheOldOnesInForce overwrites the settings of a running gateway
// with files that must be rejected, then with a valid one.
func TestInvalidSettingsLeaveTheOldOnesInForce(t *testing.T) {
	p := start(t)
	for name, text := range map[string]string{
		"empty":          "",
		"no YAML":        "listen: [",
		"binary":         "\x00\xff\xfe" + strings.Repeat("\x01", 1<<20),
		"unknown field":  p.settingsText + "surprise: 1\n",
		"out of range":   strings.Replace(p.settingsText, "memory: 256", "memory: -1", 1),
		"not a number":   p.settingsText + "limits:\n  retry_ratio: .nan\n",
		"endless anchor": p.settingsText + "limits: &a\n  retry_ratio: *a\n",
	} {
		p.writeSettings(text)
		p.expectReload("settings-refused", name)
		assert.Assert(t, p.isReady(), name)
	}
	p.writeSettings(p.settingsText + "limits:\n  retry_ratio: 0.3\n")
	p.expectReload("reloaded", "good")
	assert.Assert(t, p.isReady())
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, p.cmd.Wait())
	assert.Equal(t, p.countLines("stopped"), 1)
}

// TestStopThatLeavesARequestUnfinishedExitsWithItsCode guards against a stop that counts as graceful although a
// request was cut off at its end.
func TestStopThatLeavesARequestUnfinishedExitsWithItsCode(t *testing.T) {
	p := startWith(t, "limits:\n  stop_timeout: 2s\n") // less than the timeout of the route
	silent, err := net.Listen("tcp4", "127.0.0.1:0")   // a target that accepts connections and never answers
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	target, err := platformtest.NewTarget("i-1", "a", func(platformtest.Run) {})
	assert.NilError(t, err)
	defer target.Close()
	p.store.PutTarget(target, "desk", silent.Addr().String())
	request := "GET /once/x HTTP/1.1\r\nHost: soak.example\r\n" + platform.Headers.Attempt + ": a1\r\nAuthorization: Bearer key\r\n\r\n"
	p.waitFor("a request is at the target", func() bool {
		c, err := net.Dial("tcp4", p.addr)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, request)
		assert.NilError(t, err)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
		_, err = c.Read(make([]byte, 1))
		return errors.Is(err, os.ErrDeadlineExceeded) // others are refused at once
	})
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	var exit *exec.ExitError
	assert.Assert(t, errors.As(p.cmd.Wait(), &exit))
	assert.Equal(t, exit.ExitCode(), daemon.ExitForced)
	assert.Equal(t, p.countLines("unfinished"), 1)
	log, err := os.ReadFile(p.logPath)
	assert.NilError(t, err)
	assert.Check(t, !strings.Contains(string(log), "kind=cancelled"), "a request that the stop has cut off is logged as left by its caller")
}

// unreadLog returns the two ends of a pipe that takes no more bytes.
func unreadLog(t *testing.T) (out, log *os.File) {
	t.Helper()
	out, log, err := os.Pipe()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = out.Close(), log.Close() })
	assert.NilError(t, log.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = log.Write(make([]byte, 1<<20))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	return out, log
}

// TestProcessEndsAlthoughNobodyReadsItsLog guards against a stopped process that waits for a reader of its log until
// it is killed.
func TestProcessEndsAlthoughNobodyReadsItsLog(t *testing.T) {
	_, log := unreadLog(t)
	p := startWithOutput(t, "", log)
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("the process runs 20 s after the signal")
	}
}

// TestListenerIsClosedBeforeTheProcessEnds guards against callers who connect to a process that only waits for its
// log to be read or for its own end, and get no answer when it is gone.
func TestListenerIsClosedBeforeTheProcessEnds(t *testing.T) {
	out, log := unreadLog(t)
	p := startWithOutput(t, "", log)
	assert.NilError(t, log.Close())
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	p.waitFor("the listener is closed", func() bool {
		c, err := net.Dial("tcp4", p.addr)
		if err != nil {
			return true
		}
		_ = c.Close()
		return false
	})
	// The pipe was full until now: only a process that runs without its listener can still write its last line.
	content, err := io.ReadAll(out)
	assert.NilError(t, err)
	assert.Check(t, bytes.Contains(content, []byte("event=stopped ")), "the listener was open until the end of the process")
	assert.NilError(t, p.cmd.Wait())
}
