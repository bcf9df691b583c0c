// Package plain is a stand-in for a plain service whose requests must not be repeated,
// for trials and tests only. It records each run, so that tests can compare the answers
// that callers received with the runs.
package plain

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/standin/jsonhttp"
)

// Service is one stand-in service.
type Service struct {
	startID string

	mu      sync.Mutex
	runs    []Run
	running int
	faults  Faults
}

// Run is one recorded run.
type Run struct {
	Mark string `json:"mark"`
	Path string `json:"path"`
	// Key is the idempotency key of the request, if any.
	Key string `json:"key,omitempty"`
}

// Faults are the faults to inject; POST /admin/faults sets them.
type Faults struct {
	// DelayMS is the time in milliseconds between the recording of a run and its answer.
	DelayMS int `json:"delay_ms"`
	// ResetBefore is the number of coming requests that are not run and whose connection
	// is closed.
	ResetBefore int `json:"reset_before"`
	// ResetAfter is the number of coming requests that are run and whose connection is
	// closed without an answer.
	ResetAfter int `json:"reset_after"`
}

// New returns a service without runs.
func New() *Service { return &Service{startID: strconv.FormatInt(time.Now().UnixNano(), 16)} }

// Handle serves the service's HTTP interface.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	jsonhttp.EchoRequestID(ctx)
	switch string(ctx.Path()) {
	case "/load":
		s.mu.Lock()
		defer s.mu.Unlock()
		jsonhttp.Write(ctx, loadReport{StartID: s.startID, State: "warm", Running: s.running})
	case "/runs":
		s.mu.Lock()
		defer s.mu.Unlock()
		jsonhttp.Write(ctx, s.runs)
	case "/admin/faults":
		s.setFaults(ctx)
	default:
		s.run(ctx)
	}
}

func (s *Service) setFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if !jsonhttp.Read(ctx, &f) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// answer is the body of an answer.
type answer struct {
	Mark string `json:"mark"`
	Run  int    `json:"run"`
	Path string `json:"path"`
}

// run records and answers one request. GET requests are not recorded.
func (s *Service) run(ctx *fasthttp.RequestCtx) {
	r := Run{
		Mark: string(ctx.Request.Header.Peek("X-Mark")),
		Path: string(ctx.Path()),
		Key:  string(ctx.Request.Header.Peek("Idempotency-Key")),
	}
	s.mu.Lock()
	if s.faults.ResetBefore > 0 {
		s.faults.ResetBefore--
		s.mu.Unlock()
		reset(ctx)
		return
	}
	s.running++
	if !ctx.IsGet() {
		s.runs = append(s.runs, r)
	}
	n := len(s.runs)
	delay := time.Duration(s.faults.DelayMS) * time.Millisecond
	leaveUnanswered := s.faults.ResetAfter > 0
	if leaveUnanswered {
		s.faults.ResetAfter--
	}
	s.mu.Unlock()

	time.Sleep(delay)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	if leaveUnanswered {
		reset(ctx)
		return
	}
	jsonhttp.Write(ctx, answer{Mark: r.Mark, Run: n, Path: r.Path})
}

// reset closes the connection without an answer.
func reset(ctx *fasthttp.RequestCtx) {
	_ = ctx.Conn().Close()
}

// loadReport is the service's load report.
type loadReport struct {
	StartID string `json:"start_id"`
	State   string `json:"state"`
	Running int    `json:"running"`
}
