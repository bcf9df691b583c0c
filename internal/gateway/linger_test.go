package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestConnectionStaysOpenWhileItsLastAnswerIsRead guards against an answer that is reset, as its caller sends, while
// the caller still reads it.
func TestConnectionStaysOpenWhileItsLastAnswerIsRead(t *testing.T) {
	const pieces = 5
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	assert.NilError(t, err)
	defer func() { _, _ = unix.Close(fds[0]), unix.Close(fds[1]) }()
	piece := make([]byte, 1024)
	for range pieces {
		_, err := unix.Write(fds[0], piece)
		assert.NilError(t, err)
	}
	synctest.Test(t, func(t *testing.T) {
		_, w, _ := newSlowCaller(fds[0], 0)
		w.finish(false)
		cc := w.cc
		overdue := func(from time.Time) bool {
			for time.Since(from) < sendTimeout*2/3 {
				time.Sleep(sweepInterval)
				if cc.s.overdue(cc, cc.waiting.Load(), time.Now()) {
					return true
				}
			}
			return false
		}
		for range pieces - 1 {
			assert.Assert(t, !overdue(time.Now()))
			_, err := unix.Read(fds[1], piece)
			assert.NilError(t, err)
		}
		assert.Assert(t, !overdue(time.Now()))
		assert.Assert(t, overdue(time.Now()), "the caller has stopped reading")
	})
}
