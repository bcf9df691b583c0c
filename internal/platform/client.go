package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Options are the limits of a Client. Zero fields take the defaults.
type Options struct {
	// Timeout bounds one call, a watch's wait not counted. Default 2s.
	Timeout time.Duration
	// MaxCalls is the most calls in flight, waiting watches included. Default 32.
	MaxCalls int
	// Rate is the process's budget of calls per second. Default 50.
	Rate float64
	// Burst is the most calls at once after a quiet time. Default 100.
	Burst int
}

func (o Options) withDefaults() Options {
	if o.Timeout == 0 {
		o.Timeout = 2 * time.Second
	}
	if o.MaxCalls == 0 {
		o.MaxCalls = 32
	}
	if o.Rate == 0 {
		o.Rate = 50
	}
	if o.Burst == 0 {
		o.Burst = 100
	}
	return o
}

// Client implements Store over HTTP. It is safe for concurrent use. It never
// repeats a call: what an unclear outcome means is the caller's to settle.
type Client struct {
	opts     Options
	http     fasthttp.HostClient
	budget   *bucket
	inFlight chan struct{}
	calls    counters
}

var _ Store = (*Client)(nil)

// maxIdleConn is shorter than the server's idle timeout, so that a write seldom
// meets a connection that the server is closing.
const maxIdleConn = 5 * time.Second

// NewClient returns a Client for the object API at addr, host:port.
func NewClient(addr string, opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{
		opts: opts,
		http: fasthttp.HostClient{
			Addr:                      addr,
			Dial:                      dial,
			MaxConns:                  opts.MaxCalls,
			MaxIdleConnDuration:       maxIdleConn,
			MaxResponseBodySize:       64 << 20,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			DisablePathNormalizing:    true,
		},
		budget:   newBucket(opts.Rate, opts.Burst),
		inFlight: make(chan struct{}, opts.MaxCalls),
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dialError marks a call that failed before any byte was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "platform: dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func dial(addr string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(addr, time.Second)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// call is one HTTP request and the part of its answer that the client uses.
type call struct {
	method    string
	uri       string
	body      []byte
	ifVersion string
	write     bool
	timeout   time.Duration
}

type answer struct {
	status  int
	version uint64
	body    []byte
	err     error
}

// do sends c. A call that ends with ctx is left to finish in the background.
func (c *Client) do(ctx context.Context, req call) (answer, error) {
	select {
	case c.inFlight <- struct{}{}:
	case <-ctx.Done():
		return answer{}, ErrUnavailable
	}
	if err := c.budget.take(ctx); err != nil {
		<-c.inFlight
		c.calls.overBudget.Add(1)
		return answer{}, err
	}
	done := make(chan answer, 1)
	go func() {
		defer func() { <-c.inFlight }()
		done <- c.roundTrip(ctx, req)
	}()
	unknown := ErrUnavailable
	if req.write {
		unknown = ErrUnclear
	}
	select {
	case a := <-done:
		return a, c.classify(a, unknown)
	case <-ctx.Done():
		return answer{}, unknown
	}
}

// classify maps a's failure; unknown is returned if the request may have been sent.
func (c *Client) classify(a answer, unknown error) error {
	var dialErr *dialError
	switch {
	case a.err == nil:
		return errorOf(a.status, unknown)
	case errors.As(a.err, &dialErr), errors.Is(a.err, fasthttp.ErrNoFreeConns):
		return ErrUnavailable
	default:
		return unknown
	}
}

func (c *Client) roundTrip(ctx context.Context, r call) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://" + c.http.Addr + r.uri)
	req.SetBodyRaw(r.body)
	if r.ifVersion != "" {
		req.Header.Set(HeaderIfVersion, r.ifVersion)
	}
	deadline := time.Now().Add(r.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return answer{err: err}
	}
	version, _ := strconv.ParseUint(string(resp.Header.Peek(HeaderVersion)), 10, 64)
	return answer{status: resp.StatusCode(), version: version, body: append([]byte(nil), resp.Body()...)}
}

func objectURI(key string) string {
	return PathObjects + (&url.URL{Path: key}).EscapedPath()
}

func ifVersionHeader(v uint64) string {
	if v == AnyVersion {
		return ""
	}
	return strconv.FormatUint(v, 10)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	c.calls.get.Add(1)
	a, err := c.do(ctx, call{method: fasthttp.MethodGet, uri: objectURI(key), timeout: c.opts.Timeout})
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Value: a.body, Version: a.version}, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueSize {
		return 0, ErrTooLarge
	}
	c.calls.put.Add(1)
	a, err := c.do(ctx, call{
		method: fasthttp.MethodPut, uri: objectURI(key), body: append([]byte(nil), value...),
		ifVersion: ifVersionHeader(ifVersion), write: true, timeout: c.opts.Timeout,
	})
	return a.version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	c.calls.delete.Add(1)
	_, err := c.do(ctx, call{
		method: fasthttp.MethodDelete, uri: objectURI(key),
		ifVersion: ifVersionHeader(ifVersion), write: true, timeout: c.opts.Timeout,
	})
	return err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (ListResult, error) {
	c.calls.list.Add(1)
	var result ListResult
	err := c.read(ctx, PathList+"?prefix="+url.QueryEscape(prefix), c.opts.Timeout, &result)
	return result, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (WatchResult, error) {
	c.calls.watch.Add(1)
	query := url.Values{
		"prefix":   {prefix},
		"revision": {strconv.FormatUint(revision, 10)},
		"wait":     {wait.String()},
	}
	var result WatchResult
	err := c.read(ctx, PathWatch+"?"+query.Encode(), wait+c.opts.Timeout, &result)
	return result, err
}

// Instances implements Store.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.calls.instances.Add(1)
	var result []Instance
	err := c.read(ctx, PathInstances, c.opts.Timeout, &result)
	return result, err
}

// read gets uri and decodes its JSON answer into v.
func (c *Client) read(ctx context.Context, uri string, timeout time.Duration, v any) error {
	a, err := c.do(ctx, call{method: fasthttp.MethodGet, uri: uri, timeout: timeout})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.body, v); err != nil {
		return ErrUnavailable
	}
	return nil
}

// Addr returns the address of the object API.
func (c *Client) Addr() string { return c.http.Addr }
