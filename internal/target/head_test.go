package target

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/testserver"
)

// invalidAnswers returns answers whose status or the name of one of whose fields is invalid, and answers that
// two readers could frame differently.
func invalidAnswers() []string {
	const (
		ok   = "HTTP/1.1 200 OK\r\n"
		rest = "Content-Length: 3\r\n\r\nabc"
	)
	answers := []string{
		"HTTP/1.9 200 OK\r\n" + rest, "HTTP/1.1 200 O\x01K\r\n" + rest, "\r\n" + ok + rest,
		ok + "X-A : b\r\n" + rest, ok + " X-A: b\r\n" + rest, ok + ": b\r\n" + rest, ok + "X-A: b\r\n folded\r\n" + rest,
		ok + "Content -Length: 2\r\n" + rest, ok + "Content-Length : 2\r\n" + rest, ok + "Content\x00-Length: 2\r\n" + rest,
		ok + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 204 OK\r\n" + rest,
	}
	for _, status := range []string{"000", "001", "099", "00", "20", "2000", "20x", ""} {
		answers = append(answers, "HTTP/1.1 "+status+" OK\r\n"+rest)
	}
	for _, b := range []byte(" \t\"(),/;<=>?@[\\]{}\x00\x01\b\v\x1b\x1f\x7f\x80\xff") {
		answers = append(answers, ok+"X"+string([]byte{b})+"A: b\r\n"+rest)
	}
	return answers
}

// Guards against an answer that an entry's caller gets although its target has sent none: an invalid status was
// taken for 200, and a wrong byte in the name of a field for another field or none, so that the body was not
// the target's.
func TestInvalidHeadsAreErrors(t *testing.T) {
	for _, answer := range invalidAnswers() {
		_, err := do(t, testserver.Answering(t, answer))
		assert.Check(t, err != nil, "%q", answer)
	}
}

// Guards against a target that counts as up by an answer that is none.
func TestInvalidHeadsFailTheHealthCheck(t *testing.T) {
	for _, answer := range invalidAnswers() {
		probe := New(testserver.Answering(t, answer)).NewProbe()
		status, _, err := probe.Get(t.Context(), "/load", time.Second, 1<<10)
		assert.Check(t, err != nil, "%q: status %d", answer, status)
		probe.Close()
	}
}

// Guards against sound answers that are dropped.
func TestSoundHeadsAreRead(t *testing.T) {
	for answer, want := range map[string]struct {
		status int
		body   string
	}{
		"HTTP/1.1 200\r\nContent-Length: 3\r\n\r\nabc":                                                           {200, "abc"},
		"HTTP/1.1 600 \x80\xff\r\ncontent-length:\t003 \r\nX: \xff\tb\r\n\r\nabc":                                {600, "abc"},
		"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nabc":                                                        {200, "abc"},
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n":                                                   {204, ""},
		"HTTP/1.1 204 No Content\r\n\r\n":                                                                        {204, ""},
		"HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n":                                                           {304, ""},
		"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc":                   {200, "abc"},
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n0003 ;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\n":             {200, "abc"},
		"HTTP/1.1 200 OK\r\nConnection: X-A, close\r\nX-A: 1\r\nVary: \r\nContent-Length: 3\r\n\r\nabc and more": {200, "abc"},
	} {
		addr := testserver.Answering(t, answer)
		r, e := New(addr).Do(t.Context(), request(false))
		assert.Assert(t, e == nil, "%q: %v", answer, e)
		body, err := io.ReadAll(r.Body)
		assert.NilError(t, err, "%q", answer)
		assert.Equal(t, r.Status, want.status, "%q", answer)
		assert.Equal(t, string(body), want.body, "%q", answer)
		r.Close()
		status, body, err := New(addr).NewProbe().Get(t.Context(), "/load", 10*time.Second, 3)
		assert.NilError(t, err, "%q", answer)
		assert.Equal(t, status, want.status, "%q", answer)
		assert.Equal(t, string(body), want.body, "%q", answer)
	}
}

// Guards against fields of an answer that are lost, and against those of the connection that are passed on.
func TestFieldsOfAnAnswer(t *testing.T) {
	addr := testserver.Answering(t, "HTTP/1.1 200 OK\r\ncontent-type: a/b\r\nSet-Cookie: a=b; Path=/\r\nset-cookie: c=d\r\nServer: s\r\nDate: d\r\n"+
		requestIDHeader+": id\r\nX-A: 1\r\nX-A: 2\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	req := request(false)
	req.RequestID = "id"
	r, e := New(addr).Do(t.Context(), req)
	assert.Assert(t, e == nil, e)
	defer r.Close()
	header := http.Header{}
	for _, h := range r.Headers {
		header.Add(h.Name, h.Value)
	}
	assert.DeepEqual(t, header, http.Header{
		"Content-Type": {"a/b"}, "Set-Cookie": {"a=b; Path=/", "c=d"}, "Server": {"s"}, "Date": {"d"}, "X-A": {"1", "2"},
	})
}

// Guards against a partial answer that is taken for the whole: its target answers while the request is still
// being written, and resets the connection.
func TestAnswerThatIsResetDuringAnUploadIsAnError(t *testing.T) {
	addr := testserver.Resetting(t, "HTTP/1.1 200 OK\r\n\r\nabc")
	for range 5 {
		_, e := New(addr).Do(t.Context(), &message.Request{Method: "POST", Path: "/x", Body: make([]byte, 12<<20)})
		assert.Assert(t, e != nil)
	}
}
