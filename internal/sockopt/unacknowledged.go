package sockopt

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnacknowledged reports whether the peer's system has not confirmed all bytes that were
// written to a TCP connection.
func HasUnacknowledged(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unacknowledged := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		unacknowledged = err == nil && n > 0
	})
	return err == nil && unacknowledged
}
