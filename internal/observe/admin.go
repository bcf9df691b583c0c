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
	adminMaxBody     = 4 << 10 // bytes
	adminConcurrency = 64
)

// AdminConfig holds the sources of an Admin server.
type AdminConfig struct {
	// Ready returns nil when the process takes work, else why it does not. Nil means always.
	Ready func() error
	// State returns the value that /debug/state shows as JSON. Nil shows nothing.
	State func() any
	// Metrics is served on /metrics. Nil serves none.
	Metrics *Metrics
	// Profiling serves /debug/pprof.
	Profiling bool
	// Logger receives the server's errors.
	Logger *log.Logger
}

// Admin is the admin HTTP server of a process. It serves
//
//	/healthz      200 while the process runs
//	/readyz       200 when it takes work, else 503 and the reason
//	/metrics      metrics in the Prometheus text format
//	/debug/state  the state dump as JSON
//	/debug/pprof  profiles, if switched on
type Admin struct {
	cfg    AdminConfig
	server *fasthttp.Server
	ln     net.Listener
	served chan error
}

// NewAdmin returns an Admin that serves after Listen.
func NewAdmin(cfg AdminConfig) *Admin {
	a := &Admin{cfg: cfg, served: make(chan error, 1)}
	a.server = &fasthttp.Server{
		Handler:            a.handle,
		Name:               "gentiantrail",
		ReadTimeout:        adminReadTimeout,
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
	go func() { a.served <- a.server.Serve(ln) }()
	return nil
}

// Addr returns the bound address, or the empty string before Listen.
func (a *Admin) Addr() string {
	if a.ln == nil {
		return ""
	}
	return a.ln.Addr().String()
}

// Close stops the server; calls in flight finish first, as far as ctx allows.
func (a *Admin) Close(ctx context.Context) error {
	if a.ln == nil {
		return nil
	}
	if err := a.server.ShutdownWithContext(ctx); err != nil {
		return err
	}
	return <-a.served
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

// serverLogger passes fasthttp's messages on.
type serverLogger struct{ log *log.Logger }

// Printf implements fasthttp.Logger.
func (s serverLogger) Printf(format string, args ...any) {
	if s.log == nil {
		return
	}
	s.log.Warn().Str("event", "admin_http").Str("detail", fmt.Sprintf(format, args...)).Msg("")
}
