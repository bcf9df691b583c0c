// Package upstream sends requests to targets directly and reports the exact outcome of
// each: not sent, refused before it ran, answered, or unknown. It never repeats a request.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/http1"
	"github.com/gentiantrail/gentiantrail/internal/sockopt"
)

const (
	// dialTimeout bounds connecting: an instance behind a network partition doesn't
	// answer at all, and instances of a region answer within a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// userTimeout bounds the time for which sent data may stay unacknowledged before the
	// connection is closed.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a peer that stops
	// responding.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// bufferSize is the size of a connection's read buffer, in bytes.
	bufferSize = 8 << 10
	// maxInlineWrite is the largest request that is written before its answer is read,
	// in bytes: it fits a socket's send buffer, so that the write doesn't block.
	maxInlineWrite = 16 << 10
	// maxIdleTime is the idle time after which a connection is closed, unless the target
	// states a shorter time.
	maxIdleTime = 8 * time.Second
	// idleTimeMargin is the time by which a connection is closed earlier than the target
	// states that it closes it.
	idleTimeMargin = time.Second
	// maxExtraAnswers is the number of answers to other requests after which the
	// connection is closed.
	maxExtraAnswers = 3
	// maxExtraAnswerBytes bounds the body of such an answer, in bytes.
	maxExtraAnswerBytes = 256 << 10
)

// HeaderNames contains the names of the header fields that targets use.
type HeaderNames struct {
	// Attempt names the field that echoes the attempt id of the request.
	Attempt string
	// NotExecuted names the field that states that the target did not run the request.
	NotExecuted string
}

// Client keeps connections to targets. It is safe for concurrent use.
type Client struct {
	names HeaderNames

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
}

// New returns a client without connections.
func New(names HeaderNames) *Client {
	return &Client{names: names, idle: make(map[string][]*conn), open: make(map[string]int)}
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	addr string
	br   *bufio.Reader
	// idleSince and idleFor determine until when the connection may be reused.
	idleSince time.Time
	idleFor   time.Duration
	// served is the number of answers read from the connection.
	served int
	// carried contains hashes of the attempt ids of the last calls, the next of which replaces the
	// one at carriedNext.
	carried     [maxCarried]uint64
	carriedNext int
}

// maxCarried is the number of calls whose attempt ids a connection remembers: the same id is sent to
// a target again only shortly after the first time.
const maxCarried = 16

var idSeed = maphash.MakeSeed()

func hashID(attempt string) uint64 { return maphash.String(idSeed, attempt) }

// hasCarried reports whether a call with the attempt id was sent on the connection. A second one must
// not be, since an answer to the first that the target writes once more would fit.
func (cn *conn) hasCarried(attempt string) bool {
	return slices.Contains(cn.carried[:], hashID(attempt))
}

func (cn *conn) recordCall(attempt string) {
	cn.carried[cn.carriedNext] = hashID(attempt)
	cn.carriedNext = (cn.carriedNext + 1) % maxCarried
}

// Call is one request to one target.
type Call struct {
	// Addr is the target's IP address and port.
	Addr    string
	Request *http1.Request
	// Attempt is the attempt id that the answer must echo. A call without one gets a new
	// connection, as its answer could not be told from a late one.
	Attempt string
	// MaxConns bounds the connections to the target; zero means no bound.
	MaxConns int
	// MaxIdle is the longest time that a kept connection may have been idle; zero requests
	// a new connection.
	MaxIdle time.Duration
}

// Do sends a request and reads the head of its answer. Cancelling the context ends the
// call by resetting its connection, also while the body is read.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, *Failure) {
	cn, err := c.acquire(ctx, &call)
	if err != nil {
		return nil, &Failure{Stage: StageConnect, Cause: err}
	}
	cn.recordCall(call.Attempt)
	stop := context.AfterFunc(ctx, cn.reset)
	a := &Answer{client: c, conn: cn, stop: stop}
	if err := a.send(&call); err != nil {
		a.Abort()
		return nil, &Failure{Stage: StageSent, SentAt: a.SentAt, Cause: err}
	}
	if err := a.receive(&call); err != nil {
		a.Abort()
		return nil, &Failure{Stage: StageSent, SentAt: a.SentAt, Reused: cn.served > 0, Cause: err}
	}
	return a, nil
}

// acquire returns a kept connection that still appears usable, or a new one.
func (c *Client) acquire(ctx context.Context, call *Call) (*conn, error) {
	for call.MaxIdle > 0 && call.Attempt != "" {
		cn := c.takeIdle(call.Addr, call.Attempt)
		if cn == nil {
			break
		}
		if idle := time.Since(cn.idleSince); idle < cn.idleFor && idle <= call.MaxIdle && cn.reusable() {
			return cn, nil
		}
		c.closeConn(cn)
	}
	if !c.reserve(call.Addr, call.MaxConns) {
		return nil, ErrConnectionLimit
	}
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		Control:         sockopt.UserTimeout(userTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	raw, err := dialer.DialContext(ctx, "tcp4", call.Addr)
	if err != nil {
		c.release(call.Addr)
		return nil, err
	}
	return &conn{Conn: raw, addr: call.Addr, br: bufio.NewReaderSize(raw, bufferSize)}, nil
}

// ErrConnectionLimit means that the target already has the maximum number of connections.
var ErrConnectionLimit = errors.New("the limit of connections to the target is reached")

func (c *Client) reserve(addr string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit > 0 && c.open[addr] >= limit {
		return false
	}
	c.open[addr]++
	return true
}

func (c *Client) release(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[addr]--; c.open[addr] <= 0 {
		delete(c.open, addr)
	}
}

// setUserTimeout changes the time for which sent data may stay unacknowledged.
func (cn *conn) setUserTimeout(d time.Duration) error {
	tcp, ok := cn.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return sockopt.SetUserTimeout(tcp, d)
}

// reset closes the connection with a reset, so that bytes which the target has not
// acknowledged yet, for example behind a partition, are not sent again.
func (cn *conn) reset() {
	if tcp, ok := cn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	_ = cn.Conn.Close()
}

// closeConn closes a connection, which then no longer counts for its target's limit.
func (c *Client) closeConn(cn *conn) {
	_ = cn.Conn.Close()
	c.release(cn.addr)
}

// takeIdle removes and returns the idle connection that was used last and has not carried the
// attempt id, or returns nil.
func (c *Client) takeIdle(addr, attempt string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if cn := list[i]; !cn.hasCarried(attempt) {
			c.idle[addr] = slices.Delete(list, i, i+1)
			return cn
		}
	}
	return nil
}

// HasOpenIdle reports whether an idle connection to the target is open, so that its process runs.
func (c *Client) HasOpenIdle(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.idle[addr], (*conn).reusable)
}

// putIdle makes a connection available for reuse after a complete answer.
func (c *Client) putIdle(cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

// Sweep closes idle connections that exceed their idle time, and those to addresses that
// are no longer used.
func (c *Client) Sweep(used func(addr string) bool) {
	var stale []*conn
	now := time.Now()
	c.mu.Lock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Sub(cn.idleSince) < cn.idleFor && used(addr) {
				kept = append(kept, cn)
			} else {
				stale = append(stale, cn)
			}
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = kept
		}
	}
	c.mu.Unlock()
	for _, cn := range stale {
		c.closeConn(cn)
	}
}

// reusable reports whether an idle connection is open and has no unread bytes. Bytes that
// arrive while no request is waiting belong to no request.
func (cn *conn) reusable() bool {
	return cn.br.Buffered() == 0 && sockopt.IsQuiet(cn.Conn)
}

// idleTime returns the time for which an idle connection may be kept: the target's stated
// time less idleTimeMargin, at most maxIdleTime.
func idleTime(h http1.Header) time.Duration {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if d, err := time.ParseDuration(value + "s"); err == nil {
			return min(maxIdleTime, max(0, d-idleTimeMargin))
		}
	}
	return maxIdleTime
}
