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

	"github.com/gentiantrail/gentiantrail/internal/httpclient"
)

// Options are the limits of a Client. Zero fields take the defaults.
type Options struct {
	// Timeout bounds one call; a watch's wait is added to it. Default 2s.
	Timeout time.Duration
	// MaxCalls bounds the calls in flight, including waiting watches. Default 32.
	MaxCalls int
	// Rate is the process's budget of calls per second. Default 50.
	Rate float64
	// Burst bounds the calls made at once after an idle period. Default 100.
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
// retries a call: the caller resolves an indeterminate outcome.
type Client struct {
	opts     Options
	http     fasthttp.HostClient
	budget   *bucket
	inFlight chan struct{}
	calls    counters
}

var _ Store = (*Client)(nil)

// maxIdleDuration is the longest time that an unused connection is kept. It is shorter
// than the server's idle timeout, so that a write rarely uses a connection that the
// server is closing.
const maxIdleDuration = 5 * time.Second

// NewClient returns a Client of the object API at addr, which has the form host:port.
func NewClient(addr string, opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{
		opts: opts,
		http: fasthttp.HostClient{
			Addr:                      addr,
			Dial:                      dial,
			Transport:                 httpclient.Transport{},
			MaxConns:                  opts.MaxCalls,
			MaxIdleConnDuration:       maxIdleDuration,
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

// dialError is the error of a call that failed before any byte was sent.
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

// call contains the parameters of one HTTP request.
type call struct {
	method    string
	uri       string
	body      []byte
	ifVersion string
	write     bool
	timeout   time.Duration
}

// response contains the parts of an HTTP response that the client uses, or the error
// of a request that got none.
type response struct {
	status  int
	version uint64
	body    []byte
	err     error
}

// do sends req and waits for the response. If ctx ends first, do returns and the call
// finishes in the background.
func (c *Client) do(ctx context.Context, req call) (response, error) {
	select {
	case c.inFlight <- struct{}{}:
	case <-ctx.Done():
		return response{}, ErrUnavailable
	}
	if err := c.budget.take(ctx); err != nil {
		<-c.inFlight
		c.calls.overBudget.Add(1)
		return response{}, err
	}
	done := make(chan response, 1)
	go func() {
		defer func() { <-c.inFlight }()
		done <- c.roundTrip(ctx, req)
	}()
	errIfSent := ErrUnavailable
	if req.write {
		errIfSent = ErrIndeterminate
	}
	select {
	case resp := <-done:
		return resp, c.classify(resp, errIfSent)
	case <-ctx.Done():
		return response{}, errIfSent
	}
}

// classify returns the package's error for resp, or nil on success. It returns errIfSent
// if the request may have been sent and its outcome is unknown.
func (c *Client) classify(resp response, errIfSent error) error {
	var dialErr *dialError
	switch {
	case resp.err == nil:
		return errorOf(resp.status, errIfSent)
	case errors.As(resp.err, &dialErr), errors.Is(resp.err, fasthttp.ErrNoFreeConns):
		return ErrUnavailable
	default:
		return errIfSent
	}
}

func (c *Client) roundTrip(ctx context.Context, r call) response {
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
		return response{err: err}
	}
	version, _ := strconv.ParseUint(string(resp.Header.Peek(HeaderVersion)), 10, 64)
	return response{status: resp.StatusCode(), version: version, body: append([]byte(nil), resp.Body()...)}
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
	resp, err := c.do(ctx, call{method: fasthttp.MethodGet, uri: objectURI(key), timeout: c.opts.Timeout})
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Value: resp.body, Version: resp.version}, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueSize {
		return 0, ErrTooLarge
	}
	c.calls.put.Add(1)
	resp, err := c.do(ctx, call{
		method: fasthttp.MethodPut, uri: objectURI(key), body: append([]byte(nil), value...),
		ifVersion: ifVersionHeader(ifVersion), write: true, timeout: c.opts.Timeout,
	})
	return resp.version, err
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
	err := c.getJSON(ctx, PathList+"?prefix="+url.QueryEscape(prefix), c.opts.Timeout, &result)
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
	err := c.getJSON(ctx, PathWatch+"?"+query.Encode(), wait+c.opts.Timeout, &result)
	return result, err
}

// Instances implements Store.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.calls.instances.Add(1)
	var result []Instance
	err := c.getJSON(ctx, PathInstances, c.opts.Timeout, &result)
	return result, err
}

// getJSON requests uri and decodes the JSON response into v.
func (c *Client) getJSON(ctx context.Context, uri string, timeout time.Duration, v any) error {
	resp, err := c.do(ctx, call{method: fasthttp.MethodGet, uri: uri, timeout: timeout})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.body, v); err != nil {
		return ErrUnavailable
	}
	return nil
}

// Addr returns the address of the object API.
func (c *Client) Addr() string { return c.http.Addr }
