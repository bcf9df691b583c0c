package sockopt

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// IsQuiet reports whether a TCP connection is open and has no unread bytes. It is true for other
// kinds of connections. Another goroutine may be reading from the connection.
func IsQuiet(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
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
