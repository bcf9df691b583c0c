package http1

import (
	"bytes"
	"strings"
)

// Request is one complete request.
type Request struct {
	Method string
	// Target is the request target as sent: path and query.
	Target string
	Header Header
	Body   []byte
	// HasBody is true if the request declared a body, even an empty one.
	HasBody bool
	// KeepAlive is true if the client may send another request on the connection.
	KeepAlive bool
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Limits bound the sizes of a request's header and body, in bytes.
type Limits struct {
	Header int
	Body   int
}

// ParseRequest parses one request at the start of buf and returns the number of bytes that
// it takes. Zero means that the request is incomplete.
func ParseRequest(buf []byte, limits Limits) (*Request, int, error) {
	var r RequestReader
	n, err := r.Read(buf, limits)
	if err != nil || r.Complete() == nil {
		return nil, 0, err
	}
	return r.Complete(), n, nil
}

func parseRequestHead(head []byte) (*Request, error) {
	line, block, _ := bytes.Cut(head, []byte("\r\n"))
	parts := strings.Split(string(line), " ")
	if len(parts) != 3 || !isToken([]byte(parts[0])) {
		return nil, &SyntaxError{Reason: "the request line is not a method, a target and a protocol"}
	}
	if parts[2] != "HTTP/1.1" {
		return nil, &SyntaxError{Reason: "the protocol is not HTTP/1.1"}
	}
	if !validTarget(parts[1]) {
		return nil, &SyntaxError{Reason: "the request target is not a path"}
	}
	if bytes.Count(block, []byte("\r\n")) >= maxRequestFields {
		return nil, &TooLargeError{Part: PartHeader, Limit: maxRequestFields}
	}
	h, err := parseFields(block)
	if err != nil {
		return nil, err
	}
	r := &Request{Method: parts[0], Target: parts[1], Header: h}
	r.KeepAlive = !h.HasConnectionToken("close")
	return r, checkHost(h)
}

func validTarget(target string) bool {
	if !strings.HasPrefix(target, "/") {
		return false
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] > '~' {
			return false
		}
	}
	return true
}

// checkHost requires exactly one Host field (RFC 9112, section 3.2).
func checkHost(h Header) error {
	hosts := 0
	for _, f := range h {
		if strings.EqualFold(f.Name, "Host") {
			hosts++
		}
	}
	if hosts != 1 {
		return &SyntaxError{Reason: "expected exactly one Host field"}
	}
	return nil
}

// AwaitsContinue reports whether the client sends the body only after an interim answer (100
// Continue).
func (r *Request) AwaitsContinue() bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}
