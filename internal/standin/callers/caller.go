package callers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	connectTimeout = 2 * time.Second
	// answerGrace is how long a Caller waits for an answer after the request's timeout.
	answerGrace = 5 * time.Second
	// defaultTimeout bounds the exchange of a request without a timeout.
	defaultTimeout = 60 * time.Second
	idleTimeout    = 5 * time.Second
	maxAnswerBytes = 16 << 20
)

// Caller sends requests over HTTP. It never resends a request that has a body on its own.
type Caller struct {
	client *http.Client
}

// NewCaller returns a Caller that keeps up to the given number of idle connections
// to each entry. Without keepAlive, each request opens a new connection, so that
// a connection closed while idle cannot be mistaken for one closed during the request.
func NewCaller(keepAlive bool, connections int) *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
	}}}
}

// Do sends r to the entry at addr and reads the whole answer.
func (c *Caller) Do(ctx context.Context, addr string, r Request) Result {
	timeout := defaultTimeout
	if r.Timeout > 0 {
		timeout = r.Timeout + answerGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res := Result{Request: r, Entry: addr, SentAt: time.Now()}
	c.exchange(ctx, &res)
	res.Duration = time.Since(res.SentAt)
	return res
}

// DoVia sends r to the entries of b in turn and skips those that refuse the connection,
// as the platform's load balancer does.
func (c *Caller) DoVia(ctx context.Context, b *Balancer, r Request) Result {
	res := Result{Request: r, SentAt: time.Now(), Verdict: Unreached, Detail: "no entry is in service"}
	for _, addr := range b.order() {
		res = c.Do(ctx, addr, r)
		if res.Verdict != Unreached {
			break
		}
	}
	return res
}

// exchange sends the request of res and stores the answer in res.
func (c *Caller) exchange(ctx context.Context, res *Result) {
	req, err := newHTTPRequest(ctx, res.Entry, res.Request)
	if err != nil {
		res.Verdict, res.Detail = Unreached, err.Error()
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		res.Verdict, res.Detail = NoAnswer, err.Error()
		if errors.Is(err, syscall.ECONNREFUSED) {
			res.Verdict = Unreached
		}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	res.Status = resp.StatusCode
	res.Kind = resp.Header.Get("Gentiantrail-Error")
	res.Outcome = resp.Header.Get("Gentiantrail-Outcome")
	res.RequestID = resp.Header.Get("Gentiantrail-Request-Id")
	timed := &timedReader{Reader: io.LimitReader(resp.Body, maxAnswerBytes)}
	body, err := io.ReadAll(timed)
	if !timed.first.IsZero() {
		res.FirstByte = timed.first.Sub(res.SentAt)
	}
	res.Verdict, res.Detail = classify(res, body, err)
}

// timedReader records when the first byte was read.
type timedReader struct {
	io.Reader
	first time.Time
}

// Read implements io.Reader.
func (t *timedReader) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	if n > 0 && t.first.IsZero() {
		t.first = time.Now()
	}
	return n, err
}

func newHTTPRequest(ctx context.Context, addr string, r Request) (*http.Request, error) {
	body := fmt.Sprintf(`{"mark":%q}`, r.Mark)
	if r.Tokens > 0 {
		body = fmt.Sprintf(`{"mark":%q,"max_tokens":%d,"stream":%t}`, r.Mark, r.Tokens, r.Stream)
	}
	if r.Method == http.MethodGet {
		body = ""
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.Path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, the transport does not resend the request when a reused
	// connection breaks.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+r.APIKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Mark", r.Mark)
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if r.Timeout > 0 {
		req.Header.Set("Gentiantrail-Timeout", r.Timeout.String())
	}
	return req, nil
}
