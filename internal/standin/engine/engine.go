// Package engine is a stand-in for a model engine, for trials and tests only.
//
// It batches continuously: each running request yields one token per step. Its
// capacity is small until it is warm. It crashes when it runs more requests than its
// capacity: every stream breaks and it restarts cold.
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

// Config contains the capacity and timing of an engine.
type Config struct {
	// WarmCapacity is the maximum number of concurrent requests of a warm engine.
	WarmCapacity int
	// ColdCapacity is the maximum number of concurrent requests of a cold engine.
	ColdCapacity int
	// WarmAfter is the number of completed requests after which the engine is warm.
	WarmAfter int
	// TokenTime is the time between two tokens of a stream.
	TokenTime time.Duration
	// RestartTime is the time that the engine is down when it restarts.
	RestartTime time.Duration
}

// Engine is one stand-in engine.
type Engine struct {
	cfg Config

	mu                 sync.Mutex
	startID            uint64
	running            int
	completedSinceCold int
	breakAfter         int
	downUntil          time.Time
	stats              Stats
}

// Stats counts the requests and crashes of an engine.
type Stats struct {
	// Arrived counts the requests that reached the engine, whatever their outcome.
	Arrived   int `json:"arrived"`
	Completed int `json:"completed"`
	// Broken counts the requests that ended before the end of their stream.
	Broken int `json:"broken"`
	// Refused counts the requests that arrived while the engine was down.
	Refused int `json:"refused"`
	// Crashes counts the crashes caused by a request beyond the capacity.
	Crashes int `json:"fell_over"`
	// MaxRunning is the highest number of concurrent requests so far.
	MaxRunning int `json:"max_running"`
}

// Load is the engine's load report.
type Load struct {
	StartID string `json:"start_id"`
	State   string `json:"state"`
	Running int    `json:"running"`
}

// Faults are the faults to inject; POST /admin/faults sets them.
type Faults struct {
	// BreakAfter is the number of tokens after which each stream breaks; zero means never.
	BreakAfter int `json:"break_after"`
	// TurnCold makes the engine cold immediately, without a restart.
	TurnCold bool `json:"turn_cold"`
	// Restart restarts the engine, as after a crash.
	Restart bool `json:"restart"`
}

// generateRequest is the body of a request for tokens.
type generateRequest struct {
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
	jsonhttp.EchoRequestID(ctx)
	switch string(ctx.Path()) {
	case "/load":
		e.serveLoad(ctx)
	case "/stats":
		e.mu.Lock()
		defer e.mu.Unlock()
		jsonhttp.Write(ctx, e.stats)
	case "/admin/faults":
		e.setFaults(ctx)
	default:
		e.serveGenerate(ctx)
	}
}

func (e *Engine) serveLoad(ctx *fasthttp.RequestCtx) {
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
		e.completedSinceCold = 0
	}
	if f.Restart {
		e.restart()
	}
}

// cold reports whether the engine is still warming up; e.mu is held.
func (e *Engine) cold() bool { return e.completedSinceCold < e.cfg.WarmAfter }

// capacity returns the current maximum number of concurrent requests; e.mu is held.
func (e *Engine) capacity() int {
	if e.cold() {
		return e.cfg.ColdCapacity
	}
	return e.cfg.WarmCapacity
}

// restart breaks every stream and makes the engine cold; e.mu is held.
func (e *Engine) restart() {
	e.startID++
	e.completedSinceCold = 0
	e.running = 0
	e.downUntil = time.Now().Add(e.cfg.RestartTime)
}

// admit counts a request as running and returns the id of the current engine start.
// It returns false if the engine is down or the request exceeds the capacity, which
// crashes the engine.
func (e *Engine) admit() (startID uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Arrived++
	if time.Now().Before(e.downUntil) {
		e.stats.Refused++
		return 0, false
	}
	e.running++
	e.stats.MaxRunning = max(e.stats.MaxRunning, e.running)
	if e.running > e.capacity() {
		e.stats.Crashes++
		e.restart()
		return 0, false
	}
	return e.startID, true
}

// mayProduceToken reports whether a stream of the given engine start may produce the token
// with the given index.
func (e *Engine) mayProduceToken(startID uint64, index int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startID == startID && (e.breakAfter == 0 || index < e.breakAfter)
}

// finish ends a request that was admitted in the given engine start.
func (e *Engine) finish(startID uint64, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !complete {
		e.stats.Broken++
	}
	if e.startID != startID {
		return
	}
	e.running--
	if complete {
		e.stats.Completed++
		e.completedSinceCold++
	}
}

func (e *Engine) serveGenerate(ctx *fasthttp.RequestCtx) {
	g := generateRequest{MaxTokens: defaultTokens, Stream: true}
	if body := ctx.PostBody(); len(body) > 0 {
		if err := json.Unmarshal(body, &g); err != nil || g.MaxTokens < 1 || g.MaxTokens > maxTokens {
			ctx.Error("bad request", fasthttp.StatusBadRequest)
			return
		}
	}
	startID, ok := e.admit()
	if !ok {
		ctx.Error("engine is down", fasthttp.StatusInternalServerError)
		return
	}
	s := &stream{engine: e, startID: startID, mark: string(ctx.Request.Header.Peek("X-Mark")), tokens: g.MaxTokens}
	if g.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStream(s, -1)
		return
	}
	body, err := io.ReadAll(s)
	_ = s.Close()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("text/plain")
	ctx.SetBody(body)
}

// stream is the answer to a request; it yields one token per step.
type stream struct {
	engine  *Engine
	startID uint64
	mark    string
	tokens  int
	// next is the index of the next token; tokens+1 once the end event was produced.
	next int
	// pending contains the bytes that were produced and not yet read.
	pending []byte
	closed  bool
}

// errBroken ends a stream before its end event.
var errBroken = fmt.Errorf("engine: stream broken")

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		if err := s.produceToken(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// produceToken waits for the next token, or the end event, and stores it in pending.
func (s *stream) produceToken() error {
	if s.next > s.tokens {
		return io.EOF
	}
	if s.next == s.tokens {
		s.pending = []byte("data: [DONE]\n\n")
		s.next++
		return nil
	}
	time.Sleep(s.engine.cfg.TokenTime)
	if !s.engine.mayProduceToken(s.startID, s.next) {
		return errBroken
	}
	s.pending = fmt.Appendf(nil, "data: {\"mark\":%q,\"index\":%d}\n\n", s.mark, s.next)
	s.next++
	return nil
}

// Close ends the request.
func (s *stream) Close() error {
	if !s.closed {
		s.closed = true
		s.engine.finish(s.startID, s.next > s.tokens)
	}
	return nil
}
