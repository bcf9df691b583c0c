package http1

import (
	"net/http"
	"strconv"
)

// AppendRequest appends a request with its body, framed by Content-Length.
func AppendRequest(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = AppendFields(b, r.Header)
	if r.HasBody {
		b = appendLength(b, len(r.Body))
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}

// AppendStatus appends a status line. An empty reason is replaced by the standard text of
// the status.
func AppendStatus(b []byte, status int, reason string) []byte {
	if reason == "" {
		reason = http.StatusText(status)
	}
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	return append(b, "\r\n"...)
}

// AppendFields appends header lines, without the blank line that ends the head.
func AppendFields(b []byte, h Header) []byte {
	for _, f := range h {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	return b
}

// AppendLengthAndBody appends the Content-Length field, the blank line that ends the head,
// and the body.
func AppendLengthAndBody(b, body []byte) []byte {
	b = appendLength(b, len(body))
	b = append(b, "\r\n"...)
	return append(b, body...)
}

func appendLength(b []byte, n int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\r\n"...)
}

// AppendChunk appends one chunk; data must not be empty.
func AppendChunk(b, data []byte) []byte {
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// LastChunk ends a chunked body.
const LastChunk = "0\r\n\r\n"
