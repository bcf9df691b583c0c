// Package callers plays the callers of gentiantrail, for trials and tests only.
//
// Every request carries a mark of its own, which the stand-in targets repeat in
// every part of their answers; a Caller classes each answer by what it saw, and
// Judge compares what callers were told with what the targets ran.
package callers

import (
	"net/http"
	"time"
)

// Request is one request of a caller.
type Request struct {
	// Method and Path say what is asked of the service; the path begins with it.
	Method, Path string
	// APIKey identifies the organisation.
	APIKey string
	// Mark is the request's own mark. Repeats of one request share it.
	Mark string
	// IdempotencyKey is the caller's key, if any.
	IdempotencyKey string
	// Repeatable tells that the request is idempotent and may run more than once.
	Repeatable bool
	// Timeout is the time to the complete answer; zero leaves it to the service.
	Timeout time.Duration
	// Tokens is the number of tokens asked of a model engine; zero asks a plain service.
	Tokens int
	// Stream asks the engine for a streamed answer.
	Stream bool
}

// recorded reports whether the targets keep a record of the request's runs.
func (r Request) recorded() bool { return r.Tokens == 0 && r.Method != http.MethodGet }

// Verdict is what a caller makes of one exchange.
type Verdict string

// The verdicts.
const (
	// Complete is the whole answer to the caller's own request.
	Complete Verdict = "complete"
	// NotRun is an error answer that says the request was not run.
	NotRun Verdict = "not-run"
	// Ran is an error answer that says the request ran.
	Ran Verdict = "ran"
	// Unknown is an error answer that leaves open whether the request ran.
	Unknown Verdict = "unknown"
	// Broken is an answer that began and broke off in a way that the caller can see.
	Broken Verdict = "broken"
	// Crossed is a wrong answer: not the caller's own, or incomplete without a sign of it.
	Crossed Verdict = "crossed"
	// NoAnswer is a connection that ended or timed out without an answer.
	NoAnswer Verdict = "no-answer"
	// Unreached is a connection that was refused.
	Unreached Verdict = "unreached"
)

// Verdicts lists every Verdict in the order of reports.
var Verdicts = []Verdict{Complete, NotRun, Ran, Unknown, Broken, Crossed, NoAnswer, Unreached}

// Result is one exchange as its caller saw it.
type Result struct {
	Request Request
	// Entry is the address that the request was sent to.
	Entry string
	// Sent is the start and Took the length of the exchange.
	Sent time.Time
	Took time.Duration
	// FirstByte is the time from Sent to the first byte of the answer's body.
	FirstByte time.Duration
	// Status, Kind and Outcome come from the answer; Outcome is not-run, ran or unknown.
	Status        int
	Kind, Outcome string
	// RequestID is the request id for the logs.
	RequestID string
	// Verdict classes the exchange and Detail explains it.
	Verdict Verdict
	Detail  string
}
