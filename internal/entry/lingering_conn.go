package entry

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/sockopt"
)

const (
	// lingerTime and lingerBytes bound what is read and dropped behind the last answer of a
	// connection. Closing a connection with unread bytes resets it, and the caller might lose
	// the answer.
	lingerTime  = 2 * time.Second
	lingerBytes = 8 << 20
	// sendTimeout replaces lingerTime while the caller's system has not confirmed the answer.
	sendTimeout = 15 * time.Second
	// lingerPollInterval is the interval at which these times are checked.
	lingerPollInterval = 50 * time.Millisecond
)

// lingeringListener accepts TCP connections as lingering ones, and others as they are.
type lingeringListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l lingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &lingeringConn{TCPConn: tcp, server: l.server}, err
	}
	return c, err
}

// lingeringConn is a connection that its caller can read to the end after it has been closed
// behind an answer.
type lingeringConn struct {
	*net.TCPConn
	server *Server
}

// Close closes the connection. Behind a last answer it first waits for the caller: the HTTP
// library calls it on the connection's goroutine, so that the connection counts as open.
func (c *lingeringConn) Close() error {
	if c.server.closesBehindAnswer(c) && c.CloseWrite() == nil {
		c.linger()
	}
	return c.TCPConn.Close()
}

// linger reads and drops what the caller sends until it ends the connection or a bound is reached.
func (c *lingeringConn) linger() {
	begin := time.Now()
	buf := make([]byte, 4<<10)
	for dropped := 0; dropped < lingerBytes && !c.lingered(time.Since(begin)); {
		if c.SetReadDeadline(time.Now().Add(lingerPollInterval)) != nil {
			return
		}
		n, err := c.Read(buf)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		dropped += n
	}
}

// lingered reports whether the caller has had its time to read the answer.
func (c *lingeringConn) lingered(d time.Duration) bool {
	return d > sendTimeout || d > lingerTime && !sockopt.HasUnacknowledged(c)
}
