package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// ProbeResult is the result of connecting to a target.
type ProbeResult uint8

// The results.
const (
	// Unanswered means that the target did not answer in time, which says nothing about its process.
	Unanswered ProbeResult = iota
	// Connected means that the target's process runs.
	Connected
	// Refused means that the target's process has ended.
	Refused
)

// Probe connects to the target at addr and closes the connection.
func Probe(ctx context.Context, addr string) ProbeResult {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", addr)
	switch {
	case err == nil:
		_ = conn.Close()
		return Connected
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	default:
		return Unanswered
	}
}
