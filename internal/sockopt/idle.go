package sockopt

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsQuiet reports whether the socket of a connection is open and has no unread bytes. It is true for
// connections without one. Another goroutine may be reading from the connection.
func IsQuiet(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var probe [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

// HasUnaccepted reports whether a TCP listener has connections that no call of Accept has returned. It is
// false for other kinds of listeners.
func HasUnaccepted(ln net.Listener) bool { return poll(ln, unix.POLLIN) != 0 }

// HasHungUp reports whether a connection that this side has not closed has ended in both directions: it was
// reset or has timed out. It is false for connections without a socket.
func HasHungUp(c net.Conn) bool { return poll(c, 0)&unix.POLLHUP != 0 }

// poll returns which of the events are pending at the socket of v, with those that are always reported. It
// returns zero if v has no open socket.
func poll(v any, events int16) int16 {
	socket, ok := v.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	fds := []unix.PollFd{{Events: events}}
	err = raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		if _, err := unix.Poll(fds, 0); err != nil {
			fds[0].Revents = 0
		}
	})
	if err != nil {
		return 0
	}
	return fds[0].Revents
}
