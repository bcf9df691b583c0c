package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAnswerThatEndsInItsHead guards against a 200 with an empty or a short body for an answer whose
// target stopped in the middle of its head and closed the connection, also after interim answers, and on
// a connection that has served another request.
func TestAnswerThatEndsInItsHead(t *testing.T) {
	head := signedHead + "Content-Type: text/event-stream\r\nX: 1\r\nContent-Length: 17" + testID + "\r\n"
	for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
		whole := before + head
		var cut atomic.Int64
		gw := newTestGateway(t, takeConnection(func(w io.Writer) {
			_, _ = io.WriteString(w, whole[:cut.Load()])
		})).waitReady()
		for n := range len(whole) {
			cut.Store(int64(n))
			for _, path := range answerPaths {
				gw.expectNoSuccess(path, fmt.Sprintf("after %q", whole[:n]))
			}
		}
	}
}

// TestReusedConnectionThatEndsInAHead is like TestAnswerThatEndsInItsHead, with a whole answer before.
func TestReusedConnectionThatEndsInAHead(t *testing.T) {
	event := "id: 1\ndata: x\n\n"
	head := signedHead + "Content-Type: text/event-stream\r\nContent-Length: 15\r\nT-Id: "
	var cut atomic.Int64
	rest := "\r\n\r\n"
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, head+r.Header.Get("T-Id")+rest+event)
		if _, err := http.ReadRequest(buffered.Reader); err == nil {
			_, _ = io.WriteString(conn, head[:cut.Load()])
		}
		_ = conn.Close()
	}).waitReady()
	for n := range len(head) {
		cut.Store(int64(n))
		for _, path := range answerPaths {
			before := len(gw.targets[0].requests())
			id := fmt.Sprintf("T-Id: a%d%s", n, path)
			status, _, body, whole := gw.do("GET "+path+" HTTP/1.1", "Host: h", id, "Authorization: Bearer key")
			assert.Assert(t, status == 200 && body == event && whole, "%d %q", status, body)
			gw.expectNoSuccess(path, fmt.Sprintf("after %q", head[:n]))
			assert.Equal(t, len(gw.targets[0].requests()), before+1, "the connection was not reused")
		}
	}
}

var answerPaths = []string{"/once/x", "/stream/x"}

// expectNoSuccess sends a request and fails if it is answered with a success that looks complete.
func (gw *testGateway) expectNoSuccess(path, name string) {
	gw.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(gw.send(get(path)...)), nil)
	if err != nil {
		return // the connection was closed instead of an answer
	}
	_, err = io.Copy(io.Discard, resp.Body)
	assert.Assert(gw.t, resp.StatusCode >= 500 || err != nil, "%s, %s: status %d looks complete", path, name, resp.StatusCode)
}
