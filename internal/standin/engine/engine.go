// Package engine is a stand-in for a model engine, for trials and tests only.
//
// It batches continuously: each running request yields one token per step. It
// bears only a few requests until it is warm, and falls over when it is given
// more than it bears: every stream breaks and it starts again, cold.
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/standin/jsonhttp"
)

// Config sizes an engine.
type Config struct {
	// Warm is the most requests that the warm engine bears at once.
	Warm int
	// Cold is the most requests that the cold engine bears at once.
	Cold int
	// WarmAfter is the number of completed requests that make the engine warm.
	WarmAfter int
	// TokenTime is the time between two tokens of a stream.
	TokenTime time.Duration
	// Restart is the time the engine needs to come back after it fell over.
	Restart time.Duration
}

// Engine is one stand-in engine.
type Engine struct {
	cfg Config

	mu         sync.Mutex
	startID    uint64
	running    int
	sinceCold  int
	breakAfter int
	downUntil  time.Time
	stats      Stats
}

// Stats counts what happened to an engine.
type Stats struct {
	// Arrived counts the requests that reached the engine, whatever became of them.
	Arrived    int `json:"arrived"`
	Completed  int `json:"completed"`
	Broken     int `json:"broken"`
	Refused    int `json:"refused"`
	FellOver   int `json:"fell_over"`
	MaxRunning int `json:"max_running"`
}

// Load is the engine's load report.
type Load struct {
	StartID string `json:"start_id"`
	State   string `json:"state"`
	Running int    `json:"running"`
}

// Faults are set through POST /admin/faults.
type Faults struct {
	// BreakAfter breaks each stream after that many tokens; zero breaks none.
	BreakAfter int `json:"break_after"`
	// TurnCold makes the engine cold at once without a restart.
	TurnCold bool `json:"turn_cold"`
	// Restart makes the engine start again, as after a crash.
	Restart bool `json:"restart"`
}

// generate is the body of a request.
type generate struct {
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

const (
	defaultTokens = 8
	maxTokens     = 100_000
)

// New returns a cold engine.
func New(cfg Config) *Engine { return &Engine{cfg: cfg, startID: uint64(time.Now().UnixNano())} }

// Handle serves the engine's HTTP interface.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/load":
		e.load(ctx)
	case "/stats":
		e.mu.Lock()
		defer e.mu.Unlock()
		jsonhttp.Write(ctx, e.stats)
	case "/admin/faults":
		e.setFaults(ctx)
	default:
		e.generate(ctx)
	}
}

func (e *Engine) load(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	state := "warm"
	if e.cold() {
		state = "cold"
	}
	jsonhttp.Write(ctx, Load{StartID: strconv.FormatUint(e.startID, 16), State: state, Running: e.running})
}

func (e *Engine) setFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if !jsonhttp.Read(ctx, &f) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakAfter = f.BreakAfter
	if f.TurnCold {
		e.sinceCold = 0
	}
	if f.Restart {
		e.restart()
	}
}

// cold reports whether the engine still warms up; e.mu is held.
func (e *Engine) cold() bool { return e.sinceCold < e.cfg.WarmAfter }

// bears returns the most requests that the engine bears now; e.mu is held.
func (e *Engine) bears() int {
	if e.cold() {
		return e.cfg.Cold
	}
	return e.cfg.Warm
}

// restart breaks every stream and begins cold; e.mu is held.
func (e *Engine) restart() {
	e.startID++
	e.sinceCold = 0
	e.running = 0
	e.downUntil = time.Now().Add(e.cfg.Restart)
}

// begin admits a request and returns the start it belongs to.
func (e *Engine) begin() (start uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Arrived++
	if time.Now().Before(e.downUntil) {
		e.stats.Refused++
		return 0, false
	}
	e.running++
	e.stats.MaxRunning = max(e.stats.MaxRunning, e.running)
	if e.running > e.bears() {
		e.stats.FellOver++
		e.restart()
		return 0, false
	}
	return e.startID, true
}

// step reports whether a stream of the given start may yield token index.
func (e *Engine) step(start uint64, index int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startID == start && (e.breakAfter == 0 || index < e.breakAfter)
}

// end settles a request of the given start.
func (e *Engine) end(start uint64, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !complete {
		e.stats.Broken++
	}
	if e.startID != start {
		return
	}
	e.running--
	if complete {
		e.stats.Completed++
		e.sinceCold++
	}
}

func (e *Engine) generate(ctx *fasthttp.RequestCtx) {
	g := generate{MaxTokens: defaultTokens, Stream: true}
	if body := ctx.PostBody(); len(body) > 0 {
		if err := json.Unmarshal(body, &g); err != nil || g.MaxTokens < 1 || g.MaxTokens > maxTokens {
			ctx.Error("bad request", fasthttp.StatusBadRequest)
			return
		}
	}
	start, ok := e.begin()
	if !ok {
		ctx.Error("engine is down", fasthttp.StatusInternalServerError)
		return
	}
	s := &stream{e: e, start: start, mark: string(ctx.Request.Header.Peek("X-Mark")), tokens: g.MaxTokens}
	if g.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStream(s, -1)
		return
	}
	whole, err := io.ReadAll(s)
	_ = s.Close()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("text/plain")
	ctx.SetBody(whole)
}

// stream yields one token a step.
type stream struct {
	e      *Engine
	start  uint64
	mark   string
	tokens int
	next   int
	rest   []byte
	closed bool
}

// errBroken ends a stream without its last chunk.
var errBroken = fmt.Errorf("engine: stream broken")

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		if err := s.step(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// step waits for the next token.
func (s *stream) step() error {
	if s.next > s.tokens {
		return io.EOF
	}
	if s.next == s.tokens {
		s.rest = []byte("data: [DONE]\n\n")
		s.next++
		return nil
	}
	time.Sleep(s.e.cfg.TokenTime)
	if !s.e.step(s.start, s.next) {
		return errBroken
	}
	s.rest = fmt.Appendf(nil, "data: {\"mark\":%q,\"index\":%d}\n\n", s.mark, s.next)
	s.next++
	return nil
}

// Close settles the request.
func (s *stream) Close() error {
	if !s.closed {
		s.closed = true
		s.e.end(s.start, s.next > s.tokens)
	}
	return nil
}
