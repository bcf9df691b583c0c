package entry

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/settings"
)

const (
	headerRequestID = "Gentiantrail-Request-Id"
	headerOutcome   = "Gentiantrail-Outcome"
	headerError     = "Gentiantrail-Error"
	// maxWhole is the largest body that is read whole before the answer starts, in
	// bytes; a failure then still gets an answer of its own.
	maxWhole = 64 << 10
	// eventStream is the content type of a streamed answer.
	eventStream = "text/event-stream"
)

// callerFilters is the way of a caller's request up to its dispatch.
var callerFilters = []filter{identify, classify, checkBody, setDeadline, prepare, admit}

// NewServer returns the HTTP server for callers.
func (e *Entry) NewServer(limits settings.EntryLimits) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               e.Handle,
		ErrorHandler:          e.handleBroken,
		ReadBufferSize:        int(limits.Header),
		MaxRequestBodySize:    int(limits.Body),
		ReadTimeout:           limits.ReadTimeout,
		IdleTimeout:           limits.IdleTimeout,
		Concurrency:           limits.Connections,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                silentLogger{},
	}
}

// silentLogger drops fasthttp's own messages; broken requests are logged as events.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

// Handle serves one caller's request.
func (e *Entry) Handle(ctx *fasthttp.RequestCtx) {
	x := e.receive(ctx)
	err := e.run(x, callerFilters)
	x.head = nil
	if err != nil {
		e.refuse(ctx, x, err)
		return
	}
	a, err := e.dispatch(x)
	if err != nil {
		e.refuse(ctx, x, err)
		return
	}
	e.relay(ctx, x, a)
}

// receive starts the exchange of a request; nothing of ctx is kept past the handler.
func (e *Entry) receive(ctx *fasthttp.RequestCtx) *exchange {
	x := &exchange{arrived: time.Now(), view: e.view.Load(), head: &ctx.Request.Header}
	x.req.Trace = newTrace()
	x.req.Body = append([]byte(nil), ctx.PostBody()...)
	return x
}

// newTrace returns a random request id.
func newTrace() string {
	var raw [8]byte
	for i, v := 0, rand.Uint64(); i < len(raw); i++ {
		raw[i] = byte(v >> (8 * i))
	}
	return hex.EncodeToString(raw[:])
}

// relay writes an answer whose head has arrived. A short one is read whole first.
func (e *Entry) relay(ctx *fasthttp.RequestCtx, x *exchange, a *answer) {
	length := a.head.Length
	if length >= 0 && length <= maxWhole {
		e.relayWhole(ctx, x, a)
		return
	}
	writeHead(ctx, x, a)
	if length >= 0 {
		ctx.SetBodyStream(a, int(length))
		return
	}
	if strings.HasPrefix(string(ctx.Response.Header.ContentType()), eventStream) {
		ctx.SetBodyStream(&eventBody{answer: a}, -1)
		return
	}
	ctx.SetBodyStream(a, -1)
}

func (e *Entry) relayWhole(ctx *fasthttp.RequestCtx, x *exchange, a *answer) {
	body := make([]byte, 0, a.head.Length)
	buf := make([]byte, min(int(a.head.Length)+1, 4<<10))
	for {
		n, err := a.Read(buf)
		body = append(body, buf[:n]...)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			failed := a.err
			_ = a.Close()
			e.writeError(ctx, x, failed)
			return
		}
	}
	writeHead(ctx, x, a)
	ctx.SetBody(body)
	_ = a.Close()
}

// writeHead writes the status and the headers of a target's answer.
func writeHead(ctx *fasthttp.RequestCtx, x *exchange, a *answer) {
	ctx.SetStatusCode(a.head.Status)
	for _, h := range a.head.Headers {
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	ctx.Response.Header.Set(headerRequestID, x.req.Trace)
	ctx.Response.Header.Set(headerOutcome, apierr.OutcomeRan.String())
}

// refuse answers an exchange that got no answer from a target.
func (e *Entry) refuse(ctx *fasthttp.RequestCtx, x *exchange, err *apierr.Error) {
	e.writeError(ctx, x, err)
	e.logEnd(x, err)
}

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail explains an error answer.
type errorDetail struct {
	Kind              string `json:"kind"`
	Message           string `json:"message"`
	Detail            string `json:"detail,omitempty"`
	Outcome           string `json:"outcome"`
	RequestID         string `json:"request_id"`
	RetryAfterSeconds int    `json:"retry_after_seconds,omitempty"`
}

// writeError writes the table's answer for err.
func (e *Entry) writeError(ctx *fasthttp.RequestCtx, x *exchange, err *apierr.Error) {
	row := err.Answer()
	detail := describe(x, err)
	ctx.Response.Reset()
	ctx.SetStatusCode(row.Status)
	ctx.Response.Header.Set(headerRequestID, x.req.Trace)
	ctx.Response.Header.Set(headerOutcome, row.Outcome.String())
	ctx.Response.Header.Set(headerError, row.Name)
	if detail.RetryAfterSeconds > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(detail.RetryAfterSeconds))
	}
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(errorBody{Error: detail})
}

// describe fills in the explanation of err.
func describe(x *exchange, err *apierr.Error) errorDetail {
	row := err.Answer()
	return errorDetail{
		Kind:              row.Name,
		Message:           row.Text,
		Detail:            err.Detail,
		Outcome:           row.Outcome.String(),
		RequestID:         x.req.Trace,
		RetryAfterSeconds: int((row.RetryAfter + time.Second - 1) / time.Second),
	}
}

// handleBroken answers what the HTTP library could not read as a request.
func (e *Entry) handleBroken(ctx *fasthttp.RequestCtx, cause error) {
	x := &exchange{arrived: time.Now(), view: e.view.Load()}
	x.req.Trace = newTrace()
	e.refuse(ctx, x, apierr.Wrap(brokenKind(cause), "", cause))
	ctx.SetConnectionClose()
}

func brokenKind(cause error) apierr.Kind {
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(cause, &small):
		return apierr.KindHeaderTooLarge
	case errors.Is(cause, fasthttp.ErrBodyTooLarge):
		return apierr.KindBodyTooLarge
	case errors.As(cause, &timeout) && timeout.Timeout():
		return apierr.KindSlowRequest
	default:
		return apierr.KindMalformed
	}
}

// logEnd gives the exchange's place back and writes its one line.
func (e *Entry) logEnd(x *exchange, err *apierr.Error) {
	e.leave(x)
	kind := apierr.KindNone
	if err != nil {
		kind = err.Kind
	}
	took := time.Since(x.arrived)
	e.ends.Record(kind, took)
	line := e.endLine(kind).Str("event", "request").Str("request", x.req.Trace).
		Str("organisation", x.req.Organisation).Str("service", x.req.Service).
		Str("kind", kind.String()).Str("outcome", kind.Answer().Outcome.String()).
		Str("target", x.target).Int("attempts", x.attempts).Int("hops", x.req.Hops).Dur("took", took)
	if err != nil {
		line = line.Str("detail", err.Error())
	}
	line.Msg("")
}

func (e *Entry) endLine(kind apierr.Kind) *log.Entry {
	if kind == apierr.KindInternal {
		return e.opts.Logger.Error()
	}
	return e.opts.Logger.Info()
}

// logAttempt writes the line of a failed attempt.
func (e *Entry) logAttempt(x *exchange, err *apierr.Error) {
	e.opts.Logger.Info().Str("event", "attempt-failed").Str("request", x.req.Trace).
		Str("target", x.target).Int("attempt", x.attempts).
		Str("kind", err.Kind.String()).Str("detail", err.Error()).Msg("")
}
