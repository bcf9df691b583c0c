package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, path string
	headers          []string
	body             string
	// budget is the time that the client waits.
	budget time.Duration
}

// answer is what the client got.
type answer struct {
	status     int
	header     http.Header
	body       string
	err        error
	sent, done time.Time
}

func (a *answer) took() time.Duration { return a.done.Sub(a.sent) }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send makes a request on a new connection and reads its answer.
func send(addr string, q request) (a answer) {
	a.sent = time.Now()
	defer func() { a.done = time.Now() }()
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(a.sent.Add(q.budget))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: %d\r\nConnection: close\r\n",
		q.method, q.path, host, q.id, q.budget.Milliseconds())
	for _, h := range q.headers {
		head += h + "\r\n"
	}
	if q.body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"+q.body); err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
	return a
}

// result describes an answer for the record.
func (a *answer) result() string {
	var timeout net.Error
	switch {
	case errors.As(a.err, &timeout) && timeout.Timeout():
		return "no answer: the client has given up"
	case a.err != nil:
		return "failed: " + strings.ReplaceAll(a.err.Error(), "\n", " ")
	case a.header.Get("Retry-After") != "":
		return fmt.Sprintf("status %d, Retry-After %s", a.status, a.header.Get("Retry-After"))
	default:
		return fmt.Sprintf("status %d, %d bytes", a.status, len(a.body))
	}
}

// host is the name that all routes have.
const host = "review.example"
