package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

const (
	// maxResponseHead bounds the head of a target's answer, and its trailer, in bytes.
	maxResponseHead = 32 << 10
	// maxInterim bounds the interim answers before an answer.
	maxInterim = 8
)

// ErrUnexpectedEnd means that the connection ended before the message was complete.
var ErrUnexpectedEnd = errors.New("the connection ended inside a message")

// Response is the head of an answer; its body is read from Body.
type Response struct {
	Status int
	Reason string
	Header Header
	// Length is the body's size in bytes, or -1 if it is not known in advance.
	Length int64
	// Body reads the decoded body. It returns io.EOF only at the end that the framing
	// defines.
	Body io.Reader
	// EndsWithConnection is true if the body has no framing and ends with the connection.
	EndsWithConnection bool
	// KeepAlive is true if the connection may carry another request after the body.
	KeepAlive bool
}

// ReadResponse reads the head of an answer to a request of the given method.
// Up to maxInterim interim (1xx) answers are skipped.
func ReadResponse(r *bufio.Reader, method string) (*Response, error) {
	for range maxInterim + 1 {
		resp, err := readHead(r)
		if err != nil {
			return nil, err
		}
		if resp.Status >= 200 {
			return resp, resp.setBody(r, method)
		}
	}
	return nil, &SyntaxError{Reason: "there are too many interim answers"}
}

func readHead(r *bufio.Reader) (*Response, error) {
	head, err := readUntilBlank(r)
	if err != nil {
		return nil, err
	}
	line, block, _ := bytes.Cut(head, []byte("\r\n"))
	proto, rest, ok := strings.Cut(string(line), " ")
	if !ok || proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return nil, &SyntaxError{Reason: "the status line does not start with HTTP/1.1 or HTTP/1.0"}
	}
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 {
		return nil, &SyntaxError{Reason: "the status code is not a number from 100 to 999"}
	}
	if !isText(reason) {
		return nil, &SyntaxError{Reason: "the reason phrase contains a control character"}
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

// readUntilBlank reads up to the blank line and returns the bytes before it.
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

// setBody sets Body, and how its end is determined (RFC 9112, section 6.3).
func (resp *Response) setBody(r *bufio.Reader, method string) error {
	f, err := parseFraming(resp.Header)
	if err != nil {
		return err
	}
	if resp.Status == 204 && (f.chunked || f.length > 0) {
		return &SyntaxError{Reason: "an answer without content declares a body"}
	}
	resp.Length = f.length
	switch {
	case method == "HEAD" || resp.Status == 204 || resp.Status == 304:
		resp.Length = 0
		resp.Body = bytes.NewReader(nil)
	case f.chunked:
		resp.Body = &chunkedReader{r: r}
	case f.length >= 0:
		resp.Body = &lengthReader{r: r, remaining: f.length}
	default:
		resp.Body = r
		resp.EndsWithConnection = true
		resp.KeepAlive = false
	}
	return nil
}

// maxBodyAllocation bounds the memory that is allocated for a body before its bytes have arrived, in bytes.
const maxBodyAllocation = 64 << 10

// ReadBody reads the body to its end. It returns a TooLargeError if the body has more than limit bytes.
func (resp *Response) ReadBody(limit int) ([]byte, error) {
	var body bytes.Buffer
	body.Grow(int(min(max(0, resp.Length), maxBodyAllocation)) + bytes.MinRead)
	_, err := body.ReadFrom(io.LimitReader(resp.Body, int64(limit)+1))
	if err == nil && body.Len() > limit {
		err = &TooLargeError{Part: PartBody, Limit: limit}
	}
	return body.Bytes(), err
}

// lengthReader reads a body of known size.
type lengthReader struct {
	r         *bufio.Reader
	remaining int64
}

// Read implements io.Reader. It returns ErrUnexpectedEnd if the connection ends before the
// body does.
func (l *lengthReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, io.EOF
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	if errors.Is(err, io.EOF) {
		err = ErrUnexpectedEnd
	}
	return n, err
}

// chunkedReader reads a chunked body.
type chunkedReader struct {
	r         *bufio.Reader
	remaining int64
	// pendingCRLF is true after the size line of a chunk was read: the CRLF after the
	// chunk's data must be read before the next size line.
	pendingCRLF bool
	done        bool
}

// Read implements io.Reader. It returns ErrUnexpectedEnd if the connection ends before the
// body does.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	if c.remaining == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, unexpectedEnd(err)
		}
		if c.done {
			return 0, io.EOF
		}
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	return n, unexpectedEnd(err)
}

// nextChunk reads up to the data of the next chunk, or up to the end of the body.
func (c *chunkedReader) nextChunk() error {
	if c.pendingCRLF {
		if err := c.readCRLF(); err != nil {
			return err
		}
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, err := parseChunkSize(trimPadding(line))
	if err != nil {
		return err
	}
	c.remaining, c.pendingCRLF = size, true
	if size > 0 {
		return nil
	}
	return c.readTrailer()
}

// trimPadding returns the digits in the size line of a chunk without the zeros and blanks with which some
// servers pad them.
func trimPadding(line []byte) []byte {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	for len(digits) > 1 && digits[0] == '0' {
		digits = digits[1:]
	}
	return digits
}

// readTrailer reads the trailer fields, which are checked and dropped, and the end of the body.
func (c *chunkedReader) readTrailer() error {
	for size := 0; size <= maxResponseHead; {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			c.done = true
			return nil
		}
		if _, err := parseField(line); err != nil {
			return err
		}
		size += len(line)
	}
	return &TooLargeError{Part: PartHeader, Limit: maxResponseHead}
}

func (c *chunkedReader) readCRLF() error {
	line, err := c.readLine()
	if err == nil && len(line) != 0 {
		return &SyntaxError{Reason: "a chunk does not end with CRLF"}
	}
	return err
}

// readLine reads a line, which must fit the reader's buffer, and returns it without its CRLF. It does not return
// bufio.ErrBufferFull, which a reader of the body with a buffer of its own would take for its own.
func (c *chunkedReader) readLine() ([]byte, error) {
	line, err := c.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, errChunkLine
	}
	if err != nil {
		return nil, err
	}
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, errChunkLine
	}
	return line[:len(line)-2], nil
}

var errChunkLine = &SyntaxError{Reason: "a line of a chunked body is too long or does not end with CRLF"}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return ErrUnexpectedEnd
	}
	return err
}
