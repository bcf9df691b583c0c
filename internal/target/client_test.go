package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// serve listens for connections and returns the address. It answers each connection
// with raw after it has read one request, and counts the connections in accepted.
func serve(t *testing.T, raw string, accepted *int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			*accepted++
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			_, _ = io.WriteString(c, raw)
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

func request(idempotent bool) *message.Request {
	return &message.Request{Method: "POST", Path: "/x", Body: []byte("b"), Idempotent: idempotent}
}

func do(t *testing.T, addr string) ([]byte, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, e := New(addr).Do(ctx, request(false))
	if e != nil {
		return nil, e
	}
	defer r.Close()
	return io.ReadAll(r.Body)
}

func TestTruncatedAnswersAreErrors(t *testing.T) {
	for name, raw := range map[string]string{
		"short length":    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"missing chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"short chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc",
		"no framing":      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc",
		"no head":         "HTTP/1.1 200 OK\r\nContent-Le",
		"nothing":         "",
		"not HTTP at all": "\x00\x01garbage\r\n\r\n",
	} {
		n := 0
		_, err := do(t, serve(t, raw, &n))
		assert.Assert(t, err != nil, name)
		assert.Equal(t, n, 1, "%s: the request was repeated", name)
	}
}

func TestCompleteAnswersAreRead(t *testing.T) {
	for name, raw := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		n := 0
		got, err := do(t, serve(t, raw, &n))
		assert.NilError(t, err, name)
		assert.Equal(t, string(got), "abc", name)
	}
}

func TestFailedDialReportsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	_, e := New(addr).Do(context.Background(), request(false))
	assert.Equal(t, e.Kind, apierr.KindTargetUnreachable)
	assert.Equal(t, e.Answer().Outcome, apierr.OutcomeNotRun)
}

func TestNonIdempotentRequestNeverReusesAConnection(t *testing.T) {
	c := New("127.0.0.1:1")
	c.release(&conn{})
	assert.Assert(t, c.idle != nil)
	_, e := c.Do(context.Background(), request(false))
	assert.Equal(t, e.Kind, apierr.KindTargetUnreachable)
	assert.Equal(t, len(c.idle), 1)
}

// serveEndless answers each connection with head, and then with rest without end, and counts
// the bytes that were sent.
func serveEndless(t *testing.T, head, rest string, sent *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	rest = strings.Repeat(rest, 1+(32<<10)/len(rest))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, err = io.WriteString(c, head)
			for n := 0; err == nil; sent.Add(int64(n)) {
				n, err = io.WriteString(c, rest)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against a target that sends bytes without end: each part of an answer is bounded, not
// only by the deadline.
func TestAnswersWithoutEndFail(t *testing.T) {
	const (
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		// inFlight is room for bytes in the buffers of both sockets.
		inFlight = 32 << 20
	)
	chunk := "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"
	for name, tc := range map[string]struct {
		head, rest string
		bound      int64
	}{
		"no line end":     {rest: "x", bound: inFlight},
		"fields":          {head: "HTTP/1.1 200 OK\r\n", rest: "A: b\r\n", bound: inFlight},
		"interim answers": {rest: "HTTP/1.1 100 Continue\r\n\r\n", bound: inFlight},
		"trailer":         {head: chunked + "0\r\n", rest: "A: b\r\n", bound: inFlight},
		"chunks":          {head: chunked, rest: chunk, bound: maxBodyBytes + inFlight},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			r, failure := New(serveEndless(t, tc.head, tc.rest, &sent)).Do(ctx, request(false))
			if failure == nil {
				_, err := io.Copy(io.Discard, r.Body)
				r.Close()
				assert.Assert(t, err != nil)
			}
			assert.NilError(t, ctx.Err())
			assert.Assert(t, sent.Load() <= tc.bound, "%d bytes were sent", sent.Load())
		})
	}
}

// serveTwice answers each request on a connection with its path as the body, and sends a second
// copy of the answer after the delay. With echo, answers contain the id of their request.
func serveTwice(t *testing.T, delay time.Duration, echo bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	answerTwice := func(c net.Conn) {
		br := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			head := "HTTP/1.1 200 OK\r\n"
			if echo {
				head += requestIDHeader + ": " + req.Header.Get(requestIDHeader) + "\r\n"
			}
			answer := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(req.URL.Path), req.URL.Path)
			_, _ = io.WriteString(c, answer)
			if delay < 0 { // with the next request
				if _, err := br.Peek(1); err != nil {
					return
				}
			} else {
				time.Sleep(delay)
			}
			_, _ = io.WriteString(c, answer)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerTwice(c)
		}
	}()
	return l.Addr().String()
}

// Guards against a caller that gets the answer of another request: the target sends a second copy
// of an answer on a connection that is kept, at once, later, or as the next request arrives.
func TestSecondCopyOfAnAnswerReachesNoCaller(t *testing.T) {
	for _, echo := range []bool{false, true} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond, -1} {
			c := New(serveTwice(t, delay, echo))
			served := 0
			for i := range 10 {
				path := fmt.Sprint("/", i)
				r, e := c.Do(t.Context(), &message.Request{Method: "POST", Path: path, Idempotent: true, RequestID: fmt.Sprint("id", i)})
				if e == nil {
					body, err := io.ReadAll(r.Body)
					assert.NilError(t, err)
					assert.Equal(t, string(body), path, "echo %v, delay %v", echo, delay)
					r.Close()
					served++
				}
				time.Sleep(30 * time.Millisecond)
			}
			assert.Assert(t, served >= 5, "echo %v, delay %v: %d answers", echo, delay, served)
		}
	}
}

// A connection is kept if the target shows with the request's id that it answers that request.
func TestConnectionsOfTargetsThatEchoTheIDAreReused(t *testing.T) {
	for _, echo := range []bool{false, true} {
		accepted := atomic.Int64{}
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if echo {
				w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
			}
		}))
		server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				accepted.Add(1)
			}
		}
		server.Start()
		t.Cleanup(server.Close)
		c := New(server.Listener.Addr().String())
		const requests = 5
		for i := range requests {
			r, e := c.Do(t.Context(), &message.Request{Method: "POST", Path: "/", Idempotent: true, RequestID: fmt.Sprint("id", i)})
			assert.Assert(t, e == nil)
			_, err := io.ReadAll(r.Body)
			assert.NilError(t, err)
			r.Close()
		}
		if echo {
			assert.Equal(t, accepted.Load(), int64(1))
		} else {
			assert.Equal(t, accepted.Load(), int64(requests))
		}
	}
}

// Guards against an answer that an entry's caller can't read: a control character in a field.
func TestUnreadableFieldsAreErrors(t *testing.T) {
	for _, b := range []byte{0, 1, '\b', '\v', '\r', 0x1b, 0x1f, 0x7f} {
		var accepted int
		_, err := do(t, serve(t, "HTTP/1.1 200 OK\r\nX: a"+string([]byte{b})+"b\r\nContent-Length: 3\r\n\r\nabc", &accepted))
		assert.Assert(t, err != nil, "byte %#x", b)
	}
}
