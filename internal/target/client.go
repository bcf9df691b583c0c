// Package target calls one target over HTTP and tells exactly whether a request
// may have reached it.
//
// A non-idempotent request always travels on a fresh connection, so that a failed
// dial proves that the target did not see it. Requests are never repeated here.
package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

const (
	// dialTimeout bounds connecting to a target on the same instance.
	dialTimeout = 2 * time.Second
	// maxIdleConns bounds the idle connections kept to the target.
	maxIdleConns = 64
	// maxIdleTime closes a connection that was idle for longer.
	maxIdleTime = 10 * time.Second
	// bufferSize is the read and the write buffer of a connection in bytes.
	bufferSize = 8 << 10
)

// Client calls one target. It is safe for concurrent use.
type Client struct {
	addr string

	mu   sync.Mutex
	idle []*conn
}

// New returns a client of the target at addr.
func New(addr string) *Client { return &Client{addr: addr} }

// conn is one connection with its buffers and the number of bytes written.
type conn struct {
	net.Conn
	br      *bufio.Reader
	bw      *bufio.Writer
	written int64
	since   time.Time
}

// Write counts the bytes that reached the socket.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// Response is the answer of a target. Its Body must be read to its end or closed.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Headers are the end-to-end headers.
	Headers []message.Header
	// Length is the body's length in bytes, or -1 if the target streams.
	Length int64
	// Body returns io.EOF only after the complete body.
	Body io.Reader

	client *Client
	conn   *conn
	resp   *fasthttp.Response
	stop   func() bool
	whole  bool
}

// Do sends req and reads the head of the answer. The context cancels the call by
// closing its connection, also while the body is read. A failure of
// KindTargetUnreachable proves that no byte was written.
func (c *Client) Do(ctx context.Context, req *message.Request) (*Response, *apierr.Error) {
	cn, err := c.acquire(ctx, req.Idempotent)
	if err != nil {
		return nil, apierr.Wrap(apierr.KindTargetUnreachable, c.addr, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Conn.Close() })
	if err := writeRequest(cn, c.addr, req); err != nil {
		stop()
		_ = cn.Conn.Close()
		if cn.written == 0 {
			return nil, apierr.Wrap(apierr.KindTargetUnreachable, c.addr, err)
		}
		return nil, failure(ctx, err)
	}
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	resp.SkipBody = req.Method == fasthttp.MethodHead
	if err := resp.ReadLimitBody(cn.br, 0); err != nil {
		stop()
		_ = cn.Conn.Close()
		return nil, failure(ctx, err)
	}
	r := &Response{
		Status:  resp.StatusCode(),
		Headers: endToEnd(&resp.Header),
		Length:  int64(resp.Header.ContentLength()),
		client:  c, conn: cn, resp: resp, stop: stop,
	}
	if r.Length < -1 {
		r.Close()
		return nil, apierr.New(apierr.KindTruncated, "the target's answer has neither a length nor chunks")
	}
	r.Body = &body{r: r, left: r.Length}
	if resp.SkipBody {
		r.Length = 0
		r.Body = &body{r: r}
	}
	return r, nil
}

// failure maps a transport error after bytes were written.
func failure(ctx context.Context, err error) *apierr.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return apierr.Wrap(apierr.KindTimeout, "target", err)
	}
	if ctx.Err() != nil {
		return apierr.Wrap(apierr.KindCancelled, "target", err)
	}
	return apierr.Wrap(apierr.KindTargetFailed, "target", err)
}

// acquire returns an idle connection for idempotent requests and a fresh one otherwise.
func (c *Client) acquire(ctx context.Context, reuse bool) (*conn, error) {
	if reuse {
		if cn := c.popIdle(); cn != nil {
			return cn, nil
		}
	}
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: raw, br: bufio.NewReaderSize(raw, bufferSize)}
	cn.bw = bufio.NewWriterSize(cn, bufferSize)
	return cn, nil
}

// popIdle returns the most recently used idle connection, or nil.
func (c *Client) popIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		cn := c.idle[last]
		c.idle = c.idle[:last]
		if time.Since(cn.since) < maxIdleTime {
			return cn
		}
		_ = cn.Conn.Close()
	}
	return nil
}

// release keeps cn for reuse, or closes it when enough are idle.
func (c *Client) release(cn *conn) {
	cn.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= maxIdleConns {
		_ = cn.Conn.Close()
		return
	}
	c.idle = append(c.idle, cn)
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle {
		_ = cn.Conn.Close()
	}
	c.idle = nil
}

// Close ends the response; its connection is reused only after a complete body.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	cn := r.conn
	r.conn = nil
	if r.stop() && r.whole && !r.resp.ConnectionClose() {
		r.client.release(cn)
	} else {
		_ = cn.Conn.Close()
	}
	fasthttp.ReleaseResponse(r.resp)
}

// body checks that a body of known length is complete.
type body struct {
	r    *Response
	left int64
}

// Read implements io.Reader; a short body ends with io.ErrUnexpectedEOF.
func (b *body) Read(p []byte) (int, error) {
	stream := b.r.resp.BodyStream()
	if stream == nil || b.left == 0 {
		b.r.whole = true
		return 0, io.EOF
	}
	n, err := stream.Read(p)
	if b.left > 0 {
		b.left -= int64(n)
		if err == io.EOF && b.left > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF && n > 0 {
			err = nil
		}
		return n, err
	}
	if err == io.EOF {
		b.r.whole = true
	}
	return n, err
}

// writeRequest writes req in one flush.
func writeRequest(cn *conn, host string, req *message.Request) error {
	cn.written = 0
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	out.Header.SetMethod(req.Method)
	out.SetRequestURI(req.Path)
	out.Header.SetHost(host)
	for _, h := range req.Headers {
		if !hopByHop(h.Name) {
			out.Header.Add(h.Name, h.Value)
		}
	}
	out.Header.Set("Gentiantrail-Request-Id", req.Trace)
	if req.IdempotencyKey != "" {
		out.Header.Set("Idempotency-Key", req.IdempotencyKey)
	}
	out.SetBodyRaw(req.Body)
	cn.bw.Reset(cn)
	if err := out.Write(cn.bw); err != nil {
		return err
	}
	return cn.bw.Flush()
}

// endToEnd copies the headers that belong to the answer and not to the connection.
func endToEnd(h *fasthttp.ResponseHeader) []message.Header {
	var out []message.Header
	for k, v := range h.All() {
		if !hopByHop(string(k)) {
			out = append(out, message.Header{Name: string(k), Value: string(v)})
		}
	}
	return out
}

// hopByHop reports whether a header belongs to one connection; see RFC 9110, section 7.6.1.
func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
		"trailer", "transfer-encoding", "upgrade", "content-length", "host":
		return true
	default:
		return false
	}
}
