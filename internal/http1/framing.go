package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// framing describes how the end of a message's body is determined.
type framing struct {
	// chunked is true if the body has the chunked transfer coding.
	chunked bool
	// length is the body's size in bytes, or -1 if none is declared.
	length int64
}

// parseFraming reads Content-Length and Transfer-Encoding. It rejects both together and
// repeated fields.
func parseFraming(h Header) (framing, error) {
	f := framing{length: -1}
	for _, field := range h {
		switch {
		case strings.EqualFold(field.Name, "Content-Length"):
			n, err := parseLength(field.Value)
			if err != nil {
				return f, err
			}
			if f.length >= 0 {
				return f, &SyntaxError{Reason: "more than one Content-Length"}
			}
			f.length = n
		case strings.EqualFold(field.Name, "Transfer-Encoding"):
			if f.chunked || !strings.EqualFold(field.Value, "chunked") {
				return f, &SyntaxError{Reason: "unsupported Transfer-Encoding"}
			}
			f.chunked = true
		}
	}
	if f.chunked && f.length >= 0 {
		return f, &SyntaxError{Reason: "both Content-Length and Transfer-Encoding"}
	}
	return f, nil
}

func parseLength(text string) (int64, error) {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return 0, &SyntaxError{Reason: "Content-Length is not a number"}
		}
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, &SyntaxError{Reason: "Content-Length is not a number"}
	}
	return n, nil
}

// maxChunkLine bounds the size line of a chunk, extensions included, in bytes.
const maxChunkLine = 256

// decodeChunked decodes a complete chunked body at the start of buf. It returns the body and
// the number of bytes that its encoding takes, or -1 if it is incomplete.
func decodeChunked(buf []byte, limit int) ([]byte, int, error) {
	var body []byte
	pos := 0
	for {
		size, consumed, err := readChunkSize(buf[pos:])
		if err != nil || consumed < 0 {
			return nil, -1, err
		}
		pos += consumed
		if size == 0 {
			end, err := trailerEnd(buf[pos:])
			if err != nil || end < 0 {
				return nil, -1, err
			}
			return body, pos + end, nil
		}
		if size > int64(limit-len(body)) {
			return nil, -1, &TooLargeError{Part: PartBody, Limit: limit}
		}
		if int64(len(buf)-pos) < size+2 {
			return nil, -1, nil
		}
		body = append(body, buf[pos:pos+int(size)]...)
		pos += int(size)
		if buf[pos] != '\r' || buf[pos+1] != '\n' {
			return nil, -1, &SyntaxError{Reason: "a chunk does not end with CRLF"}
		}
		pos += 2
	}
}

// readChunkSize reads the size line of a chunk; consumed is -1 if the line is incomplete.
func readChunkSize(buf []byte) (size int64, consumed int, err error) {
	end := bytes.Index(buf, []byte("\r\n"))
	if end < 0 {
		if len(buf) > maxChunkLine {
			return 0, -1, &SyntaxError{Reason: "a chunk's size line is too long"}
		}
		return 0, -1, nil
	}
	size, err = parseChunkSize(buf[:end])
	return size, end + 2, err
}

func parseChunkSize(line []byte) (int64, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	if len(digits) == 0 || len(digits) > 8 {
		return 0, &SyntaxError{Reason: "a chunk's size is not valid"}
	}
	size, err := strconv.ParseUint(string(digits), 16, 32)
	if err != nil {
		return 0, &SyntaxError{Reason: "a chunk's size is not valid"}
	}
	return int64(size), nil
}

// trailerEnd returns the number of bytes up to the end of the trailer section, or -1 if it
// is incomplete. Trailer fields are dropped.
func trailerEnd(buf []byte) (int, error) {
	if len(buf) >= 2 && buf[0] == '\r' && buf[1] == '\n' {
		return 2, nil
	}
	if end := bytes.Index(buf, headEnd); end >= 0 {
		return end + len(headEnd), nil
	}
	if len(buf) > maxChunkLine {
		return -1, &SyntaxError{Reason: "the trailer is too long"}
	}
	return -1, nil
}
