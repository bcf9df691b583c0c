// Package target calls one target over HTTP and reports exactly whether a request
// may have reached it.
//
// A non-idempotent request is always sent on a new connection, so that a failed dial
// proves that the target did not receive it. This package never repeats a request.
package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/http1"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/sockopt"
	"github.com/gentiantrail/gentiantrail/internal/upstream"
)

const (
	// dialTimeout bounds the time to connect to a target on the same instance.
	dialTimeout = 2 * time.Second
	// maxIdleConns is the maximum number of idle connections kept to the target.
	maxIdleConns = 64
	// maxIdleTime is the time after which an idle connection is no longer reused.
	maxIdleTime = 10 * time.Second
	// bufferSize is the size of the read buffer and of the write buffer of a connection in bytes.
	bufferSize = 8 << 10
	// maxBodyBytes bounds the body of an answer, in bytes.
	maxBodyBytes = 256 << 20
)

// requestIDHeader contains the id of a request. A target that returns it in its answer shows to which
// request the answer belongs.
const requestIDHeader = "Gentiantrail-Request-Id"

// errBodyTooLong reports an answer whose body exceeds maxBodyBytes.
var errBodyTooLong = errors.New("the answer's body is too long")

// errForeignAnswer reports an answer that belongs to another request.
var errForeignAnswer = errors.New("the answer does not have the id of the request")

// Client calls one target. It is safe for concurrent use.
type Client struct {
	addr string

	mu   sync.Mutex
	idle []*conn
}

// New returns a client of the target at addr.
func New(addr string) *Client { return &Client{addr: addr} }

// conn is one connection with its buffers and the number of bytes written since the
// start of the current request.
type conn struct {
	net.Conn
	br        *bufio.Reader
	bw        *bufio.Writer
	written   int64
	idleSince time.Time
	// reused is true if the connection has served a request before.
	reused bool
}

// quiet reports whether an idle connection is open and has no unread bytes. Bytes that arrive while
// no request is waiting belong to no request.
func (c *conn) quiet() bool { return c.br.Buffered() == 0 && sockopt.IsQuiet(c.Conn) }

// Write writes to the socket and counts the bytes that it accepted.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// Response is the answer of a target. Close must be called when it is no longer needed.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Headers are the end-to-end headers.
	Headers []message.Header
	// Length is the body's length in bytes, or -1 if the target streams.
	Length int64
	// Body returns io.EOF only after the complete body.
	Body io.Reader

	client   *Client
	conn     *conn
	stop     func() bool
	complete bool
	// keepAlive is true if the target allows another request on the connection.
	keepAlive bool
	// echoed is true if the answer contains the id of the request.
	echoed bool
}

// Do sends req and reads the head of the answer. Cancelling the context closes the
// connection, also while the body is being read. A failure of KindTargetUnreachable
// proves that no byte of the request was written.
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
		return nil, transportError(ctx, err)
	}
	resp, err := http1.ReadResponse(cn.br, req.Method)
	if err != nil {
		stop()
		_ = cn.Conn.Close()
		return nil, transportError(ctx, err)
	}
	echo := resp.Header.Get(requestIDHeader)
	if echo != req.RequestID && (cn.reused || echo != "") {
		stop()
		_ = cn.Conn.Close()
		return nil, apierr.Wrap(apierr.KindTargetFailed, "target", errForeignAnswer)
	}
	r := &Response{
		Status: resp.Status, Headers: endToEnd(resp.Header), Length: resp.Length,
		client: c, conn: cn, stop: stop, keepAlive: resp.KeepAlive, echoed: echo != "",
	}
	if resp.EndsWithConnection {
		r.Close()
		return nil, apierr.New(apierr.KindTruncated, "the target's answer has neither a length nor chunks")
	}
	r.Body = &body{r: r, reader: resp.Body}
	return r, nil
}

// transportError returns the failure for a transport error after bytes were written.
func transportError(ctx context.Context, err error) *apierr.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return apierr.Wrap(apierr.KindTimeout, "target", err)
	}
	if ctx.Err() != nil {
		return apierr.Wrap(apierr.KindCancelled, "target", err)
	}
	return apierr.Wrap(apierr.KindTargetFailed, "target", err)
}

// Ended reports whether the target refuses connections, which shows that its process has ended.
func (c *Client) Ended(ctx context.Context) bool {
	return upstream.Probe(ctx, c.addr) == upstream.Refused
}

// acquire returns a connection: an idle one if reuse is set and there is one, otherwise
// a new one.
func (c *Client) acquire(ctx context.Context, reuse bool) (*conn, error) {
	if reuse {
		if cn := c.popIdle(); cn != nil {
			return cn, nil
		}
	}
	raw, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: raw, br: bufio.NewReaderSize(raw, bufferSize)}
	cn.bw = bufio.NewWriterSize(cn, bufferSize)
	return cn, nil
}

// dial opens a connection to the target.
func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", c.addr)
}

// popIdle returns the most recently used idle connection, or nil.
func (c *Client) popIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		cn := c.idle[last]
		c.idle = c.idle[:last]
		if time.Since(cn.idleSince) < maxIdleTime && cn.quiet() {
			cn.reused = true
			return cn
		}
		_ = cn.Conn.Close()
	}
	return nil
}

// release keeps cn for reuse, or closes it if maxIdleConns connections are already idle.
func (c *Client) release(cn *conn) {
	cn.idleSince = time.Now()
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

// Close ends the response. Its connection is kept for reuse only if the body was read
// completely and the answer contains the id of the request: on a kept connection, a second copy of
// an answer could otherwise be taken for the next one.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	cn := r.conn
	r.conn = nil
	if r.stop() && r.complete && r.echoed && r.keepAlive && cn.quiet() {
		r.client.release(cn)
	} else {
		_ = cn.Conn.Close()
	}
}

// body reads the body of a response, which has at most maxBodyBytes.
type body struct {
	r      *Response
	reader io.Reader
	// read is the number of bytes that were read.
	read int64
}

// Read implements io.Reader. A body whose connection ends early ends with http1.ErrUnexpectedEnd.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if b.read += int64(n); b.read > maxBodyBytes {
		return 0, errBodyTooLong
	}
	if errors.Is(err, io.EOF) {
		b.r.complete = true
	}
	return n, err
}

// writeRequest writes req to the connection through its buffer.
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
	out.Header.Set(requestIDHeader, req.RequestID)
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

// endToEnd returns the headers that belong to the answer and not to the connection.
func endToEnd(h http1.Header) []message.Header {
	var out []message.Header
	for _, f := range h {
		if !hopByHop(f.Name) && !strings.EqualFold(f.Name, requestIDHeader) {
			out = append(out, message.Header(f))
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
