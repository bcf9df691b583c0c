package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/settings"
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

// TestServeEndsIfItsContextHasEndedBefore guards against a listener that stays open since its stop was asked for
// before it had been opened.
func TestServeEndsIfItsContextHasEndedBefore(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		g := New(Options{
			Settings: &settings.Gateway{Listen: freePort(t), Limits: settings.DefaultGatewayLimits()},
			Logger:   &log.Logger{Level: log.PanicLevel}, Metrics: tally.NoopScope,
		})
		ended := make(chan error, 1)
		go func() { ended <- g.Serve(ctx) }()
		select {
		case err := <-ended:
			assert.NilError(t, err)
		case <-time.After(5 * time.Second):
			t.Fatal("the listener is open")
		}
	}
}
