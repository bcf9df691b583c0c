package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// longAnswerSize is the size of an answer that exceeds the buffers of a caller that does not read.
const longAnswerSize = 224 << 10

// newTCPStoppable returns an entry that serves a TCP caller with a small receive buffer. Its agent
// answers with a long body once the returned function is called.
func newTCPStoppable(t *testing.T) (*stoppable, func()) {
	t.Helper()
	s := &stoppable{testEntry: newTestEntry(t)}
	release, started := make(chan struct{}), make(chan struct{}, 1)
	chunk := strings.Repeat("x", 32<<10)
	var pieces []message.ResponseData
	for offset := 0; offset < longAnswerSize; offset += len(chunk) {
		pieces = append(pieces, piece(int64(offset), chunk))
	}
	s.addAgent("agent", func(p *linktest.Peer, m message.Message) {
		if _, ok := m.(*message.Request); ok {
			started <- struct{}{}
			<-release
		}
		streamAnswer(s.entry, pieces...)(p, m)
	})
	s.serveTCP()
	s.send(withKey("GET /svc/x", ""))
	<-started
	return s, func() { close(release) }
}

// serveTCP connects a caller with a small receive buffer to a server of the entry.
func (s *stoppable) serveTCP() {
	s.t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(s.t, err)
	server := s.entry.NewServer(testLimits())
	go func() { _ = server.Serve(ln) }()
	s.shutdown = server.Shutdown
	s.t.Cleanup(func() { _ = ln.Close() })
	s.caller, err = net.Dial("tcp4", ln.Addr().String())
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = s.caller.Close() })
	assert.NilError(s.t, s.caller.(*net.TCPConn).SetReadBuffer(16<<10))
	s.answers = bufio.NewReader(s.caller)
}

// stopBeforeAnswer stops the entry while its request is in flight.
func (s *stoppable) stopBeforeAnswer() {
	s.entry.Stop()
	for !s.entry.view.Load().stopping {
		time.Sleep(time.Millisecond)
	}
}

// TestAnswerArrivesWhenItsCallerGoesOnSending guards against the end of an answer that is lost since
// its connection is closed, as the answer has announced, while the caller sends further requests.
func TestAnswerArrivesWhenItsCallerGoesOnSending(t *testing.T) {
	s, release := newTCPStoppable(t)
	s.stopBeforeAnswer()
	release()
	time.Sleep(100 * time.Millisecond) // the server has written the answer
	s.send(strings.Repeat(withKey("GET /svc/y", "X-Pad: "+strings.Repeat("p", 3000)+"\r\n"), 2))
	<-s.entry.Done()
	result := make(chan error, 1)
	go func() { result <- s.shutdown(t.Context()) }()
	time.Sleep(100 * time.Millisecond) // a reset would have arrived
	assert.NilError(t, s.caller.SetReadDeadline(time.Now().Add(waitTimeout)))
	resp, err := http.ReadResponse(s.answers, nil)
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err, "%d of %d bytes have arrived", n, longAnswerSize)
	assert.Equal(t, n, int64(longAnswerSize))
	_ = s.caller.Close()
	assert.NilError(t, <-result)
}

// TestStopWaitsUntilCallersHaveTheirAnswers guards against a stop that ends while the end of an
// answer, written to its socket, has not reached the caller.
func TestStopWaitsUntilCallersHaveTheirAnswers(t *testing.T) {
	s, release := newTCPStoppable(t)
	s.stopBeforeAnswer()
	release()
	<-s.entry.Done()
	ctx, cancel := context.WithTimeout(t.Context(), lingerTime+500*time.Millisecond)
	defer cancel()
	var open *OpenConnectionsError
	assert.Assert(t, errors.As(s.shutdown(ctx), &open))
	assert.Equal(t, open.Count, 1)
}
