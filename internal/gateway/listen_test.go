package gateway

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCheckOfTheAddressAcceptsNoCallers guards against a gateway that resets callers at its start: the check whether
// its address is unused took their connections and closed them.
func TestCheckOfTheAddressAcceptsNoCallers(t *testing.T) {
	const dials = 500
	addr := freePort(t)
	done := make(chan struct{})
	checks := make(chan error, 1)
	go func() {
		var err error
		for err == nil {
			select {
			case <-done:
				checks <- nil
				return
			default:
				err = checkUnused(addr)
			}
		}
		checks <- err
	}()
	accepted := 0
	for range dials {
		if c, err := net.Dial("tcp4", addr); err == nil {
			accepted++
			_ = c.Close()
		}
	}
	close(done)
	assert.NilError(t, <-checks)
	assert.Equal(t, accepted, 0)
}
