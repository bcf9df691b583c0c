package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// pipeListener accepts connections without buffers: a write ends when the peer has read it.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, io.EOF
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// stoppable is an entry whose server is shut down by a test, in the order of the program.
type stoppable struct {
	*testEntry
	shutdown func(context.Context) error
	caller   net.Conn
	answers  *bufio.Reader
}

func newStoppable(t *testing.T, readTimeout time.Duration) *stoppable {
	t.Helper()
	s := &stoppable{testEntry: newTestEntry(t)}
	limits := testLimits()
	limits.ReadTimeout = readTimeout
	server, ln := s.entry.NewServer(limits), newPipeListener()
	go func() { _ = server.Serve(ln) }()
	s.shutdown = server.Shutdown
	var accepted net.Conn
	s.caller, accepted = net.Pipe()
	ln.conns <- accepted
	t.Cleanup(func() { _ = s.caller.Close() })
	s.answers = bufio.NewReader(s.caller)
	return s
}

// stop stops the entry and then its server, and returns the server's result.
func (s *stoppable) stop() <-chan error {
	s.entry.Stop()
	<-s.entry.Done()
	result := make(chan error, 1)
	go func() { result <- s.shutdown(s.t.Context()) }()
	time.Sleep(5 * tickInterval) // the shutdown has begun
	return result
}

func (s *stoppable) send(text string) {
	_, _ = io.WriteString(s.caller, text)
}

// answer reads the next answer to the end.
func (s *stoppable) answer() *http.Response {
	s.t.Helper()
	assert.NilError(s.t, s.caller.SetReadDeadline(time.Now().Add(waitTimeout)))
	resp, err := http.ReadResponse(s.answers, nil)
	assert.NilError(s.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(s.t, err)
	return resp
}

// assertRefused checks an answer that tells the caller that its request did not run, and that
// the connection takes no more.
func assertRefused(t *testing.T, resp *http.Response) {
	t.Helper()
	assert.Equal(t, resp.Header.Get("Gentiantrail-Error"), apierr.KindDraining.String())
	assert.Assert(t, resp.Close, "the answer does not say that the connection is closed")
}

// TestStopClosesKeptConnectionsBehindAnAnswer sends a request on a kept connection in a stop: its
// answer must say that the connection is closed, or the caller sends another one into its end.
func TestStopClosesKeptConnectionsBehindAnAnswer(t *testing.T) {
	s := newStoppable(t, time.Second)
	s.addAgent("agent", streamAnswer(s.entry, piece(0, "ok")))
	go s.send(withKey("GET /svc/x", ""))
	assert.Assert(t, !s.answer().Close)
	s.entry.Stop()
	for s.entry.Ready() == nil || !s.entry.view.Load().stopping {
		time.Sleep(time.Millisecond)
	}
	go s.send(withKey("GET /svc/x", ""))
	assertRefused(t, s.answer())
}

// TestRequestBehindAnAnswerIsAnsweredInAStop sends a request behind one whose answer, sent
// before the stop, did not say that the connection is closed: it must be answered.
func TestRequestBehindAnAnswerIsAnsweredInAStop(t *testing.T) {
	s := newStoppable(t, time.Second)
	s.addAgent("agent", func(p *linktest.Peer, m message.Message) {
		if req, ok := m.(*message.Request); ok {
			s.entry.Message(p, &message.ResponseHead{ID: req.ID, Status: 200, Length: 2, Complete: true, Body: []byte("ok"), Load: warm})
		}
	})
	s.send(withKey("GET /svc/x", ""))
	time.Sleep(5 * tickInterval) // the answer waits for its caller
	result := s.stop()
	go s.send(withKey("GET /svc/y", ""))
	assert.Assert(t, !s.answer().Close)
	assertRefused(t, s.answer())
	assert.NilError(t, <-result)
}

// TestRequestThatIsBeingReadIsAnsweredInAStop stops an entry that has read a part of a request:
// the caller has the read timeout to send the rest, as at any other time.
func TestRequestThatIsBeingReadIsAnsweredInAStop(t *testing.T) {
	s := newStoppable(t, 10*time.Second)
	s.addAgent("agent", streamAnswer(s.entry, piece(0, "ok")))
	s.send("GET /svc/x HTTP/1.1\r\n")
	result := s.stop()
	select {
	case err := <-result:
		t.Fatalf("the server ended before the request was read: %v", err)
	case <-time.After(5500 * time.Millisecond):
	}
	go s.send(withKey("GET /svc/x", "")[len("GET /svc/x HTTP/1.1\r\n"):])
	assertRefused(t, s.answer())
	assert.NilError(t, <-result)
}

// TestStopClosesIdleConnections stops an entry with an idle connection: it must not keep the
// entry from ending, and gets no answer to a request that was never sent.
func TestStopClosesIdleConnections(t *testing.T) {
	s := newStoppable(t, 10*time.Second)
	s.addAgent("agent", streamAnswer(s.entry, piece(0, "ok")))
	go s.send(withKey("GET /svc/x", ""))
	s.answer()
	result := s.stop()
	_, err := s.answers.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, <-result)
}

// TestCallerThatTakesNoAnswerEndsTheStop stops an entry one of whose callers never reads its
// answer: the stop must end with the time that it is given, and say so.
func TestCallerThatTakesNoAnswerEndsTheStop(t *testing.T) {
	s := newStoppable(t, time.Second)
	s.send(withKey("GET /svc/x", "")) // no target: the answer is a refusal
	s.entry.Stop()
	<-s.entry.Done()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var open *OpenConnectionsError
	assert.Assert(t, errors.As(s.shutdown(ctx), &open))
	assert.Equal(t, open.Count, 1)
}
