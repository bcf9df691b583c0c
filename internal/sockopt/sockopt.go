// Package sockopt sets socket options that package net does not offer.
package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for net.Dialer that sets, in whole milliseconds,
// how long the kernel waits for a peer's acknowledgement before it closes the connection.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, d) }
}

// SetUserTimeout changes that time of an open connection; zero means the system's own.
func SetUserTimeout(c syscall.Conn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, d)
}

func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
