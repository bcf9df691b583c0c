package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxResponseHead bounds the head of a target's answer, in bytes.
const maxResponseHead = 32 << 10

// ErrUnexpectedEnd means that the connection ended before the message was whole.
var ErrUnexpectedEnd = errors.New("the connection ended inside a message")

// Response is the head of an answer; its body is read from Body.
type Response struct {
	Status int
	Reason string
	Header Header
	// Length is the body's size in bytes, or -1 if it is not known in advance.
	Length int64
	// Body reads the decoded body. It returns io.EOF only after the body's proper end.
	Body io.Reader
	// EndsWithConnection tells that the body has no framing: it ends with the connection.
	EndsWithConnection bool
	// KeepAlive tells that the connection may carry another request after the body.
	KeepAlive bool
}

// ReadResponse reads the head of an answer to a request of the given method.
// Interim (1xx) answers are skipped.
func ReadResponse(r *bufio.Reader, method string) (*Response, error) {
	for {
		resp, err := readHead(r)
		if err != nil {
			return nil, err
		}
		if resp.Status >= 200 {
			return resp, resp.frame(r, method)
		}
	}
}

func readHead(r *bufio.Reader) (*Response, error) {
	head, err := readUntilBlank(r)
	if err != nil {
		return nil, err
	}
	line, block, _ := bytes.Cut(head, []byte("\r\n"))
	proto, rest, ok := strings.Cut(string(line), " ")
	if !ok || proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return nil, &SyntaxError{Reason: "not an HTTP/1 status line"}
	}
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 {
		return nil, &SyntaxError{Reason: "not a status code"}
	}
	h, err := parseFields(block)
	if err != nil {
		return nil, err
	}
	return &Response{
		Status: status, Reason: reason, Header: h,
		KeepAlive: proto == "HTTP/1.1" && !h.HasConnectionToken("close"),
	}, nil
}

// readUntilBlank returns the bytes before the blank line.
func readUntilBlank(r *bufio.Reader) ([]byte, error) {
	var head []byte
	for {
		line, err := r.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case errors.Is(err, io.EOF) && len(head) > 0:
			return nil, ErrUnexpectedEnd
		case err != nil:
			return nil, err
		case len(head) > maxResponseHead:
			return nil, &TooLargeError{Part: PartHeader, Limit: maxResponseHead}
		case bytes.HasSuffix(head, headEnd):
			return head[:len(head)-len(headEnd)], nil
		}
	}
}

// frame decides how the body ends (RFC 9112, section 6.3).
func (resp *Response) frame(r *bufio.Reader, method string) error {
	f, err := declared(resp.Header)
	if err != nil {
		return err
	}
	resp.Length = f.length
	switch {
	case method == "HEAD" || resp.Status == 204 || resp.Status == 304:
		resp.Length = 0
		resp.Body = bytes.NewReader(nil)
	case f.chunked:
		resp.Body = &chunkedReader{r: r}
	case f.length >= 0:
		resp.Body = &lengthReader{r: r, left: f.length}
	default:
		resp.Body = r
		resp.EndsWithConnection = true
		resp.KeepAlive = false
	}
	return nil
}

// lengthReader reads a body of known size.
type lengthReader struct {
	r    *bufio.Reader
	left int64
}

// Read implements io.Reader; an early end is ErrUnexpectedEnd.
func (l *lengthReader) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, io.EOF
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if errors.Is(err, io.EOF) {
		err = ErrUnexpectedEnd
	}
	return n, err
}

// chunkedReader reads a chunked body.
type chunkedReader struct {
	r    *bufio.Reader
	left int64
	// inBody tells that a chunk's data has been read and its CRLF is due.
	inBody bool
	done   bool
}

// Read implements io.Reader; an early end is ErrUnexpectedEnd.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	if c.left == 0 {
		if err := c.next(); err != nil {
			return 0, noEOF(err)
		}
		if c.done {
			return 0, io.EOF
		}
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, noEOF(err)
}

// next reads up to the data of the next chunk, or up to the end of the body.
func (c *chunkedReader) next() error {
	if c.inBody {
		if err := c.crlf(); err != nil {
			return err
		}
	}
	line, err := c.line()
	if err != nil {
		return err
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	c.left, c.inBody = size, true
	if size > 0 {
		return nil
	}
	for {
		line, err := c.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			c.done = true
			return nil
		}
	}
}

func (c *chunkedReader) crlf() error {
	line, err := c.line()
	if err == nil && len(line) != 0 {
		return &SyntaxError{Reason: "a chunk does not end with CRLF"}
	}
	return err
}

// line returns a line without its CRLF.
func (c *chunkedReader) line() ([]byte, error) {
	line, err := c.r.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	if len(line) > maxChunkLine || !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, &SyntaxError{Reason: "a chunk line is not valid"}
	}
	return line[:len(line)-2], nil
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return ErrUnexpectedEnd
	}
	return err
}
