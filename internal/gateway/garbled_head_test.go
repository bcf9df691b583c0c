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

// unreadableBytes are control characters that RFC 9110 and RFC 9112 allow nowhere in a head.
var unreadableBytes = []byte{0, 1, '\b', '\n', '\v', '\r', 0x1b, 0x1f, 0x7f}

// answerRaw returns a handler that answers with the bytes that form returns at that time.
func answerRaw(form func() string) http.HandlerFunc {
	return takeConnection(func(w io.Writer) { _, _ = io.WriteString(w, form()) })
}

// expectUnreadableRefused answers each request with a head that has an unreadable byte in it. The caller
// must get a readable failure that does not promise that the request was not run.
func expectUnreadableRefused(t *testing.T, head string) {
	t.Helper()
	var form atomic.Pointer[string]
	gw := newTestGateway(t, answerRaw(func() string { return *form.Load() })).waitReady()
	for i, b := range unreadableBytes {
		text := fmt.Sprintf(head, b) + testID + "\r\nbody"
		form.Store(&text)
		for _, path := range answerPaths {
			resp, err := http.ReadResponse(bufio.NewReader(gw.send(get(path)...)), nil)
			assert.NilError(t, err, "%s, byte %#x", path, b)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err, "%s, byte %#x", path, b)
			assert.Assert(t, resp.StatusCode >= 500, "%s, byte %#x: status %d", path, b, resp.StatusCode)
			assert.Equal(t, resp.Header.Get(testHeaders.NotExecuted), "", "%s, byte %#x", path, b)
		}
		assert.Assert(t, len(gw.targets[0].requests()) > i, "the target got no request")
	}
}

// Guards against an answer that its caller can't read: a control character in the reason phrase of a
// target's answer was passed on.
func TestUnreadableReasonReachesNoCaller(t *testing.T) {
	expectUnreadableRefused(t, "HTTP/1.1 200 %cK\r\nT-Sign: signed\r\nContent-Length: 4")
}

// Guards against heads that are odd but legal and must be passed on as they are.
func TestOddReasonIsPassedOn(t *testing.T) {
	var reason atomic.Pointer[string]
	gw := newTestGateway(t, answerRaw(func() string {
		return "HTTP/1.1 200" + *reason.Load() + "\r\nT-Sign: signed\r\nContent-Length: 4" + testID + "\r\nbody"
	})).waitReady()
	for given, want := range map[string]string{
		"": "200 OK", " ": "200 OK", " \t": "200 \t", " a\tb": "200 a\tb", " \x80\xff": "200 \x80\xff", " a: b": "200 a: b",
	} {
		reason.Store(&given)
		line, err := bufio.NewReader(gw.send(get("/once/x")...)).ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "HTTP/1.1 "+want+"\r\n")
	}
}

// Guards against a request that is lost although it may be repeated: the first target's answer can't be
// read.
func TestUnreadableAnswerIsRepeated(t *testing.T) {
	gw := newTestGateway(t, answerRaw(func() string {
		return "HTTP/1.1 200 \nK\r\nT-Sign: signed\r\nContent-Length: 4" + testID + "\r\nbody"
	}), respond(200, "sound")).waitReady()
	for range 200 {
		status, _, body, whole := gw.do(get("/safe/x")...)
		assert.Assert(t, status == 200 && body == "sound" && whole, "%d %q", status, body)
		if len(gw.targets[0].requests()) > 0 {
			return
		}
	}
	t.Fatal("no request was sent to the first target")
}
