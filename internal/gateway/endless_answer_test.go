package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// takeConnection returns a handler that answers with raw bytes on the request's connection.
func takeConnection(answer func(w io.Writer)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		answer(conn)
		_ = conn.Close()
	}
}

// endlessAnswers contains the begin of answers and what targets send without end after it.
var endlessAnswers = map[string][2]string{
	"status line":             {"", "x"},
	"fields":                  {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"one field":               {"HTTP/1.1 200 OK\r\nA: ", "b"},
	"interim answers":         {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"answers to others":       {"", "HTTP/1.1 200 OK\r\nT-Id: other\r\nContent-Length: 1\r\n\r\nx"},
	"body of another":         {"HTTP/1.1 200 OK\r\nT-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"body without length":     {signedHead + "Connection: close" + testID + "\r\n", "x"},
	"body of a stated length": {signedHead + "Content-Length: 9000000000000" + testID + "\r\n", "x"},
	"chunks":                  {signedHead + "Transfer-Encoding: chunked" + testID + "\r\n", "1\r\nx\r\n"},
	"size of a chunk":         {signedHead + "Transfer-Encoding: chunked" + testID + "\r\n", "0"},
	"trailer":                 {signedHead + "Transfer-Encoding: chunked" + testID + "\r\n0\r\n", "A: b\r\n"},
	"body of a refusal":       {"HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\nConnection: close" + testID + "\r\n", "x"},
	"body of an error":        {"HTTP/1.1 500 Failed\r\nConnection: close" + testID + "\r\n", "x"},
	"line of an event":        {signedHead + "Connection: close" + testID + "\r\ndata: ", "x"},
	"comments":                {signedHead + "Connection: close" + testID + "\r\n", ": x\n\n"},
}

// TestTargetsThatSendWithoutEnd guards against a process that keeps all bytes of a target that sends
// something without end in the place of an answer, and against requests of other callers that end with
// it. Several callers get such answers at once.
func TestTargetsThatSendWithoutEnd(t *testing.T) {
	const (
		callers = 4
		// inFlight is room for bytes in the buffers of both sockets.
		inFlight = 32 << 20
	)
	for name, parts := range endlessAnswers {
		for _, path := range []string{"/once/x", "/stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				var sent atomic.Int64
				rest := strings.Repeat(parts[1], 1+(16<<10)/len(parts[1]))
				gw := newTestGateway(t, takeConnection(func(w io.Writer) {
					_, err := io.WriteString(w, parts[0])
					for n := 0; err == nil; sent.Add(int64(n)) {
						n, err = io.WriteString(w, rest)
					}
				})).waitReady()
				var wg sync.WaitGroup
				for range callers {
					wg.Go(func() {
						resp, err := http.ReadResponse(bufio.NewReader(gw.send(get(path)...)), nil)
						if err != nil {
							return // the connection was closed instead of an answer
						}
						_, err = io.Copy(io.Discard, resp.Body)
						assert.Check(t, resp.StatusCode >= 500 || err != nil, "status %d looks complete", resp.StatusCode)
					})
				}
				wg.Wait()
				assert.Assert(t, sent.Load() <= callers*(maxAnswerBytes+inFlight), "%d bytes were sent", sent.Load())
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if n := gw.g.answers.total.Load(); n != 0 {
						return poll.Continue("%d bytes are held", n)
					}
					return poll.Success()
				})
				status, _, _, _ := gw.do("GET /nowhere HTTP/1.1", "Host: h")
				assert.Equal(t, status, 404)
			})
		}
	}
}
