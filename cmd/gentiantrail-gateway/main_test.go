package main

import (
	"fmt"
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

	"github.com/gentiantrail/gentiantrail/internal/testaddr"
	"github.com/gentiantrail/gentiantrail/platform/platformtest"
)

// asProgram is the variable that has the test binary run as the program.
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
	t               *testing.T
	cmd             *exec.Cmd
	settings, ready string
	logPath         string
	text            string
}

// start runs a gateway on a store with a configuration and waits until it is ready.
func start(t *testing.T) *process {
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
		t: t, settings: filepath.Join(dir, "settings.yaml"), logPath: filepath.Join(dir, "log"), ready: addrs[1].(string),
		text: fmt.Sprintf("name: gw\navailability_zone: a\nlisten: %s\nready_address: %s\nadmin_address: %s\npeer_address: %s\n", addrs...) +
			"store_address: " + store.Addr() + "\nmemory: 256\n",
	}
	p.write(p.text)
	log, err := os.Create(p.logPath)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	p.cmd = exec.Command(os.Args[0], "--settings", p.settings)
	p.cmd.Env = append(os.Environ(), asProgram+"=1")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	assert.NilError(t, p.cmd.Start())
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	p.waitFor("ready", p.isReady)
	return p
}

func (p *process) write(text string) {
	p.t.Helper()
	assert.NilError(p.t, os.WriteFile(p.settings, []byte(text), 0o600))
}

func (p *process) isReady() bool {
	resp, err := http.Get("http://" + p.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// lines counts the lines of an event in the log.
func (p *process) lines(event string) int {
	content, err := os.ReadFile(p.logPath)
	assert.NilError(p.t, err)
	return len(regexp.MustCompile("event="+event+`\s`).FindAll(content, -1))
}

func (p *process) waitFor(what string, done func() bool) {
	p.t.Helper()
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// reload signals the process and waits for one more line of the event.
func (p *process) reload(event, file string) {
	p.t.Helper()
	before := p.lines(event)
	assert.NilError(p.t, p.cmd.Process.Signal(syscall.SIGHUP))
	p.waitFor(event+" after "+file, func() bool { return p.lines(event) > before })
}

// TestHostileSettingsLeaveTheOldOnesInForce overwrites the settings of a running gateway
// with files that must be refused, then with a good one.
func TestHostileSettingsLeaveTheOldOnesInForce(t *testing.T) {
	p := start(t)
	for name, text := range map[string]string{
		"empty":          "",
		"no YAML":        "listen: [",
		"binary":         "\x00\xff\xfe" + strings.Repeat("\x01", 1<<20),
		"unknown field":  p.text + "surprise: 1\n",
		"out of range":   strings.Replace(p.text, "memory: 256", "memory: -1", 1),
		"not a number":   p.text + "limits:\n  retry_ratio: .nan\n",
		"endless anchor": p.text + "limits: &a\n  retry_ratio: *a\n",
	} {
		p.write(text)
		p.reload("settings-refused", name)
		assert.Assert(t, p.isReady(), name)
	}
	p.write(p.text + "limits:\n  retry_ratio: 0.3\n")
	p.reload("reloaded", "good")
	assert.Assert(t, p.isReady())
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, p.cmd.Wait())
	assert.Equal(t, p.lines("stopped"), 1)
}
