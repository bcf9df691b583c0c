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
	if os.Getenv(asProgram) != "" {
		Main(loadDuringReloadSignal, awaitReload)
		return
	}
	os.Exit(m.Run())
}

// loadDuringReloadSignal gets SIGHUP while it loads the settings.
func loadDuringReloadSignal(string) (struct{}, error) {
	err := syscall.Kill(os.Getpid(), syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond) // an unhandled signal ends the process by then
	return struct{}{}, err
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

// Guards against a process that ends because a reload is requested while it starts.
func TestReloadSignalDuringStartReloads(t *testing.T) {
	cmd := exec.Command(os.Args[0], "--settings", "settings.yaml")
	cmd.Env = append(os.Environ(), asProgram+"=1")
	out, err := cmd.CombinedOutput()
	assert.NilError(t, err, "%s", out)
}
