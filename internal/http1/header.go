// Package http1 reads and writes HTTP/1.1 messages strictly: it rejects messages that two
// implementations could frame differently. It keeps the order and spelling of header
// fields, which general-purpose HTTP libraries do not.
package http1

import (
	"bytes"
	"strings"
)

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Header is the list of the fields of a message in the order in which they arrived.
type Header []Field

// Get returns the value of the first field with the name, or the empty string.
func (h Header) Get(name string) string {
	v, _ := h.Lookup(name)
	return v
}

// Lookup returns the value of the first field with the name, and whether there is one.
func (h Header) Lookup(name string) (string, bool) {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value, true
		}
	}
	return "", false
}

// All returns the values of all fields with the name, in order.
func (h Header) All(name string) []string {
	var values []string
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			values = append(values, h[i].Value)
		}
	}
	return values
}

// List returns the values of all fields with the name, in order and separated by commas
// (RFC 9110, section 5.3).
func (h Header) List(name string) string { return strings.Join(h.All(name), ", ") }

// Without returns a copy of h that lacks the fields for which drop returns true.
func (h Header) Without(drop func(name string) bool) Header {
	kept := make(Header, 0, len(h))
	for _, f := range h {
		if !drop(f.Name) {
			kept = append(kept, f)
		}
	}
	return kept
}

// HopByHop reports whether a field applies to one connection only (RFC 9110, section 7.6.1)
// or to the framing, which each side sets itself.
func HopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding",
		"upgrade", "content-length", "expect", "proxy-authorization", "proxy-authenticate":
		return true
	default:
		return false
	}
}

// ListedInConnection returns the tokens of all Connection fields in lower case.
func (h Header) ListedInConnection() map[string]bool {
	var listed map[string]bool
	for _, f := range h {
		if !strings.EqualFold(f.Name, "Connection") {
			continue
		}
		for token := range strings.SplitSeq(f.Value, ",") {
			if listed == nil {
				listed = make(map[string]bool)
			}
			listed[strings.ToLower(strings.TrimSpace(token))] = true
		}
	}
	return listed
}

// HasConnectionToken reports whether a Connection field contains the token, which must be in
// lower case.
func (h Header) HasConnectionToken(token string) bool { return h.ListedInConnection()[token] }

// headEnd is the blank line that ends a message's head.
var headEnd = []byte("\r\n\r\n")

// parseFields parses the header lines in block, which does not include the blank line.
func parseFields(block []byte) (Header, error) {
	if len(block) == 0 {
		return nil, nil
	}
	h := make(Header, 0, bytes.Count(block, []byte("\r\n"))+1)
	for len(block) > 0 {
		line := block
		if i := bytes.Index(block, []byte("\r\n")); i >= 0 {
			line, block = block[:i], block[i+2:]
		} else {
			block = nil
		}
		f, err := parseField(line)
		if err != nil {
			return nil, err
		}
		h = append(h, f)
	}
	return h, nil
}

func parseField(line []byte) (Field, error) {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !isToken(line[:colon]) {
		return Field{}, &SyntaxError{Reason: "a header line has no valid field name"}
	}
	value := bytes.Trim(line[colon+1:], " \t")
	if !isText(value) {
		return Field{}, &SyntaxError{Reason: "a header value contains a control character"}
	}
	return Field{Name: string(line[:colon]), Value: string(value)}, nil
}

// isToken reports whether s is a token as RFC 9110, section 5.6.2 defines it.
func isToken(s []byte) bool {
	for _, c := range s {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return len(s) > 0
}

// isText reports whether s has no control character but HTAB, as RFC 9112, section 4, requires of a
// reason phrase and RFC 9110, section 5.5, of a field value.
func isText[T string | []byte](s T) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
