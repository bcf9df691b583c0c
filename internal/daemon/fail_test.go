package daemon

import (
	"errors"
	"os"
	"os/exec"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFailureEndsAlthoughNobodyReadsIt guards against a process that is killed, without its exit code, because nobody
// reads its standard error.
func TestFailureEndsAlthoughNobodyReadsIt(t *testing.T) {
	out, unread, err := os.Pipe()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = out.Close(), unread.Close() })
	assert.NilError(t, unread.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = unread.Write(make([]byte, 1<<20))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=fail")
	cmd.Stderr = unread
	assert.NilError(t, cmd.Start())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		var exit *exec.ExitError
		assert.Assert(t, errors.As(err, &exit))
		assert.Equal(t, exit.ExitCode(), ExitForced)
	case <-time.After(15 * time.Second):
		_ = cmd.Process.Kill()
		t.Error("the process has not ended")
	}
}
