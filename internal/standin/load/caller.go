package load

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// verdict is how one request ended for its caller.
type verdict uint8

const (
	// complete: the whole answer to the caller's own request.
	complete verdict = iota
	// notRun: refused; the caller was told that it did not run.
	notRun
	// unknown: the caller was told that it may have run.
	unknown
	// failed: a complete error answer of a run that happened.
	failed
	// broken: the answer ended early, visibly.
	broken
	// wrong: the answer looked complete but was not the caller's own or not whole.
	wrong
	verdicts
)

var verdictNames = [verdicts]string{"complete", "not-run", "unknown", "failed", "broken", "wrong"}

// String returns the verdict's name.
func (v verdict) String() string { return verdictNames[v] }

// reply is one request's result.
type reply struct {
	verdict   verdict
	kind      string
	firstByte time.Duration
	total     time.Duration
}

// caller sends requests to one entry.
type caller struct{ http *fasthttp.HostClient }

// longestWait bounds a request without a timeout of its own.
const longestWait = 2 * time.Minute

func newCaller(addr string, maxOpen int) *caller {
	return &caller{http: &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  maxOpen,
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       5 * time.Second,
		ReadTimeout:               longestWait,
	}}
}

// errNotConnected means that no request was sent, as a balancer would see.
var errNotConnected = errors.New("not connected")

// call sends one request and reads its answer.
func (c *caller) call(j *Job, key, mark string) (reply, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(j.Method)
	req.SetRequestURI("http://" + c.http.Addr + j.Path)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Mark", mark)
	if j.Timeout != "" {
		req.Header.Set("Gentiantrail-Timeout", j.Timeout)
	}
	if j.Keyed {
		req.Header.Set("Idempotency-Key", mark)
	}
	req.SetBodyString(j.Body)
	start := time.Now()
	if err := c.http.Do(req, resp); err != nil {
		if errors.Is(err, fasthttp.ErrDialTimeout) || isDialError(err) {
			return reply{}, errNotConnected
		}
		return reply{verdict: broken, kind: "transport", total: time.Since(start)}, nil
	}
	r := read(resp, mark, start)
	r.total = time.Since(start)
	return r, nil
}

// read reads an answer and judges it.
func read(resp *fasthttp.Response, mark string, start time.Time) reply {
	r := reply{kind: string(resp.Header.Peek("Gentiantrail-Error"))}
	body, first, err := readBody(resp, start)
	r.firstByte = first
	outcome := string(resp.Header.Peek("Gentiantrail-Outcome"))
	switch {
	case err != nil:
		r.verdict = broken
	case outcome == "not-run":
		r.verdict = notRun
	case outcome == "unknown":
		r.verdict = unknown
	case resp.StatusCode() != fasthttp.StatusOK:
		r.verdict = failed
	case !own(resp, body, mark):
		r.verdict = wrong
	}
	return r
}

// readBody reads the whole body and returns the time to its first byte.
func readBody(resp *fasthttp.Response, start time.Time) ([]byte, time.Duration, error) {
	stream := resp.BodyStream()
	if stream == nil {
		return resp.Body(), time.Since(start), nil
	}
	defer func() { _ = resp.CloseBodyStream() }()
	buf := make([]byte, 4<<10)
	n, err := stream.Read(buf)
	first := time.Since(start)
	body := append([]byte(nil), buf[:n]...)
	for err == nil {
		n, err = stream.Read(buf)
		body = append(body, buf[:n]...)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return body, first, err
}

// own tells whether a complete answer carries the request's own mark throughout.
func own(resp *fasthttp.Response, body []byte, mark string) bool {
	quoted := []byte(`"mark":"` + mark + `"`)
	if !bytes.HasPrefix(resp.Header.ContentType(), []byte("text/event-stream")) {
		return bytes.Contains(body, quoted)
	}
	events := bytes.Count(body, []byte("data: "))
	return bytes.Count(body, quoted) == events-1 && bytes.HasSuffix(body, []byte("data: [DONE]\n\n"))
}
