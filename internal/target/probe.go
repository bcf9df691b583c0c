package target

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/http1"
)

// Probe checks the health of a target over one connection that it keeps open between
// the checks, so that the end of the target's process is noticed at once. It must be
// used by one goroutine only.
type Probe struct {
	client *Client
	conn   net.Conn
	br     *bufio.Reader
}

// NewProbe returns a Probe of the client's target.
func (c *Client) NewProbe() *Probe { return &Probe{client: c} }

// Get requests path and returns the status and the body, which has at most limit bytes.
func (p *Probe) Get(ctx context.Context, path string, timeout time.Duration, limit int) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if p.conn == nil {
		conn, err := p.client.dial(ctx)
		if err != nil {
			return 0, nil, err
		}
		p.conn, p.br = conn, bufio.NewReader(conn)
	}
	deadline, _ := ctx.Deadline()
	_ = p.conn.SetDeadline(deadline)
	status, body, err := p.exchange(path, limit)
	if err != nil {
		p.Close()
	}
	return status, body, err
}

// exchange sends one request and reads its answer.
func (p *Probe) exchange(path string, limit int) (int, []byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(path)
	req.Header.SetHost(p.client.addr)
	bw := bufio.NewWriter(p.conn)
	if err := req.Write(bw); err != nil {
		return 0, nil, err
	}
	if err := bw.Flush(); err != nil {
		return 0, nil, err
	}
	resp, err := http1.ReadResponse(p.br, fasthttp.MethodGet)
	if err != nil {
		return 0, nil, err
	}
	body, err := resp.ReadBody(limit)
	if err != nil {
		return 0, nil, err
	}
	if !resp.KeepAlive {
		p.Close()
	}
	return resp.Status, body, nil
}

// Wait waits for d or the end of ctx. It returns true at once when the target closes
// the connection or sends unexpected bytes; without a connection it only waits.
func (p *Probe) Wait(ctx context.Context, d time.Duration) (closed bool) {
	if p.conn == nil {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
		return false
	}
	conn := p.conn
	_ = conn.SetReadDeadline(time.Now().Add(d))
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	_, err := p.br.Peek(1)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	p.Close() // the target closed the connection or sent bytes without a request
	return true
}

// Close closes the connection; the next Get opens a new one.
func (p *Probe) Close() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}
