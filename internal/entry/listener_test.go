package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateListener accepts one connection, which it returns a moment after it has been closed.
type lateListener struct {
	*pipeListener
	late net.Conn
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	c := l.late
	l.late = nil
	if c == nil {
		return nil, io.EOF
	}
	time.Sleep(500 * time.Millisecond)
	return c, nil
}

// TestConnectionThatIsAcceptedInTheShutdownIsAnswered guards against a process that ends beside a connection that it
// has just accepted.
func TestConnectionThatIsAcceptedInTheShutdownIsAnswered(t *testing.T) {
	s := newTestEntry(t)
	server := s.entry.NewServer(testLimits())
	caller, accepted := net.Pipe()
	go func() { _ = server.Serve(&lateListener{newPipeListener(), accepted}) }()
	waitServing(t, server)
	answered := make(chan error, 1)
	go func() {
		_, _ = io.WriteString(caller, withKey("GET /svc/x", ""))
		_, err := http.ReadResponse(bufio.NewReader(caller), nil)
		answered <- err
	}()
	s.entry.Stop()
	<-s.entry.Done()
	assert.NilError(t, server.Shutdown(t.Context()))
	select {
	case err := <-answered:
		assert.NilError(t, err)
	case <-time.After(200 * time.Millisecond): // the caller reads the answer
		t.Error("the shutdown ended before the answer")
	}
}

// slowListener is a TCP listener on a busy machine: connections wait before they are accepted.
type slowListener struct{ *net.TCPListener }

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(50 * time.Millisecond)
	return l.TCPListener.Accept()
}

// TestCallersThatWaitToBeAcceptedAreAnsweredInAStop guards against connections that the system has accepted for the
// entry, and that it resets when the listener is closed.
func TestCallersThatWaitToBeAcceptedAreAnsweredInAStop(t *testing.T) {
	s := newTestEntry(t)
	server := s.entry.NewServer(testLimits())
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	tcp, ok := ln.(*net.TCPListener)
	assert.Assert(t, ok)
	go func() { _ = server.Serve(slowListener{tcp}) }()
	waitServing(t, server)
	s.entry.Stop()
	<-s.entry.Done()
	var callers []net.Conn
	for range 3 {
		c, err := net.Dial("tcp4", ln.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(c, withKey("GET /svc/x", ""))
		assert.NilError(t, err)
		callers = append(callers, c)
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	assert.NilError(t, server.Shutdown(ctx))
	for _, c := range callers {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assertRefused(t, resp)
		_ = c.Close()
	}
}

// waitServing waits until the server has its listener.
func waitServing(t *testing.T, s *Server) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		serving := s.listener != nil
		s.mu.Unlock()
		if serving {
			return
		}
	}
	t.Fatal("the server does not serve")
}
