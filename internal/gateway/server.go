package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/http1"
)

const (
	// sweepInterval is the interval of the checks for slow and idle callers.
	sweepInterval = 500 * time.Millisecond
	// maxUnsentBytes bounds the bytes buffered for a caller that doesn't read.
	maxUnsentBytes = 16 << 20
	// stopIdleTime is how long after the stop signal callers may still come: the load balancer in
	// front needs two readiness checks to detect the stop.
	stopIdleTime = 3 * time.Second
	// requestTime is how long a connection that has just been accepted, or whose answer has just been sent,
	// stays open in a stop: its caller may be sending a request.
	requestTime = 500 * time.Millisecond
	// callerKeepAlive is the idle time after which TCP keep-alive probes are sent on a
	// caller's connection. It is closed after callerProbes unanswered probes at
	// callerProbeInterval.
	callerKeepAlive     = 5 * time.Second
	callerProbeInterval = time.Second
	callerProbes        = 5
	// defaultHeaderTimeout and defaultIdleTimeout apply until a configuration is known.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// defaultHeaderBytes and defaultBodyBytes are limits in bytes that apply until then.
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 4 << 20
)

// server is the listener for callers: one event loop that reads requests and writes
// responses. Each request is handled in a goroutine of its own.
type server struct {
	gnet.BuiltinEventEngine
	g      *Gateway
	engine gnet.Engine
	booted chan struct{}
	// mu guards conns, since ticks do not run on the event loop.
	mu    sync.Mutex
	conns map[*callerConn]struct{}
	// maxConns bounds the number of conns.
	maxConns int
	budget   *callerBudget
	// gate guards ending, and the step from bytes that have been read to a request in flight.
	gate sync.Mutex
	// ending is true once no request is handled any more: those that still arrive are refused.
	ending bool
	// closed is closed once the listener and all connections are closed.
	closed chan struct{}
}

func newServer(g *Gateway) *server {
	return &server{
		g: g, booted: make(chan struct{}), conns: make(map[*callerConn]struct{}),
		maxConns: maxCallers(g.opts.Settings), budget: newCallerBudget(g), closed: make(chan struct{}),
	}
}

// Serve accepts callers' connections until ctx ends. It must be called only once.
func (g *Gateway) Serve(ctx context.Context) error {
	defer close(g.server.closed)
	go func() {
		<-ctx.Done()
		select {
		case <-g.server.booted:
			if err := g.server.engine.Stop(context.Background()); err != nil {
				g.opts.Logger.Warn().Str("event", "listener-stop").Err(err).Msg("")
			}
		case <-g.server.closed:
		}
	}()
	if err := checkUnused(g.opts.Settings.Listen); err != nil {
		return err
	}
	// With ReusePort the one event loop accepts connections itself and refuses those above the
	// limit one by one. Otherwise another goroutine accepts a crowd faster than the loop refuses
	// it, until descriptors run out, and gnet ends.
	return gnet.Run(g.server, "tcp4://"+g.opts.Settings.Listen,
		gnet.WithMulticore(false), gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true), gnet.WithReusePort(true),
		gnet.WithTicker(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(gnetLogger{g.opts.Logger}))
}

// checkUnused returns an error if another process listens on addr: with ReusePort two gateways
// could share it. It does not listen itself, as callers that connect meanwhile would be reset.
func checkUnused(addr string) error {
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	defer func() { _ = unix.Close(fd) }()
	// The address may have connections of a process before this one.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	bound := &unix.SockaddrInet4{Port: a.Port}
	copy(bound.Addr[:], a.IP.To4())
	return os.NewSyscallError("bind", unix.Bind(fd, bound))
}

// OnBoot implements gnet.EventHandler.
func (s *server) OnBoot(e gnet.Engine) gnet.Action {
	s.engine = e
	close(s.booted)
	return gnet.None
}

// OnOpen implements gnet.EventHandler. It refuses connections above the limit.
func (s *server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	cc := &callerConn{s: s, conn: c}
	cc.account = s.budget.open(cc)
	cc.waiting.Store(&wait{since: time.Now()})
	if !s.add(cc) {
		s.budget.close(cc.account)
		s.budget.recordCut(reasonConnections, 0, c.RemoteAddr())
		return errorAnswer(apierr.New(apierr.KindOverloaded, ""), nil), gnet.Close
	}
	c.SetContext(cc)
	// gnet's option for keep-alive would hide a failure to listen behind an error of
	// setsockopt.
	if err := c.SetKeepAlive(true, callerKeepAlive, callerProbeInterval, callerProbes); err != nil {
		s.g.opts.Logger.Debug().Str("event", "keepalive").Err(err).Msg("the caller has disconnected already")
	}
	return nil, gnet.None
}

// add records a connection and reports whether there was room for it.
func (s *server) add(cc *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.maxConns {
		return false
	}
	s.conns[cc] = struct{}{}
	return true
}

// OnClose implements gnet.EventHandler. It cancels the request in progress.
func (s *server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if cc, ok := c.Context().(*callerConn); ok {
		s.mu.Lock()
		delete(s.conns, cc)
		s.mu.Unlock()
		cc.closing, cc.closed = true, true
		cc.dropInput()
		s.budget.close(cc.account)
		if cc.out != nil {
			cc.out.cancel()
		}
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	cc, ok := c.Context().(*callerConn)
	if !ok {
		return gnet.Close
	}
	return cc.read()
}

// OnTick implements gnet.EventHandler. It makes the event loop close the connections of
// slow and idle callers.
func (s *server) OnTick() (time.Duration, gnet.Action) {
	now := time.Now()
	s.budget.report()
	s.mu.Lock()
	defer s.mu.Unlock()
	for cc := range s.conns {
		if w := cc.waiting.Load(); w != nil && s.overdue(cc, w, now) {
			_ = cc.conn.Wake(func(gnet.Conn, error) error { // fails only if the connection is closed
				cc.expire()
				return nil
			})
		}
	}
	return sweepInterval, gnet.None
}

// overdue reports whether a wait has exceeded its timeout: the header timeout from the first
// part of a request until the whole request has arrived, the time for which a caller may read its
// last response, or else the idle timeout. During a stop, idle connections are overdue after
// admissionTime, once they have had requestTime. None is overdue as long as its caller goes on
// reading the last response, since a reset would lose the end of it.
func (s *server) overdue(cc *callerConn, w *wait, now time.Time) bool {
	header, idle := defaultHeaderTimeout, defaultIdleTimeout
	if v := s.g.view.Load(); v.index != nil {
		header, idle = v.index.Config.Limits.HeaderTimeout, v.index.Config.Limits.IdleTimeout
	}
	waited := now.Sub(w.since)
	switch {
	case w.partial:
		return waited > header
	case w.lingering:
		return cc.lingered(w, now)
	case w.sent != nil && cc.unacknowledged() > 0:
		return w.sent.stalled(cc.unacknowledged(), now)
	}
	return waited > idle || waited > requestTime && s.g.timeSinceSignal() > admissionTime
}

func parseLimits(v *view) http1.Limits {
	if v.index == nil {
		return http1.Limits{Header: defaultHeaderBytes, Body: defaultBodyBytes}
	}
	l := v.index.Config.Limits
	return http1.Limits{Header: l.HeaderBytes, Body: l.BodyBytes}
}

func parseErrorKind(err error) apierr.Kind {
	var large *http1.TooLargeError
	if !errors.As(err, &large) {
		return apierr.KindMalformed
	}
	if large.Part == http1.PartBody {
		return apierr.KindBodyTooLarge
	}
	return apierr.KindHeaderTooLarge
}
