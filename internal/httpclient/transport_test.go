package httpclient

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/http1"
	"github.com/gentiantrail/gentiantrail/internal/testserver"
)

const maxBody = 100 // bytes

// server answers each call with the same bytes, and keeps the connections open.
type server struct {
	addr  string
	conns atomic.Int64
	calls atomic.Int64
}

func serve(t *testing.T, answer string) *server {
	t.Helper()
	s := &server{}
	s.addr = testserver.Serving(t, func(c *net.TCPConn) {
		s.conns.Add(1)
		br := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			s.calls.Add(1)
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
		}
	})
	return s
}

func (s *server) client() *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: s.addr, Transport: Transport{}, MaxResponseBodySize: maxBody, MaxIdemponentCallAttempts: 1}
}

func call(c *fasthttp.HostClient, method string, timeout time.Duration) (status int, header, body string, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.Addr + "/x")
	err = c.DoTimeout(req, resp, timeout)
	return resp.StatusCode(), string(resp.Header.Peek("X-A")), string(resp.Body()), err
}

func TestAnswersAreRead(t *testing.T) {
	for answer, reused := range map[string]bool{
		"HTTP/1.1 202 Accepted\r\nx-a: b\r\nContent-Length: 3\r\n\r\nabc":                               true,
		"HTTP/1.1 202 Accepted\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n":    true,
		"HTTP/1.1 202 Accepted\r\nX-A: b\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc":          false,
		"HTTP/1.1 202 Accepted\r\nX-A: b\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n\r\nanother": false,
	} {
		s := serve(t, answer)
		c := s.client()
		for range 2 {
			status, header, body, err := call(c, "POST", 5*time.Second)
			assert.NilError(t, err, "%q", answer)
			assert.Equal(t, status, 202, "%q", answer)
			assert.Equal(t, header, "b", "%q", answer)
			assert.Equal(t, body, "abc", "%q", answer)
		}
		assert.Equal(t, s.conns.Load() == 1, reused, "%q", answer)
	}
}

// Guards against calls that are repeated, and against connections that are kept after an error.
func TestBrokenAnswersAreErrors(t *testing.T) {
	const rest = "Content-Length: 3\r\n\r\nabc"
	for _, answer := range []string{
		"HTTP/1.1 000 OK\r\n" + rest, "HTTP/1.1 099 OK\r\n" + rest, "HTTP/1.1 200 OK\r\nX A: b\r\n" + rest, "HTTP/1.1 200 OK\r\nX\x01A: b\r\n" + rest,
		"HTTP/1.1 200 OK\r\nContent -Length: 2\r\n" + rest, "HTTP/1.1 204 OK\r\n" + rest, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest,
	} {
		s := serve(t, answer)
		c := s.client()
		_, _, _, err := call(c, "GET", 5*time.Second)
		var syntax *http1.SyntaxError
		assert.Assert(t, errors.As(err, &syntax), "%q: %v", answer, err)
		assert.Equal(t, s.calls.Load(), int64(1), "%q", answer)
		assert.Equal(t, c.ConnsCount(), 0, "%q", answer)
	}
}

// Guards against a bound of a client that is not in force with the transport.
func TestBoundsOfAClient(t *testing.T) {
	for _, size := range []string{"Content-Length: 101\r\n\r\n", "Connection: close\r\n\r\n"} {
		c := serve(t, "HTTP/1.1 200 OK\r\n"+size+strings.Repeat("x", maxBody+1)).client()
		_, _, _, err := call(c, "GET", 5*time.Second)
		assert.ErrorIs(t, err, fasthttp.ErrBodyTooLarge)
	}
	for _, part := range []string{"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na"} {
		c := serve(t, part).client()
		_, _, _, err := call(c, "GET", 50*time.Millisecond)
		assert.ErrorIs(t, err, fasthttp.ErrTimeout)
		assert.Equal(t, c.ConnsCount(), 0)
	}
}
