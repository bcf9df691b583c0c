package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Refuses reports whether the target at addr refuses connections, which shows that its process
// has ended.
func Refuses(ctx context.Context, addr string) bool {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
