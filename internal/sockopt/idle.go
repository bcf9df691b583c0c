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
func HasUnaccepted(ln net.Listener) bool {
	c, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		waiting = err == nil && n > 0
	})
	return err == nil && waiting
}
