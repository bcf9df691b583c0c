package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/http1"
)

var testNames = HeaderNames{Attempt: "X-Id", NotExecuted: "X-Not-Run"}

// fakeTarget answers the requests on each of its connections with fixed bytes.
type fakeTarget struct {
	ln net.Listener
	// answers contains, for each connection, the bytes sent after each request.
	answers [][]string
	conns   chan net.Conn
}

func startTarget(t *testing.T, answers ...[]string) *fakeTarget {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeTarget{ln: ln, answers: answers, conns: make(chan net.Conn, 16)}
	t.Cleanup(func() { _ = ln.Close() })
	go f.serve()
	return f
}

func (f *fakeTarget) serve() {
	for _, answers := range f.answers {
		c, err := f.ln.Accept()
		if err != nil {
			return
		}
		f.conns <- c
		go func() {
			br := bufio.NewReader(c)
			for _, a := range answers {
				if err := skipRequest(br); err != nil {
					break
				}
				if _, err := io.WriteString(c, a); err != nil {
					break
				}
			}
			if len(answers) == 0 || !strings.HasSuffix(answers[len(answers)-1], "KEEP") {
				_ = c.Close()
			}
		}()
	}
}

// skipRequest reads a request without a body.
func skipRequest(br *bufio.Reader) error {
	for {
		line, err := br.ReadString('\n')
		if err != nil || line == "\r\n" {
			return err
		}
	}
}

func call(f *fakeTarget, id string) Call {
	return Call{
		Addr: f.ln.Addr().String(), Attempt: id, MaxIdle: time.Minute,
		Request: &http1.Request{Method: "GET", Target: "/", Header: http1.Header{{Name: "Host", Value: "h"}, {Name: "X-Id", Value: id}}},
	}
}

func do(t *testing.T, c *Client, call Call) (string, *Answer, *Failure) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, failure := c.Do(ctx, call)
	if failure != nil {
		return "", nil, failure
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		a.Abort()
		return string(body), a, &Failure{Stage: StageSent, Cause: err}
	}
	a.Finish()
	return string(body), a, nil
}

func okAnswer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func TestConnectionIsReusedAfterCompleteAnswer(t *testing.T) {
	f := startTarget(t, []string{okAnswer("1", "a"), okAnswer("2", "b")})
	c := New(testNames)
	for _, id := range []string{"1", "2"} {
		_, _, failure := do(t, c, call(f, id))
		assert.Assert(t, failure == nil, id)
	}
	assert.Equal(t, len(f.conns), 1)
}

// assertSecondCallWorks makes two calls one after the other and checks that the body of the
// second answer is b.
func assertSecondCallWorks(t *testing.T, f *fakeTarget) {
	t.Helper()
	c := New(testNames)
	_, _, failure := do(t, c, call(f, "1"))
	assert.Assert(t, failure == nil)
	time.Sleep(20 * time.Millisecond)
	body, _, failure := do(t, c, call(f, "2"))
	assert.Assert(t, failure == nil, failure)
	assert.Equal(t, body, "b")
}

// Bytes after the end of an answer could be taken for the answer to the next request, so
// the connection must not be reused.
func TestExtraBytesAfterAnswerPreventReuse(t *testing.T) {
	f := startTarget(t, []string{okAnswer("1", "a") + "extra", okAnswer("2", "x")}, []string{okAnswer("2", "b")})
	assertSecondCallWorks(t, f)
}

// An answer to an earlier request that arrives late must be skipped, not returned as the
// answer to the current request.
func TestForeignAnswerIsSkipped(t *testing.T) {
	f := startTarget(t, []string{okAnswer("1", "a"), okAnswer("1", "a") + okAnswer("2", "b")})
	c := New(testNames)
	_, _, failure := do(t, c, call(f, "1"))
	assert.Assert(t, failure == nil)
	body, _, failure := do(t, c, call(f, "2"))
	assert.Assert(t, failure == nil, failure)
	assert.Equal(t, body, "b")
}

// refusal is the answer of a target that does not run the request with an id.
func refusal(fields string) string {
	return "HTTP/1.1 503 Busy\r\n" + fields + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// Guards against a target that writes an earlier refusal once more on a kept connection: the caller
// would be told that its request has not run although the target runs it, and the request could be
// sent to a second target. The target writes the answer to the second request either on the same
// connection or, if the client opens one, on a new one.
func TestRepeatedRefusalIsNotTakenForTheNextAnswer(t *testing.T) {
	const first = "X-Id: 1\r\n"
	for name, test := range map[string]struct{ second, repeated string }{
		"its own id":              {"2", refusal(first)},
		"twice":                   {"2", refusal(first) + refusal(first)},
		"no id":                   {"2", refusal("")},
		"two ids":                 {"2", refusal("X-Id: 2\r\n" + first)},
		"the same id sent again":  {"1", refusal(first)},
		"no id, for one without":  {"", refusal("")},
		"empty id, without an id": {"", refusal("X-Id: \r\n")},
	} {
		answer := okAnswer(test.second, "b")
		f := startTarget(t, []string{refusal(first), test.repeated + answer}, []string{answer})
		c := New(testNames)
		_, a, failure := do(t, c, call(f, "1"))
		assert.Assert(t, failure == nil && a.NotExecuted(), name)
		body, a, failure := do(t, c, call(f, test.second))
		if failure != nil {
			assert.Equal(t, failure.Stage, StageSent, name) // unknown, and not a refusal
			continue
		}
		assert.Assert(t, !a.NotExecuted(), name)
		assert.Equal(t, body, "b", name)
	}
}

// The id of a request that a connection carried long ago does not matter, and connections are
// reused for other requests.
func TestConnectionIsNotReusedForAnIDThatItCarried(t *testing.T) {
	f := startTarget(t, []string{okAnswer("1", "a"), okAnswer("2", "b"), okAnswer("3", "c")}, []string{okAnswer("1", "d"), okAnswer("3", "e")})
	c := New(testNames)
	for _, id := range []string{"1", "2", "1", "3"} {
		_, _, failure := do(t, c, call(f, id))
		assert.Assert(t, failure == nil, id)
	}
	assert.Equal(t, len(f.conns), 2)
}

func TestAnswerWithoutAttemptIDIsRejectedOnReusedConnection(t *testing.T) {
	unmarked := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz"
	f := startTarget(t, []string{okAnswer("1", "a"), unmarked})
	c := New(testNames)
	_, _, failure := do(t, c, call(f, "1"))
	assert.Assert(t, failure == nil)
	_, _, failure = do(t, c, call(f, "2"))
	assert.Assert(t, failure != nil)
	assert.Equal(t, failure.Stage, StageSent)
}

func TestConnectionClosedByTargetIsNotReused(t *testing.T) {
	f := startTarget(t, []string{okAnswer("1", "a")}, []string{okAnswer("2", "b")})
	assertSecondCallWorks(t, f)
}

func TestTruncatedOrMalformedAnswersFail(t *testing.T) {
	for name, answer := range map[string]string{
		"body":    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nabc",
		"chunks":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"head":    "HTTP/1.1 200 OK\r\nX-Id",
		"none":    "",
		"garbage": "\x00\x01garbage\r\n\r\n",
	} {
		f := startTarget(t, []string{answer})
		_, _, failure := do(t, New(testNames), call(f, "1"))
		assert.Assert(t, failure != nil, name)
		assert.Equal(t, failure.Stage, StageSent, name)
	}
}

func TestRefusedConnectionFailsAtConnectStage(t *testing.T) {
	f := startTarget(t)
	assert.NilError(t, f.ln.Close())
	_, _, failure := do(t, New(testNames), call(f, "1"))
	assert.Assert(t, failure != nil)
	assert.Equal(t, failure.Stage, StageConnect)
}

func TestConnectionLimit(t *testing.T) {
	f := startTarget(t, []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nKEEP"})
	c := New(testNames)
	limited := call(f, "1")
	limited.MaxConns = 1
	a, failure := c.Do(context.Background(), limited)
	assert.Assert(t, failure == nil)
	_, failure = c.Do(context.Background(), limited)
	assert.Assert(t, errors.Is(failure, ErrConnectionLimit))
	a.Abort()
}

func TestCancelledCallClosesItsConnection(t *testing.T) {
	f := startTarget(t, []string{"KEEP"})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-time.After(20 * time.Millisecond)
		cancel()
	}()
	_, failure := New(testNames).Do(ctx, call(f, "1"))
	assert.Assert(t, failure != nil)
	conn := <-f.conns
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	_, err := io.ReadAll(conn)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), err) // and not the deadline
}

// Guards against requests that reach a target long after they were given up: behind a
// partition or at a frozen instance, data that is in flight when a connection is closed in
// the usual way is still delivered. An abandoned call resets its connection instead.
func TestAbandonedCallResetsItsConnection(t *testing.T) {
	for name, abandon := range map[string]func(context.CancelFunc, *Answer){
		"cancelled while waiting for the head": func(cancel context.CancelFunc, _ *Answer) { cancel() },
		"aborted while reading the body":       func(_ context.CancelFunc, a *Answer) { a.Abort() },
	} {
		f := startTarget(t, []string{"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\nKEEP"})
		c := New(testNames)
		ctx, cancel := context.WithCancel(t.Context())
		answer, failure := c.Do(ctx, call(f, "a"))
		assert.Assert(t, failure == nil, name)
		abandon(cancel, answer)
		target := <-f.conns
		assert.NilError(t, target.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err := target.Read(make([]byte, 1))
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%s: %v", name, err)
		cancel()
		answer.Abort()
	}
}

func TestEventReaderRejectsIncompleteEvents(t *testing.T) {
	r := NewEventReader(strings.NewReader("id: 1\ndata: a\n\nweights: 3\nid: 2\ndata: b\n\nid: 3\ndata: c"))
	for want := int64(1); want <= 2; want++ {
		ev, err := r.Next()
		assert.NilError(t, err)
		assert.Equal(t, ev.ID, want)
	}
	_, err := r.Next()
	assert.ErrorIs(t, err, http1.ErrUnexpectedEnd)
	_, err = NewEventReader(strings.NewReader("")).Next()
	assert.ErrorIs(t, err, io.EOF)
	_, err = NewEventReader(strings.NewReader("id: x\n\n")).Next()
	assert.ErrorContains(t, err, "not a number")
}

func TestEventLongerThanTheBuffer(t *testing.T) {
	text := "id: 7\ndata: " + strings.Repeat("x", 9000) + "\n\n"
	ev, err := NewEventReader(strings.NewReader(text)).Next()
	assert.NilError(t, err)
	assert.Equal(t, string(ev.Bytes), text)
}

func TestParseLoad(t *testing.T) {
	l, ok := ParseLoad("3, 0,8")
	assert.Assert(t, ok)
	assert.Equal(t, l, Load{Running: 3, Slots: 8})
	for _, text := range []string{"", "1,2", "1,2,x", "-1,0,8", "1,2,3,4"} {
		_, ok := ParseLoad(text)
		assert.Assert(t, !ok, text)
	}
}

// A target may state nonsense; it must not be taken for a rate.
func TestParseRate(t *testing.T) {
	for text, want := range map[string]float64{
		"2.4": 2.4, "0": 0, " 3 ": 3, ".5": 0.5, "7, 2.5": 2.5, "x, 4": 4, "00000000000000000012": 12,
	} {
		rate, ok := ParseRate(text)
		assert.Assert(t, ok, text)
		assert.Equal(t, rate, want, text)
	}
	for _, text := range []string{"", " ", "-1", "+1", "1e3", "NaN", "Inf", "0x2", "1.2.3", ".", "2 3", "1_0", "٣", "1;2", strings.Repeat("9", 21)} {
		_, ok := ParseRate(text)
		assert.Assert(t, !ok, text)
	}
}

// Guards against a target that sends an answer to another request without end: it is not read
// to its end to keep the connection.
func TestForeignAnswerWithoutEndFails(t *testing.T) {
	const tooLong = 1 << 20
	f := startTarget(t, []string{
		"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: " + strconv.Itoa(tooLong+1) + "\r\n\r\n" + strings.Repeat("x", tooLong+1) + okAnswer("a", "late"),
	})
	_, _, failure := do(t, New(testNames), call(f, "a"))
	assert.Assert(t, failure != nil && errors.Is(failure, ErrForeignAnswer), "%v", failure)
}
