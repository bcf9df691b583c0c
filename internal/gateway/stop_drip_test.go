package gateway

import (
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDrippingReaderDoesNotHoldAStop guards against a stop that lasts as long as a caller reads a byte now and then.
func TestDrippingReaderDoesNotHoldAStop(t *testing.T) {
	gw := newTestGateway(t, respond(200, strings.Repeat("x", 7<<20))).waitReady()
	gw.g.opts.Settings.Limits.StopTimeout = stopMargin + stopLogInterval
	c := gw.write("")
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err := c.Write([]byte(strings.Join(get("/safe/"), "\r\n") + "\r\n\r\n"))
	assert.NilError(t, err)
	gw.waitForLog("event=request", "status=200")
	stopped := make(chan struct{})
	go func() {
		for b := make([]byte, 1); ; time.Sleep(sendPollInterval) {
			select {
			case <-stopped:
				return
			default:
				_, _ = c.Read(b)
			}
		}
	}()
	begin := time.Now()
	whole := gw.g.Stop(t.Context())
	close(stopped)
	assert.Check(t, !whole, "the answer was not in flight")
	assert.Check(t, time.Since(begin) < sendTimeout/2, time.Since(begin))
}
