package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
)

// Guards against a part of an answer that reaches the caller as the whole: its target answers a long upload
// at once, without a length, and resets the connection while the upload is still being written.
func TestAnswerThatIsResetDuringAnUploadReachesNoCaller(t *testing.T) {
	const uploadBytes = 8 << 20
	config := testConfig(1)
	config.Limits.BodyBytes = uploadBytes
	// On a busy machine an upload takes longer than the usual limits of the tests.
	config.Limits.HeaderTimeout = 8 * time.Second
	for i := range config.Routes {
		config.Routes[i].Timeout = 8 * time.Second
	}
	gw := newTestGatewayWith(t, []fleet.Change{{Name: "main", Config: config}}, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, signedHead+"Content-Type: text/event-stream"+testID+"\r\nid: 1\ndata: x\n\n")
		time.Sleep(5 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}).waitReady()
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
		complete := 0
		const requests = 10
		for range requests {
			before := len(gw.targets[0].requests())
			head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nT-Id: a1\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n", path, uploadBytes)
			resp, err := http.ReadResponse(bufio.NewReader(gw.write(head+string(make([]byte, uploadBytes)))), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err == nil && resp.StatusCode < 500 {
				complete++
			}
			assert.Assert(t, len(gw.targets[0].requests()) > before, "%s: the target got no request", path)
		}
		assert.Check(t, complete == 0, "%s: %d of %d answers look complete", path, complete, requests)
	}
}
