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

// maxChunkLine bounds the size line of a chunk of a request, extensions included, in bytes.
const maxChunkLine = 256

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
