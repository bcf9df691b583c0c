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
	end := bytes.Index(buf, headEnd)
	if end < 0 {
		if len(buf) > limits.Header {
			return nil, 0, &TooLargeError{Part: PartHeader, Limit: limits.Header}
		}
		return nil, 0, nil
	}
	if end > limits.Header {
		return nil, 0, &TooLargeError{Part: PartHeader, Limit: limits.Header}
	}
	r, err := parseRequestHead(buf[:end])
	if err != nil {
		return nil, 0, err
	}
	framing, err := parseFraming(r.Header)
	if err != nil {
		return nil, 0, err
	}
	rest := buf[end+len(headEnd):]
	consumed, err := r.readBody(rest, framing, limits.Body)
	if err != nil || consumed < 0 {
		return nil, 0, err
	}
	return r, end + len(headEnd) + consumed, nil
}

// readBody reads the body at the start of rest. It returns the number of bytes that the
// body takes, or -1 if it is incomplete.
func (r *Request) readBody(rest []byte, f framing, limit int) (int, error) {
	r.HasBody = f.chunked || f.length >= 0
	switch {
	case f.chunked:
		body, consumed, err := decodeChunked(rest, limit)
		r.Body = body
		return consumed, err
	case f.length > int64(limit):
		return -1, &TooLargeError{Part: PartBody, Limit: limit}
	case f.length > int64(len(rest)):
		return -1, nil
	case f.length > 0:
		r.Body = bytes.Clone(rest[:f.length])
		return int(f.length), nil
	default:
		return 0, nil
	}
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

// AwaitsContinue reports whether buf starts with a complete head that asks for an interim
// answer (100 Continue) before the client sends the body.
func AwaitsContinue(buf []byte) bool {
	end := bytes.Index(buf, headEnd)
	if end < 0 {
		return false
	}
	r, err := parseRequestHead(buf[:end])
	return err == nil && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}
