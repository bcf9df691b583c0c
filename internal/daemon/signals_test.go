package daemon

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// asProgram is the environment variable that makes the test binary run as a daemon.
const asProgram = "GENTIANTRAIL_TEST_AS_DAEMON"

func TestMain(m *testing.M) {
	switch os.Getenv(asProgram) {
	case "reload":
		Main(loadDuring(syscall.SIGHUP), awaitReload)
	case "stop":
		Main(loadDuring(syscall.SIGTERM), awaitStop)
	case "fail":
		Exit(ErrStopTimeout)
	default:
		os.Exit(m.Run())
	}
}

// loadDuring returns a loader of settings that gets the signal while it runs.
func loadDuring(s syscall.Signal) func(string) (struct{}, error) {
	return func(string) (struct{}, error) {
		err := syscall.Kill(os.Getpid(), s)
		time.Sleep(50 * time.Millisecond) // an unhandled signal ends the process by then
		return struct{}{}, err
	}
}

// awaitReload returns once the settings have been reloaded; it fails if they are not.
func awaitReload(path string, _ struct{}) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reloads := 0
	WatchSettings(ctx, path, &log.Logger{Writer: &log.IOWriter{Writer: os.Stderr}}, func() error {
		reloads++
		cancel()
		return nil
	})
	if reloads == 0 {
		return context.DeadlineExceeded
	}
	return nil
}

// awaitStop returns once the process is asked to stop; it fails if it is not.
func awaitStop(string, struct{}) error {
	select {
	case <-StopSignals():
		return nil
	case <-time.After(5 * time.Second):
		return context.DeadlineExceeded
	}
}

// runAs runs the test binary as a daemon and requires that it exits with code 0.
func runAs(t *testing.T, mode string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "--settings", "settings.yaml")
	cmd.Env = append(os.Environ(), asProgram+"="+mode)
	out, err := cmd.CombinedOutput()
	assert.NilError(t, err, "%s", out)
}

// Guards against a process that ends because a reload is requested while it starts.
func TestReloadSignalDuringStartReloads(t *testing.T) { runAs(t, "reload") }

// Guards against a process that is asked to stop while it starts and does not stop in order.
func TestStopSignalDuringStartStops(t *testing.T) { runAs(t, "stop") }
