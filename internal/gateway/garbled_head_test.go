package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/http1"
	"github.com/gentiantrail/gentiantrail/internal/upstream"
)

// unreadableBytes are control characters that RFC 9110 and RFC 9112 allow nowhere in a head.
var unreadableBytes = []byte{0, 1, '\b', '\n', '\v', '\r', 0x1b, 0x1f, 0x7f}

// answerRaw returns a handler that answers with the bytes that form returns at that time.
func answerRaw(form func() string) http.HandlerFunc {
	return takeConnection(func(w io.Writer) { _, _ = io.WriteString(w, form()) })
}

// expectUnreadableRefused answers each request with a head that has an unreadable byte in it.
func expectUnreadableRefused(t *testing.T, head string) {
	t.Helper()
	var heads []string
	for _, b := range unreadableBytes {
		heads = append(heads, fmt.Sprintf(head, b))
	}
	expectHeadsRefused(t, heads...)
}

// expectHeadsRefused answers each request with one of the heads and a body of four bytes. The caller must get
// a readable failure that does not promise that the request was not run.
func expectHeadsRefused(t *testing.T, heads ...string) {
	t.Helper()
	var form atomic.Pointer[string]
	gw := newTestGateway(t, answerRaw(func() string { return *form.Load() })).waitReady()
	for i, head := range heads {
		text := head + testID + "\r\nbody"
		form.Store(&text)
		for _, path := range answerPaths {
			resp, err := http.ReadResponse(bufio.NewReader(gw.send(get(path)...)), nil)
			assert.NilError(t, err, "%s, %q", path, head)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err, "%s, %q", path, head)
			assert.Assert(t, resp.StatusCode >= 500, "%s, %q: status %d", path, head, resp.StatusCode)
			assert.Equal(t, resp.Header.Get(testHeaders.NotExecuted), "", "%s, %q", path, head)
		}
		assert.Assert(t, len(gw.targets[0].requests()) > i, "the target got no request")
	}
}

// Guards against an answer that its caller can't read: a control character in the reason phrase of a
// target's answer was passed on.
func TestUnreadableReasonReachesNoCaller(t *testing.T) {
	expectUnreadableRefused(t, "HTTP/1.1 200 %cK\r\nT-Sign: signed\r\nContent-Length: 4")
}

// Guards against an answer that its caller can't read: a control character in a field of a target's answer
// was passed on.
func TestUnreadableFieldReachesNoCaller(t *testing.T) {
	expectUnreadableRefused(t, "HTTP/1.1 200 OK\r\nT-Sign: signed\r\nX-A: a%cb\r\nContent-Length: 4")
}

// Guards against an answer whose status is none, and against one with a body that is not the target's.
func TestInvalidStatusReachesNoCaller(t *testing.T) {
	var heads []string
	for _, status := range []string{"000", "001", "099", "00", "20", "2000", "-20", "+20", "2 0", "20x", "", " 200", "\t200"} {
		heads = append(heads, "HTTP/1.1 "+status+" OK\r\nT-Sign: signed\r\nContent-Length: 4")
	}
	expectHeadsRefused(t, heads...)
}

// Guards against an answer whose field has an invalid name: another reader may take the line for a different
// field, for example one that frames the body.
func TestInvalidFieldNameReachesNoCaller(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nT-Sign: signed\r\nContent-Length: 4"
	heads := []string{
		sound + "\r\nX-A : b", sound + "\r\n X-A: b", sound + "\r\n: b", sound + "\r\nX-A", sound + "\r\nX-A: b\r\n folded",
		sound + "\r\nContent -Length: 2", sound + "\r\nContent-Length : 2", sound + "\r\nContent\x00-Length: 2",
		"HTTP/1.1 200 OK\r\n X-A: b\r\nT-Sign: signed\r\nContent-Length: 4",
	}
	for _, b := range append([]byte(" \t\"(),/;<=>?@[\\]{}\x80\xff"), unreadableBytes...) {
		heads = append(heads, sound+"\r\nX"+string([]byte{b})+"A: b")
	}
	expectHeadsRefused(t, heads...)
}

// Guards against a success without its body: a wrong digit makes a 204, which has none, of a target's
// status.
func TestNoContentWithABodyIsRefused(t *testing.T) {
	for _, framing := range []string{"Content-Length: 4" + testID + "\r\nbody", "Transfer-Encoding: chunked" + testID + "\r\n4\r\nbody\r\n0\r\n\r\n"} {
		gw := newTestGateway(t, answerRaw(func() string { return "HTTP/1.1 204 OK\r\nT-Sign: signed\r\n" + framing })).waitReady()
		for _, path := range answerPaths {
			status, _, _, whole := gw.do(get(path)...)
			assert.Assert(t, status >= 500 && whole, "%s: status %d", path, status)
		}
	}
	gw := newTestGateway(t, answerRaw(func() string { return "HTTP/1.1 204 No Content\r\nT-Sign: signed" + testID + "\r\n" })).waitReady()
	status, _, _, whole := gw.do(get("/once/x")...)
	assert.Assert(t, status == 204 && whole, "status %d", status)
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

// passedOn returns the bytes that a caller gets for an answer with the given bytes, or false if the answer
// is not passed on.
func passedOn(raw []byte) ([]byte, bool) {
	resp, err := http1.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), "POST")
	if err != nil {
		return nil, false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, false
	}
	g := &Gateway{}
	g.view.Store(&view{})
	x := &exchange{req: &http1.Request{KeepAlive: true}, route: &fleet.Route{}}
	return http1.AppendLengthAndBody(g.answerHead(x, &upstream.Answer{Response: resp}), body), true
}

// checkReadable fails if a strict client can't read what a caller gets for an answer.
func checkReadable(t *testing.T, raw []byte) {
	t.Helper()
	passed, ok := passedOn(raw)
	if !ok {
		return
	}
	line, _, _ := bytes.Cut(passed, []byte("\n"))
	for _, b := range bytes.TrimSuffix(line, []byte("\r")) {
		assert.Assert(t, b >= ' ' && b != 0x7f || b == '\t', "%q is passed on as %q", raw, passed)
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(passed)), &http.Request{Method: "POST"})
	assert.NilError(t, err, "%q is passed on as %q", raw, passed)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err, "%q is passed on as %q", raw, passed)
}

// soundAnswers are answers into which the tests put wrong bytes.
var soundAnswers = []string{
	"HTTP/1.1 200 OK\r\nT-Id: a1\r\nT-Sign: signed\r\nContent-Type: application/json\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nT-Sign: s\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 503 Full\r\nT-Not-Run: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.0 200 OK\r\nT-Sign: s\r\nConnection: close, X-A\r\nX-A: b\r\n\r\nbody",
	"HTTP/1.1 204 No Content\r\nT-Sign: s\r\n\r\n",
}

// TestAnswersWithOneWrongByteStayReadable replaces and inserts every byte at every place of sound
// answers. It guards against an answer that is passed on although its caller can't read it.
func TestAnswersWithOneWrongByteStayReadable(t *testing.T) {
	for _, sound := range soundAnswers {
		for at := range len(sound) {
			for b := range 256 {
				checkReadable(t, []byte(sound[:at]+string([]byte{byte(b)})+sound[at+1:]))
				checkReadable(t, []byte(sound[:at]+string([]byte{byte(b)})+sound[at:]))
			}
		}
	}
}

// FuzzAnswer guards against an answer that is passed on although its caller can't read it.
func FuzzAnswer(f *testing.F) {
	for _, sound := range soundAnswers {
		f.Add([]byte(sound))
		for _, b := range unreadableBytes {
			f.Add([]byte(strings.Replace(sound, "O", string([]byte{b}), 1)))
			f.Add([]byte(strings.Replace(sound, "s", string([]byte{b}), 1)))
		}
	}
	f.Fuzz(checkReadable)
}
