package http1

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var limits = Limits{Header: 1024, Body: 64}

func parse(t *testing.T, text string) (*Request, int, error) {
	t.Helper()
	return ParseRequest([]byte(text), limits)
}

func TestRequestWithLength(t *testing.T) {
	r, n, err := parse(t, "POST /a?b=1 HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nContent-Length: 3\r\n\r\nabcGET")
	assert.NilError(t, err)
	assert.Equal(t, n, len("POST /a?b=1 HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nContent-Length: 3\r\n\r\nabc"))
	assert.Equal(t, string(r.Body), "abc")
	assert.Equal(t, r.Path(), "/a")
	assert.Equal(t, r.Header.Get("x-one"), "1")
	assert.Assert(t, r.KeepAlive)
}

func TestChunkedRequest(t *testing.T) {
	text := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
	r, n, err := parse(t, text)
	assert.NilError(t, err)
	assert.Equal(t, n, len(text))
	assert.Equal(t, string(r.Body), "abcde")
	for cut := range len(text) {
		_, n, err := parse(t, text[:cut])
		assert.NilError(t, err)
		assert.Equal(t, n, 0, "cut at %d", cut)
	}
}

func TestAmbiguousOrMalformedRequestsAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"two lengths":           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		"length and chunks":     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"other coding":          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"signed length":         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
		"bare line feed":        "GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n",
		"space before colon":    "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
		"folded line":           "GET / HTTP/1.1\r\nHost: h\r\n more\r\n\r\n",
		"no host":               "GET / HTTP/1.1\r\nX: y\r\n\r\n",
		"two hosts":             "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"absolute target":       "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"control in value":      "GET / HTTP/1.1\r\nHost: h\r\nX: a\x1bb\r\n\r\n",
		"control in target":     "GET /\x01 HTTP/1.1\r\nHost: h\r\n\r\n",
		"old protocol":          "GET / HTTP/1.0\r\nHost: h\r\n\r\n",
		"chunk without its end": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n",
		"chunk size not hex":    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
	} {
		_, _, err := parse(t, text)
		var syntax *SyntaxError
		assert.Assert(t, errors.As(err, &syntax), "%s: %v", name, err)
	}
}

func TestLimits(t *testing.T) {
	_, _, err := parse(t, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 2000))
	assert.ErrorContains(t, err, "header is too large")
	_, _, err = parse(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n")
	assert.ErrorContains(t, err, "body is too large")
	_, _, err = parse(t, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n")
	assert.ErrorContains(t, err, "body is too large")
}

func readAll(t *testing.T, text string) (*Response, string, error) {
	t.Helper()
	r, err := ReadResponse(bufio.NewReader(strings.NewReader(text)), "POST")
	assert.NilError(t, err)
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

func TestResponseBodyEndIsDetected(t *testing.T) {
	for _, c := range []struct {
		name, text, body string
		whole, keep      bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc", true, true},
		{"truncated length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "ab", false, true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "abc", true, true},
		{"chunks without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "abc", false, true},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na", "a", false, true},
		{"connection's end", "HTTP/1.1 200 OK\r\n\r\nabc", "abc", true, false},
		{"interim first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\na", "a", true, false},
	} {
		r, body, err := readAll(t, c.text)
		assert.Equal(t, body, c.body, c.name)
		assert.Equal(t, err == nil, c.whole, "%s: %v", c.name, err)
		assert.Equal(t, r.KeepAlive, c.keep, c.name)
	}
}

// Guards against whole answers that are dropped for the form of their chunks or trailers.
func TestUnusualChunksAreRead(t *testing.T) {
	long := strings.Repeat("x", 3000)
	for _, chunks := range []string{
		"3 \r\nabc\r\n0\r\n\r\n", "3\t;a=b\r\nabc\r\n0;c\r\n\r\n", "0000000000000003\r\nabc\r\n0000000000000000\r\n\r\n",
		"3;a=" + long + "\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n0\r\nA: " + long + "\r\nB: c\r\n\r\n",
	} {
		_, body, err := readAll(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks)
		assert.NilError(t, err, "%q", chunks)
		assert.Equal(t, body, "abc", "%q", chunks)
	}
}

// Guards against wrong bytes at the end of a body that are taken for trailer fields.
func TestMalformedTrailersAreRejected(t *testing.T) {
	for _, trailer := range []string{"A", "A b: c", "A : c", ": c", "A\x00: c", "A: \x01", " folded"} {
		_, _, err := readAll(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"+trailer+"\r\n\r\n")
		var syntax *SyntaxError
		assert.Assert(t, errors.As(err, &syntax), "%q: %v", trailer, err)
	}
}

func TestMalformedResponsesAreRejected(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 O\nK\r\n\r\n", "HTTP/1.1 200 O\rK\r\n\r\n", "HTTP/1.1 200 \x00\r\n\r\n", "HTTP/1.1 200 OK\x7f\r\n\r\n", "garbage\r\n\r\n",
		"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
	} {
		_, err := ReadResponse(bufio.NewReader(strings.NewReader(text)), "GET")
		var syntax *SyntaxError
		assert.Assert(t, errors.As(err, &syntax), text)
	}
	_, err := ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nX")), "GET")
	assert.ErrorIs(t, err, ErrUnexpectedEnd)
}

func TestAwaitsContinue(t *testing.T) {
	for text, want := range map[string]bool{
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n": true,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n":                         false,
	} {
		var r RequestReader
		_, err := r.Read([]byte(text), limits)
		assert.NilError(t, err)
		assert.Assert(t, r.Complete() == nil)
		assert.Equal(t, r.Head().AwaitsContinue(), want, text)
	}
}

func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, n, err := ParseRequest(raw, limits)
		if err != nil || n == 0 {
			return
		}
		assert.Assert(t, n <= len(raw))
		reparsed, m, err := ParseRequest(AppendRequest(nil, &Request{
			Method: r.Method, Target: r.Target, Body: r.Body, HasBody: r.HasBody,
			Header: r.Header.Without(HopByHop),
		}), Limits{Header: 1 << 20, Body: 1 << 20})
		assert.NilError(t, err)
		assert.Assert(t, m > 0)
		assert.Equal(t, string(reparsed.Body), string(r.Body))
	})
}

// endless repeats a text without end and counts the bytes that were read.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.text[e.read%len(e.text):])
	e.read += n
	return n, nil
}

// maxEndlessRead is the highest number of bytes that may be read of a part of an answer that is
// not the body's content.
const maxEndlessRead = 256 << 10

// Guards against a target that sends bytes without end instead of an answer: the head, the
// answers before it, and what frames the body are bounded.
func TestBytesWithoutEndAreNoAnswer(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, tc := range map[string]struct{ head, rest string }{
		"no line end":     {rest: "x"},
		"fields":          {head: "HTTP/1.1 200 OK\r\n", rest: "A: b\r\n"},
		"interim answers": {rest: "HTTP/1.1 100 Continue\r\n\r\n"},
		"chunk size":      {head: chunked, rest: "0"},
		"chunk extension": {head: chunked + "5", rest: ";a=b"},
		"trailer":         {head: chunked + "0\r\n", rest: "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			source := &endless{text: tc.rest}
			br := bufio.NewReader(io.MultiReader(strings.NewReader(tc.head), io.LimitReader(source, 4*maxEndlessRead)))
			resp, err := ReadResponse(br, "GET")
			if err == nil {
				_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<10))
			}
			assert.Assert(t, err != nil && !errors.Is(err, ErrUnexpectedEnd), "%v", err)
			assert.Assert(t, source.read <= maxEndlessRead, "%d bytes were read", source.read)
		})
	}
}
