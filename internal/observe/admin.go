package observe

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"
)

const (
	adminReadTimeout = 5 * time.Second
	// adminWriteTimeout bounds the time that a caller may take to read an answer: one that stops
	// reading occupies one of adminConcurrency places.
	adminWriteTimeout = 5 * time.Second
	adminMaxBody      = 4 << 10 // bytes
	adminConcurrency  = 64
)

// AdminConfig contains the data sources and options of an Admin server.
type AdminConfig struct {
	// Ready returns nil if the process accepts work, otherwise an error with the reason.
	// If Ready is nil, the process always counts as ready.
	Ready func() error
	// State returns the value that /debug/state serves as JSON. If State is nil, the path
	// is not served.
	State func() any
	// Metrics is served on /metrics. If Metrics is nil, the path is not served.
	Metrics *Metrics
	// Profiling enables /debug/pprof.
	Profiling bool
	// Logger receives the server's errors.
	Logger *log.Logger
}

// Admin is the admin HTTP server of a process. It serves
//
//	/healthz      200 while the process runs
//	/readyz       200 if the process accepts work, otherwise 503 and the reason
//	/metrics      metrics in the Prometheus text format
//	/debug/state  the state dump as JSON
//	/debug/pprof  profiles, if enabled
type Admin struct {
	cfg         AdminConfig
	server      *fasthttp.Server
	ln          net.Listener
	serveResult chan error
}

// NewAdmin returns an Admin that serves once Listen has been called.
func NewAdmin(cfg AdminConfig) *Admin {
	a := &Admin{cfg: cfg, serveResult: make(chan error, 1)}
	a.server = &fasthttp.Server{
		Handler:            a.handle,
		Name:               "gentiantrail",
		ReadTimeout:        adminReadTimeout,
		WriteTimeout:       adminWriteTimeout,
		MaxRequestBodySize: adminMaxBody,
		Concurrency:        adminConcurrency,
		CloseOnShutdown:    true,
		Logger:             serverLogger{cfg.Logger},
	}
	return a
}

// Listen starts serving on addr, an IP address and port.
func (a *Admin) Listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("admin address: %w", err)
	}
	a.ln = ln
	go func() { a.serveResult <- a.server.Serve(ln) }()
	return nil
}

// Addr returns the bound address, or the empty string before Listen.
func (a *Admin) Addr() string {
	if a.ln == nil {
		return ""
	}
	return a.ln.Addr().String()
}

// Close stops the server and waits for requests in flight until ctx ends.
func (a *Admin) Close(ctx context.Context) error {
	if a.ln == nil {
		return nil
	}
	if err := a.server.ShutdownWithContext(ctx); err != nil {
		return err
	}
	return <-a.serveResult
}

func (a *Admin) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case !ctx.IsGet() && !ctx.IsHead():
		ctx.Error("only GET is served", fasthttp.StatusMethodNotAllowed)
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		a.ready(ctx)
	case path == "/metrics" && a.cfg.Metrics != nil:
		a.cfg.Metrics.handler(ctx)
	case path == "/debug/state" && a.cfg.State != nil:
		a.state(ctx)
	case a.cfg.Profiling && strings.HasPrefix(path, "/debug/pprof"):
		pprofhandler.PprofHandler(ctx)
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

func (a *Admin) ready(ctx *fasthttp.RequestCtx) {
	if a.cfg.Ready != nil {
		if err := a.cfg.Ready(); err != nil {
			ctx.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
			return
		}
	}
	ctx.SetBodyString("ok\n")
}

func (a *Admin) state(ctx *fasthttp.RequestCtx) {
	body, err := json.MarshalIndent(a.cfg.State(), "", "  ")
	if err != nil {
		ctx.Error("the state cannot be encoded", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

// serverLogger writes fasthttp's messages to a logger.
type serverLogger struct{ log *log.Logger }

// Printf implements fasthttp.Logger.
func (s serverLogger) Printf(format string, args ...any) {
	if s.log == nil {
		return
	}
	s.log.Warn().Str("event", "admin_http").Str("detail", fmt.Sprintf(format, args...)).Msg("")
}
