package capacity

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/testaddr"
)

const (
	// ticksPerSecond is the number of clock ticks per second, the unit of the processor
	// times in /proc/PID/stat.
	ticksPerSecond = 100
	waitTimeout    = 20 * time.Second
)

// daemon is the process under measurement.
type daemon struct {
	t         *testing.T
	cmd       *exec.Cmd
	adminAddr string
}

// startDaemon starts a program with settings and waits until it reports that it is ready.
func startDaemon(t *testing.T, program, settings string) *daemon {
	t.Helper()
	admin := freeAddr(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := settings + "admin_address: " + admin + "\nlink_key: " + linkKey + "\n"
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	logs := &bytes.Buffer{}
	cmd := exec.Command(filepath.Join(*binDir, program), "--settings", path)
	cmd.Stderr = logs
	assert.NilError(t, cmd.Start())
	d := &daemon{t: t, cmd: cmd, adminAddr: admin}
	t.Cleanup(func() {
		d.kill()
		if t.Failed() {
			t.Log(logs.String()[max(0, logs.Len()-500):])
		}
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + admin + "/readyz")
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	return d
}

// kill sends SIGKILL and waits for the exit. Calling it again does nothing.
func (d *daemon) kill() {
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	_ = d.cmd.Wait()
}

// cpuTime returns the user and system processor time that the daemon has used.
func (d *daemon) cpuTime() time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
	assert.NilError(d.t, err)
	// utime and stime are the 12th and 13th fields after the command's name.
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	assert.NilError(d.t, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(d.t, err)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// memoryMB returns the daemon's resident memory in MB.
func (d *daemon) memoryMB() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	assert.NilError(d.t, err)
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			assert.NilError(d.t, err)
			return float64(kb) * 1024 / 1e6
		}
	}
	d.t.Fatal("no VmRSS line in /proc/PID/status")
	return 0
}

// freeAddr returns an address that nothing listens on. It returns each address only once.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := testaddr.Free()
	assert.NilError(t, err)
	return addr
}

// maxMemoryMB returns the peak resident memory of an exited process in MB, or 0 if unknown.
func maxMemoryMB(state *os.ProcessState) float64 {
	usage, ok := state.SysUsage().(*syscall.Rusage)
	if !ok {
		return 0
	}
	return float64(usage.Maxrss) * 1024 / 1e6
}
