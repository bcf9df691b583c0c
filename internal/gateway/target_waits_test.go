package gateway

import (
	"bufio"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stallAfter returns a target that writes the given bytes and then nothing, and keeps the connection
// open until the gateway closes it.
func stallAfter(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(buffered, text)
		_ = buffered.Flush()
		_, _ = io.Copy(io.Discard, conn) // ends with a reset
	}
}

const (
	// testID is the field with the id of the requests that get returns.
	testID = "\r\nT-Id: a1\r\n"
	// unfinishedRefusal is a refusal that lacks a part of its body.
	unfinishedRefusal = "HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\nContent-Length: 9" + testID + "\r\nfull"
	signedHead        = "HTTP/1.1 200 OK\r\nT-Sign: signed\r\n"
)

// targetWaits lists the points at which the gateway waits for bytes of a target, with the bytes before.
var targetWaits = map[string]string{
	"head":                   "",
	"rest of the head":       "HTTP/1.1 200 OK\r\nT-Si",
	"after interim answers":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n",
	"body of another answer": "HTTP/1.1 200 OK\r\nT-Id: other\r\nContent-Length: 9\r\n\r\nfull",
	"refusal's body":         unfinishedRefusal,
	"refusal's chunks":       "HTTP/1.1 429 Full\r\nT-Not-Run: 1\r\nTransfer-Encoding: chunked" + testID + "\r\n4\r\nfull\r\n",
	"refusal without length": "HTTP/1.1 503 Full\r\nT-Not-Run: 1" + testID + "\r\nfull",
	"replaced target's body": "HTTP/1.1 421 Misdirected\r\nContent-Length: 9" + testID + "\r\nfull",
	"malformed request":      "HTTP/1.1 400 Bad\r\nT-Not-Run: 1\r\nContent-Length: 9" + testID + "\r\nfull",
	"error's body":           "HTTP/1.1 500 Failed\r\nContent-Length: 9" + testID + "\r\nfull",
	"body":                   signedHead + "Content-Length: 29" + testID + "\r\nid: 1\ndata: x\n\n",
	"next chunk":             signedHead + "Transfer-Encoding: chunked" + testID + "\r\nf\r\nid: 1\ndata: x\n\n\r\n",
	"trailer":                signedHead + "Transfer-Encoding: chunked" + testID + "\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\nT-More: x\r\n",
	"end of the connection":  signedHead + "Connection: close" + testID + "\r\nid: 1\ndata: x\n\n",
}

// measurePauses measures, until the end of the test, the longest time for which the process was not
// scheduled, which tells a busy machine from a wait without a bound.
func measurePauses(t *testing.T) *atomic.Int64 {
	const interval = 5 * time.Millisecond
	var longest atomic.Int64
	ticker := time.NewTicker(interval)
	done := make(chan struct{})
	t.Cleanup(func() { ticker.Stop(); close(done) })
	go func() {
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-done:
				return
			case <-ticker.C:
				longest.Store(max(longest.Load(), int64(time.Since(last))))
			}
		}
	}()
	return &longest
}

// Guards against a request without an answer at its deadline: a target stops at each point at which
// the gateway waits for its bytes.
func TestEveryWaitForATargetEndsAtTheDeadline(t *testing.T) {
	const deadline, margin = 700 * time.Millisecond, 500 * time.Millisecond
	pause := measurePauses(t)
	for name, text := range targetWaits {
		for _, path := range []string{"/once/", "/safe/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				gw := newTestGateway(t, stallAfter(text), stallAfter(text)).waitReady()
				begin := time.Now()
				c := gw.send(get(path, "T-Deadline: 700")...)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.Assert(t, resp.StatusCode != 200 || err != nil, "an unfinished answer looks complete")
				took := time.Since(begin)
				assert.Assert(t, took < deadline+margin, "took %v; longest pause of this process: %v", took, time.Duration(pause.Load()))
			})
		}
	}
}

// Guards against a refusal that has an effect only at its end: the request is sent to the other target
// once the head has arrived.
func TestUnfinishedRefusalIsActedOnAtOnce(t *testing.T) {
	gw := newTestGateway(t, stallAfter(unfinishedRefusal), respond(200, "ok")).waitReady()
	refused := 0
	for range 12 {
		begin := time.Now()
		status, _, body, _ := gw.do(get("/safe/", "T-Deadline: 2000")...)
		assert.Equal(t, status, 200)
		assert.Equal(t, body, "ok")
		assert.Assert(t, time.Since(begin) < 300*time.Millisecond, time.Since(begin))
		refused = len(gw.targets[0].requests())
	}
	assert.Assert(t, refused > 0, "no request was refused")
}
