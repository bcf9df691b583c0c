package observe

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against an admin address that callers which do not read its answers block for good.
func TestUnreadAnswersDoNotBlockTheAdminAddress(t *testing.T) {
	dump := strings.Repeat("x", 5<<20) // more than the kernel takes for a connection
	a := NewAdmin(AdminConfig{State: func() any { return dump }})
	assert.NilError(t, a.Listen("127.0.0.1:0"))
	for range adminConcurrency {
		c, err := net.Dial("tcp", a.Addr())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
		_, err = fmt.Fprint(c, "GET /debug/state HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
	}
	client := http.Client{Timeout: time.Second}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := client.Get("http://" + a.Addr() + "/healthz")
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(200*time.Millisecond))
}
