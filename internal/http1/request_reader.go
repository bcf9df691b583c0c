package http1

import (
	"bytes"
	"unsafe"
)

const (
	// maxRequestFields bounds the header fields of a request: each takes several times the
	// memory of the shortest line that holds it.
	maxRequestFields = 256
	// maxTrailerFields bounds the trailer fields of a request.
	maxTrailerFields = 64
	// minBodyBuffer is the size in bytes with which the buffer of a longer body begins.
	minBodyBuffer = 4 << 10
	// lengthGrowth bounds the buffer of a body of known length, as a multiple of the bytes that
	// have arrived: a body of some pieces is copied at most once, and a caller that sends little
	// causes no large buffer.
	lengthGrowth = 4
)

// readState is the part of a request that the next bytes belong to.
type readState uint8

const (
	readHeadLines readState = iota
	readLength
	readChunkSize
	readChunkData
	readChunkEnd
	readTrailer
	readComplete
)

// RequestReader reads one request from bytes that arrive in pieces. Its cost is proportional to
// the number of bytes. The zero value is ready for use.
type RequestReader struct {
	state readState
	req   *Request
	// pending contains the bytes of the incomplete head, or of an incomplete line of a chunked
	// body.
	pending []byte
	// remaining is the number of bytes of the body, or of the chunk, that have not arrived.
	remaining int64
	// trailerFields and trailerBytes describe the trailer so far.
	trailerFields, trailerBytes int
}

// Read reads bytes up to the end of the request and returns their number. It retains no part of
// buf. Once Request returns a request whose Complete is true, or after an error, it must not be
// called again. The error is a *SyntaxError or a *TooLargeError.
func (r *RequestReader) Read(buf []byte, limits Limits) (int, error) {
	pos := 0
	for pos < len(buf) && r.state != readComplete {
		n, err := r.step(buf[pos:], limits)
		pos += n
		if err != nil {
			return pos, err
		}
	}
	return pos, nil
}

// step reads bytes of one part of the request; buf must not be empty.
func (r *RequestReader) step(buf []byte, limits Limits) (int, error) {
	switch r.state {
	case readHeadLines:
		return r.readHead(buf, limits)
	case readLength:
		n := r.readData(buf, limits.Body)
		if r.remaining == 0 {
			r.state = readComplete
		}
		return n, nil
	case readChunkData:
		n := r.readData(buf, limits.Body)
		if r.remaining == 0 {
			r.state = readChunkEnd
		}
		return n, nil
	default:
		return r.readChunkLine(buf, limits)
	}
}

// Head returns the request without its body once its head has been read, and nil before.
func (r *RequestReader) Head() *Request { return r.req }

// Complete returns the request once it has been read to its end, and nil before.
func (r *RequestReader) Complete() *Request {
	if r.state != readComplete {
		return nil
	}
	return r.req
}

// Held returns the number of bytes of memory that the request takes so far.
func (r *RequestReader) Held() int64 {
	held := int64(cap(r.pending))
	if r.req != nil {
		held += r.req.Held()
	}
	return held
}

// readHead reads up to the end of the head.
func (r *RequestReader) readHead(buf []byte, limits Limits) (int, error) {
	head, end, n := buf, -1, 0
	if len(r.pending) == 0 {
		end = bytes.Index(buf, headEnd)
		n = end + len(headEnd)
	} else {
		old := len(r.pending)
		// What lies behind the largest head is not kept.
		r.pending = append(r.pending, buf[:min(len(buf), max(0, limits.Header+len(headEnd)-old))]...)
		head = r.pending
		from := max(0, old-len(headEnd)+1)
		if i := bytes.Index(head[from:], headEnd); i >= 0 {
			end = from + i
			n = end + len(headEnd) - old
		}
	}
	if end > limits.Header || end < 0 && len(head) >= limits.Header+len(headEnd) {
		return 0, &TooLargeError{Part: PartHeader, Limit: limits.Header}
	}
	if end < 0 {
		if len(r.pending) == 0 {
			r.pending = bytes.Clone(buf)
		}
		return len(buf), nil
	}
	return n, r.startBody(head[:end], limits)
}

// startBody parses the head and prepares for the body.
func (r *RequestReader) startBody(head []byte, limits Limits) error {
	req, err := parseRequestHead(head)
	if err != nil {
		return err
	}
	f, err := parseFraming(req.Header)
	if err != nil {
		return err
	}
	if f.length > int64(limits.Body) {
		return &TooLargeError{Part: PartBody, Limit: limits.Body}
	}
	r.pending = nil
	req.HasBody = f.chunked || f.length >= 0
	r.req, r.remaining = req, max(0, f.length)
	switch {
	case f.chunked:
		r.state = readChunkSize
	case r.remaining > 0:
		r.state = readLength
	default:
		r.state = readComplete
	}
	return nil
}

// readData appends bytes to the body, which has at most limit bytes.
func (r *RequestReader) readData(buf []byte, limit int) int {
	n := int(min(r.remaining, int64(len(buf))))
	body := r.req.Body
	if need := len(body) + n; need > cap(body) {
		size := min(max(need, 2*cap(body), minBodyBuffer), max(need, limit))
		if r.state == readLength {
			size = min(max(lengthGrowth*need, minBodyBuffer), len(body)+int(r.remaining))
		}
		body = append(make([]byte, 0, size), body...)
	}
	r.req.Body = append(body, buf[:n]...)
	r.remaining -= int64(n)
	return n
}

// readChunkLine reads a line of a chunked body that is not data.
func (r *RequestReader) readChunkLine(buf []byte, limits Limits) (int, error) {
	line, n, err := r.readLine(buf, limits)
	if err != nil || line == nil {
		return n, err
	}
	switch r.state {
	case readChunkSize:
		err = r.startChunk(line, limits)
	case readChunkEnd:
		r.state = readChunkSize
		if len(line) != 0 {
			err = &SyntaxError{Reason: "a chunk does not end with CRLF"}
		}
	default:
		err = r.addTrailerField(line, limits)
	}
	r.pending = r.pending[:0]
	return n, err
}

// readLine reads up to the end of a line and returns it without its CRLF, or nil if it is
// incomplete. The line is valid until the next use of pending.
func (r *RequestReader) readLine(buf []byte, limits Limits) (line []byte, n int, err error) {
	limit := r.maxLine(limits)
	part := buf[:min(len(buf), limit+2-min(limit+1, len(r.pending)))]
	end := bytes.IndexByte(part, '\n')
	if end < 0 {
		r.pending = append(r.pending, part...)
		if len(r.pending) > limit+1 || r.state == readChunkEnd && len(r.pending) > 0 && r.pending[0] != '\r' {
			if r.state == readTrailer {
				return nil, 0, &TooLargeError{Part: PartHeader, Limit: limits.Header}
			}
			return nil, 0, r.badLine()
		}
		return nil, len(part), nil
	}
	line = part[:end+1]
	if len(r.pending) > 0 {
		r.pending = append(r.pending, line...)
		line = r.pending
	}
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, 0, r.badLine()
	}
	return line[: len(line)-2 : len(line)-2], end + 1, nil
}

// maxLine returns the largest size in bytes of the line that comes next, without its CRLF.
// A trailer may have as many bytes as the head.
func (r *RequestReader) maxLine(limits Limits) int {
	switch r.state {
	case readChunkEnd:
		return 0
	case readTrailer:
		return limits.Header
	default:
		return maxChunkLine
	}
}

func (r *RequestReader) badLine() error {
	if r.state == readChunkEnd {
		return &SyntaxError{Reason: "a chunk does not end with CRLF"}
	}
	return &SyntaxError{Reason: "a line of a chunked body is too long or does not end with CRLF"}
}

func (r *RequestReader) startChunk(line []byte, limits Limits) error {
	size, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	if size > int64(limits.Body-len(r.req.Body)) {
		return &TooLargeError{Part: PartBody, Limit: limits.Body}
	}
	r.remaining, r.state = size, readChunkData
	if size == 0 {
		r.state = readTrailer
	}
	return nil
}

// addTrailerField counts a trailer field, which is dropped, or ends the request.
func (r *RequestReader) addTrailerField(line []byte, limits Limits) error {
	if len(line) == 0 {
		r.state = readComplete
		r.pending = nil
		return nil
	}
	r.trailerFields++
	r.trailerBytes += len(line)
	if r.trailerFields > maxTrailerFields {
		return &TooLargeError{Part: PartHeader, Limit: maxTrailerFields}
	}
	if r.trailerBytes > limits.Header {
		return &TooLargeError{Part: PartHeader, Limit: limits.Header}
	}
	return nil
}

// Held returns the number of bytes of memory that the request takes.
func (r *Request) Held() int64 {
	held := len(r.Method) + len(r.Target) + cap(r.Body) + cap(r.Header)*int(unsafe.Sizeof(Field{}))
	for i := range r.Header {
		held += len(r.Header[i].Name) + len(r.Header[i].Value)
	}
	return int64(held)
}
