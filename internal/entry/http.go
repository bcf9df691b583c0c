package entry

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

const (
	headerRequestID = "Gentiantrail-Request-Id"
	headerOutcome   = "Gentiantrail-Outcome"
	headerError     = "Gentiantrail-Error"
	// maxBufferedBody is the size in bytes of the largest body that is read completely
	// before the answer starts, so that after a failure the request can still be tried again
	// or answered with an error.
	maxBufferedBody = 64 << 10
	// eventStreamType is the content type of a stream of server-sent events.
	eventStreamType = "text/event-stream"
)

// callerFilters are the filters that a caller's request passes before its dispatch.
var callerFilters = []filter{identify, classify, checkBodySize, setDeadline, prepareRequest, screen, admit}

// discardLogger drops fasthttp's own messages; requests that cannot be read are logged
// as events.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Handle serves one caller's request. In a stop, the answer says that the connection is
// closed behind it.
func (e *Entry) Handle(ctx *fasthttp.RequestCtx) {
	e.serve(ctx)
	if e.view.Load().stopping {
		ctx.SetConnectionClose()
	}
}

// serve answers one caller's request; the body of a long answer is read later.
func (e *Entry) serve(ctx *fasthttp.RequestCtx) {
	x := e.newExchange(ctx)
	err := e.run(x, callerFilters)
	x.header = nil
	if err != nil {
		e.finishWithError(ctx, x, err)
		return
	}
	a, err := e.dispatch(x)
	if err != nil {
		e.finishWithError(ctx, x, err)
		return
	}
	e.relay(ctx, x, a)
}

// newExchange returns the exchange of a request. It copies the body, and Handle clears
// the header, so that no memory of ctx is used after the handler has returned.
func (e *Entry) newExchange(ctx *fasthttp.RequestCtx) *exchange {
	x := &exchange{arrived: time.Now(), view: e.view.Load(), header: &ctx.Request.Header}
	x.req.RequestID = newRequestID()
	x.req.Body = append([]byte(nil), ctx.PostBody()...)
	return x
}

// newRequestID returns a random request ID.
func newRequestID() string {
	var raw [8]byte
	for i, v := 0, rand.Uint64(); i < len(raw); i++ {
		raw[i] = byte(v >> (8 * i))
	}
	return hex.EncodeToString(raw[:])
}

// relay writes an answer whose head has arrived, and the whole body of a short one.
func (e *Entry) relay(ctx *fasthttp.RequestCtx, x *exchange, a *answer) {
	writeHead(ctx, x, a)
	switch {
	case a.isShort():
		ctx.SetBody(a.pending)
		_ = a.Close()
	case a.head.Length >= 0:
		ctx.SetBodyStream(a, int(a.head.Length))
	case strings.HasPrefix(string(ctx.Response.Header.ContentType()), eventStreamType):
		ctx.SetBodyStream(&eventBody{answer: a}, -1)
	default:
		ctx.SetBodyStream(a, -1)
	}
}

// writeHead writes the status and the headers of a target's answer.
func writeHead(ctx *fasthttp.RequestCtx, x *exchange, a *answer) {
	ctx.SetStatusCode(a.head.Status)
	for _, h := range a.head.Headers {
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	ctx.Response.Header.Set(headerRequestID, x.req.RequestID)
	ctx.Response.Header.Set(headerOutcome, apierr.OutcomeRan.String())
}

// finishWithError answers an exchange for which no answer's head has arrived from a
// target, and ends it.
func (e *Entry) finishWithError(ctx *fasthttp.RequestCtx, x *exchange, err *apierr.Error) {
	e.writeError(ctx, x, err)
	e.finish(x, err)
}

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes the failure in an error answer.
type errorDetail struct {
	Kind              string `json:"kind"`
	Message           string `json:"message"`
	Detail            string `json:"detail,omitempty"`
	Outcome           string `json:"outcome"`
	RequestID         string `json:"request_id"`
	RetryAfterSeconds int    `json:"retry_after_seconds,omitempty"`
}

// writeError writes the answer that the table of error kinds defines for err.
func (e *Entry) writeError(ctx *fasthttp.RequestCtx, x *exchange, err *apierr.Error) {
	row := err.Answer()
	detail := newErrorDetail(x, err)
	ctx.Response.Reset()
	ctx.SetStatusCode(row.Status)
	ctx.Response.Header.Set(headerRequestID, x.req.RequestID)
	ctx.Response.Header.Set(headerOutcome, row.Outcome.String())
	ctx.Response.Header.Set(headerError, row.Name)
	if detail.RetryAfterSeconds > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(detail.RetryAfterSeconds))
	}
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(errorBody{Error: detail})
}

// newErrorDetail returns the description of err for the caller.
func newErrorDetail(x *exchange, err *apierr.Error) errorDetail {
	row := err.Answer()
	return errorDetail{
		Kind:              row.Name,
		Message:           row.Text,
		Detail:            err.Detail,
		Outcome:           row.Outcome.String(),
		RequestID:         x.req.RequestID,
		RetryAfterSeconds: int((row.RetryAfter + time.Second - 1) / time.Second),
	}
}

// handleReadError answers a request that the HTTP library could not read.
func (e *Entry) handleReadError(ctx *fasthttp.RequestCtx, cause error) {
	x := &exchange{arrived: time.Now(), view: e.view.Load()}
	x.req.RequestID = newRequestID()
	kind := readErrorKind(cause)
	if kind == apierr.KindSlowRequest && x.view.stopping {
		kind = apierr.KindDraining
	}
	e.finishWithError(ctx, x, apierr.Wrap(kind, "", cause))
	ctx.SetConnectionClose()
}

func readErrorKind(cause error) apierr.Kind {
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

// finish releases the exchange's slot, records its metrics and writes its log line.
func (e *Entry) finish(x *exchange, err *apierr.Error) {
	e.releaseSlot(x)
	kind := apierr.KindNone
	if err != nil {
		kind = err.Kind
	}
	elapsed := time.Since(x.arrived)
	e.metrics.Record(kind, elapsed)
	logEntry := e.logEntry(kind).Str("event", "request").Str("request", x.req.RequestID).
		Str("organisation", x.req.Organisation).Str("service", x.req.Service).
		Str("kind", kind.String()).Str("outcome", kind.Answer().Outcome.String()).
		Str("target", x.target).Int("attempts", x.attempts).Int("hops", x.req.Hops).Dur("took", elapsed)
	if err != nil {
		logEntry = logEntry.Str("detail", err.Error())
	}
	logEntry.Msg("")
}

func (e *Entry) logEntry(kind apierr.Kind) *log.Entry {
	if kind == apierr.KindInternal {
		return e.opts.Logger.Error()
	}
	return e.opts.Logger.Info()
}

// logAttempt writes the log line of a failed attempt.
func (e *Entry) logAttempt(x *exchange, err *apierr.Error) {
	e.opts.Logger.Info().Str("event", "attempt-failed").Str("request", x.req.RequestID).
		Str("target", x.target).Int("attempt", x.attempts).
		Str("kind", err.Kind.String()).Str("detail", err.Error()).Msg("")
}
