package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/http1"
)

const (
	// sweepInterval is the period of checks for slow and idle callers.
	sweepInterval = 500 * time.Millisecond
	// maxUnsentBytes bounds the bytes that wait for a caller that doesn't read.
	maxUnsentBytes = 16 << 20
	// stopIdle is how long after the stop signal an idle connection of a caller stays
	// open: the balancer in front needs two checks of readiness to notice.
	stopIdle = 3 * time.Second
	// callerKeepAlive finds callers whose connection has gone silent; gnet probes five
	// times within it, in whole seconds.
	callerKeepAlive = 5 * time.Second
	// defaultHeaderTimeout and defaultIdleTimeout hold until a configuration is known.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// defaultHeaderBytes and defaultBodyBytes are sizes that hold until then.
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 4 << 20
)

// server is the listener for callers: one event loop that reads requests and writes
// answers. Each request is handled on a goroutine of its own.
type server struct {
	gnet.BuiltinEventEngine
	g      *Gateway
	engine gnet.Engine
	booted chan struct{}
	// conns is owned by the event loop.
	conns map[*callerConn]struct{}
}

func newServer(g *Gateway) *server {
	return &server{g: g, booted: make(chan struct{}), conns: make(map[*callerConn]struct{})}
}

// Serve accepts callers' connections until ctx ends.
func (g *Gateway) Serve(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		select {
		case <-g.server.booted:
			if err := g.server.engine.Stop(context.Background()); err != nil {
				g.opts.Logger.Warn().Str("event", "listener-stop").Err(err).Msg("")
			}
		default:
		}
	}()
	return gnet.Run(g.server, "tcp4://"+g.opts.Settings.Listen,
		gnet.WithMulticore(false), gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true),
		gnet.WithTicker(true), gnet.WithTCPKeepAlive(callerKeepAlive), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(gnetLogger{g.opts.Logger}))
}

// OnBoot implements gnet.EventHandler.
func (s *server) OnBoot(e gnet.Engine) gnet.Action {
	s.engine = e
	close(s.booted)
	return gnet.None
}

// callerConn is one connection of a caller; its fields are owned by the event loop.
type callerConn struct {
	s    *server
	conn gnet.Conn
	// busy tells that a request is being handled; further bytes wait.
	busy bool
	// active is when the connection was last used; partial is when the first byte of
	// an unfinished request came.
	active  time.Time
	partial time.Time
	// continued tells that the caller was asked to send the body.
	continued bool
	closing   bool
	cancel    context.CancelFunc
}

// OnOpen implements gnet.EventHandler.
func (s *server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	cc := &callerConn{s: s, conn: c, active: time.Now()}
	c.SetContext(cc)
	s.conns[cc] = struct{}{}
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler. Work for the caller ends at once.
func (s *server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if cc, ok := c.Context().(*callerConn); ok {
		delete(s.conns, cc)
		cc.closing = true
		if cc.cancel != nil {
			cc.cancel()
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

// OnTick implements gnet.EventHandler: it closes the connections of slow and idle callers.
func (s *server) OnTick() (time.Duration, gnet.Action) {
	now := time.Now()
	v := s.g.view.Load()
	header, idle := defaultHeaderTimeout, defaultIdleTimeout
	if v.index != nil {
		header, idle = v.index.Config.Limits.HeaderTimeout, v.index.Config.Limits.IdleTimeout
	}
	stopped := s.g.stoppedFor()
	for cc := range s.conns {
		switch {
		case cc.busy || cc.closing:
		case !cc.partial.IsZero():
			if now.Sub(cc.partial) > header {
				cc.reject(apierr.New(apierr.KindSlowRequest, ""))
			}
		case now.Sub(cc.active) > idle, stopped > stopIdle:
			cc.closing = true
			_ = cc.conn.Close()
		}
	}
	return sweepInterval, gnet.None
}

// read starts the next request if it is whole.
func (cc *callerConn) read() gnet.Action {
	if cc.busy || cc.closing {
		return gnet.None
	}
	buf, err := cc.conn.Peek(-1)
	if err != nil || len(buf) == 0 {
		return gnet.None
	}
	g := cc.s.g
	v := g.view.Load()
	req, n, err := http1.ParseRequest(buf, limitsOf(v))
	if err != nil {
		cc.reject(apierr.Wrap(syntaxKind(err), "", err))
		return gnet.None
	}
	if n == 0 {
		cc.awaitMore(buf)
		return gnet.None
	}
	if _, err := cc.conn.Discard(n); err != nil {
		return gnet.Close
	}
	cc.begin(req, v)
	return gnet.None
}

// awaitMore notes that a request has begun and is not whole yet.
func (cc *callerConn) awaitMore(buf []byte) {
	if cc.partial.IsZero() {
		cc.partial = time.Now()
	}
	if !cc.continued && http1.AwaitsContinue(buf) {
		cc.continued = true
		cc.send([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

func (cc *callerConn) begin(req *http1.Request, v *view) {
	ctx, cancel := context.WithCancel(context.Background())
	cc.busy, cc.cancel, cc.partial, cc.continued = true, cancel, time.Time{}, false
	x := &exchange{ctx: ctx, out: &connWriter{cc: cc, cancel: cancel}, req: req, view: v, arrived: time.Now()}
	go cc.s.g.handle(x)
}

// reject answers bytes that are no acceptable request and closes the connection.
func (cc *callerConn) reject(err *apierr.Error) {
	cc.closing = true
	row := err.Answer()
	cc.s.g.ends.Count(err.Kind)
	cc.s.g.opts.Logger.Info().Str("event", "request-rejected").Str("kind", row.Name).
		Str("peer", cc.conn.RemoteAddr().String()).Str("detail", err.Error()).Msg("")
	b := http1.AppendStatus(nil, row.Status, "")
	b = append(b, "Connection: close\r\n"...)
	cc.send(http1.AppendWhole(b, nil))
	_ = cc.conn.Close()
}

// send writes from the event loop.
func (cc *callerConn) send(b []byte) {
	if _, err := cc.conn.Write(b); err != nil {
		cc.closing = true
		_ = cc.conn.Close()
	}
}

func limitsOf(v *view) http1.Limits {
	if v.index == nil {
		return http1.Limits{Header: defaultHeaderBytes, Body: defaultBodyBytes}
	}
	l := v.index.Config.Limits
	return http1.Limits{Header: l.HeaderBytes, Body: l.BodyBytes}
}

func syntaxKind(err error) apierr.Kind {
	var large *http1.TooLargeError
	if !errors.As(err, &large) {
		return apierr.KindMalformed
	}
	if large.Part == http1.PartBody {
		return apierr.KindBodyTooLarge
	}
	return apierr.KindHeaderTooLarge
}
