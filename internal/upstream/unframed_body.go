package upstream

import (
	"errors"
	"io"
	"syscall"

	"github.com/gentiantrail/gentiantrail/internal/sockopt"
)

// unframedBody reads a body that ends with its connection while the request is still being written. The
// system reports the error of a connection once, to a read or to a write; after the write has got it, a
// read gets io.EOF as if the target had closed the connection.
type unframedBody struct {
	io.Reader
	conn  *conn
	write *requestWrite
}

// Read implements io.Reader. It returns io.EOF only if the target has closed its side of the connection.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := b.connError(); cause != nil {
			err = cause
		}
	}
	return n, err
}

// connError returns the error of the connection that the write has got, or nil if there is none. It is
// called at the end of the connection.
func (b *unframedBody) connError() error {
	if !b.write.ended() {
		if !sockopt.HasHungUp(b.conn.Conn) {
			return nil // the target may read on after its answer
		}
		<-b.write.done // a write on such a connection fails at once
	}
	if errors.Is(b.write.err, syscall.EPIPE) {
		return nil // the connection was reset after the target had closed its side
	}
	return b.write.err
}
