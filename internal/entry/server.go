package entry

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/internal/sockopt"
)

const (
	// stopIdleTime is the time without a request after which Shutdown closes a caller's
	// connection. Callers that send sooner are told with their answer.
	stopIdleTime = 500 * time.Millisecond
	// shutdownPollInterval is the interval at which Shutdown looks at the connections.
	shutdownPollInterval = 20 * time.Millisecond
	// acceptTimeout bounds the time in which Shutdown accepts the connections that callers have opened.
	acceptTimeout = time.Second
	// acceptPollInterval is the interval at which Shutdown looks for them.
	acceptPollInterval = time.Millisecond
)

// Server accepts callers' connections. Once the entry is stopping, each answer says that the
// connection is closed behind it.
type Server struct {
	http *fasthttp.Server
	// served is closed when Serve returns, and accepts no more connections.
	served chan struct{}

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	conns    map[net.Conn]callerConn
}

// callerConn is the state of a caller's connection.
type callerConn struct {
	// idleSince is when the last answer was sent or the connection was accepted; it is zero
	// while a request is read or handled.
	idleSince time.Time
	// ending is true once the connection has been told to end for being idle.
	ending bool
}

// NewServer returns the HTTP server for callers.
func (e *Entry) NewServer(limits settings.EntryLimits) *Server {
	s := &Server{served: make(chan struct{}), conns: make(map[net.Conn]callerConn)}
	s.http = &fasthttp.Server{
		Handler:               e.Handle,
		ErrorHandler:          s.answeringReadError(e.handleReadError),
		ReadBufferSize:        int(limits.Header),
		MaxRequestBodySize:    int(limits.Body),
		ReadTimeout:           limits.ReadTimeout,
		IdleTimeout:           limits.IdleTimeout,
		Concurrency:           limits.Connections,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
		ConnState:             s.recordState,
	}
	return s
}

// ListenAndServe accepts connections at addr until Shutdown; then it returns nil.
func (s *Server) ListenAndServe(addr string) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	return s.Serve(ln)
}

// Serve accepts connections from ln until Shutdown; then it returns nil. It must be called only once.
func (s *Server) Serve(ln net.Listener) error {
	defer close(s.served)
	s.mu.Lock()
	closed := s.closed
	s.listener = ln
	s.mu.Unlock()
	if closed {
		return ln.Close()
	}
	return s.http.Serve(lingeringListener{Listener: ln, server: s})
}

// OpenConnectionsError means that callers had not sent the rest of a request, or not taken its
// answer, when the time for that ended.
type OpenConnectionsError struct {
	// Count is the number of their connections.
	Count int
}

// Error implements error.
func (e *OpenConnectionsError) Error() string {
	return strconv.Itoa(e.Count) + " connections of callers are still open"
}

// Shutdown accepts no more connections, and returns once every request that was read, also in
// part, has been answered and the connections are closed. The entry must be stopping. It
// returns an *OpenConnectionsError if ctx ends first, and the error of the listener's end.
func (s *Server) Shutdown(ctx context.Context) error {
	listenerErr := s.StopAccepting(ctx)
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		open := s.endIdle()
		if open == 0 {
			return listenerErr
		}
		select {
		case <-ctx.Done():
			return &OpenConnectionsError{Count: open}
		case <-ticker.C:
		}
	}
}

// StopAccepting closes the listener, which resets the connections that wait there: it first accepts
// those that callers have opened. It returns once none is accepted any more.
func (s *Server) StopAccepting(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	ln := s.listener
	s.mu.Unlock()
	if ln == nil {
		return nil
	}
	for end := time.Now().Add(acceptTimeout); sockopt.HasUnaccepted(ln) && time.Now().Before(end); {
		time.Sleep(acceptPollInterval)
	}
	err := ln.Close()
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	return err
}

// endIdle ends the connections that have been idle for stopIdleTime, and returns the number
// of open ones. It ends their wait for a request instead of closing them: bytes that have
// been read in the meantime are still handled.
func (s *Server) endIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c, state := range s.conns {
		if state.idleSince.IsZero() || now.Sub(state.idleSince) < stopIdleTime || !sockopt.IsQuiet(c) {
			continue
		}
		state.ending = c.SetReadDeadline(now) == nil
		s.conns[c] = state
	}
	return len(s.conns)
}

// answeringReadError returns an error handler whose answers count like those to requests, also on
// a connection that never became active.
func (s *Server) answeringReadError(h func(*fasthttp.RequestCtx, error)) func(*fasthttp.RequestCtx, error) {
	return func(ctx *fasthttp.RequestCtx, cause error) {
		s.recordState(ctx.Conn(), fasthttp.StateActive)
		h(ctx, cause)
	}
}

// closesBehindAnswer reports whether a connection that is being closed does not wait for a
// request: its last answer said that it is closed, or could not be sent.
func (s *Server) closesBehindAnswer(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.conns[c]
	return ok && state.idleSince.IsZero()
}

// recordState follows the state of a connection; the HTTP library calls it on the
// connection's goroutine, before it sets deadlines of its own.
func (s *Server) recordState(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew, fasthttp.StateIdle:
		s.conns[c] = callerConn{idleSince: time.Now()}
	case fasthttp.StateActive:
		if s.conns[c].ending {
			_ = c.SetReadDeadline(time.Now().Add(s.http.ReadTimeout))
		}
		s.conns[c] = callerConn{}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(s.conns, c)
	}
}
