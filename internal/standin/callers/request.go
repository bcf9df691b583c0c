// Package callers simulates the callers of gentiantrail, for trials and tests only.
//
// Every request carries a mark, which the stand-in targets repeat in every part of
// their answers. The package classifies each answer, and compares the answers with the
// runs that the targets recorded.
package callers

import (
	"net/http"
	"time"
)

// Request is one request of a caller.
type Request struct {
	// Method and Path are the HTTP method and path; the path begins with the service.
	Method, Path string
	// APIKey identifies the organisation.
	APIKey string
	// Mark identifies the request. Repeats of a request have the same mark.
	Mark string
	// IdempotencyKey is the caller's idempotency key, if any.
	IdempotencyKey string
	// Repeatable is true if the request is idempotent and may run more than once.
	Repeatable bool
	// Timeout bounds the time to the complete answer; zero means the service's default.
	Timeout time.Duration
	// Tokens is the number of tokens requested from a model engine; zero means that the
	// target is a plain service.
	Tokens int
	// Stream requests a streamed answer from the engine.
	Stream bool
}

// isRecorded reports whether the targets record the runs of the request.
func (r Request) isRecorded() bool { return r.Tokens == 0 && r.Method != http.MethodGet }

// Verdict classifies one exchange from the caller's point of view.
type Verdict string

// The verdicts.
const (
	// Complete is the complete answer to the caller's own request.
	Complete Verdict = "complete"
	// NotRun is an error answer that states that the request did not run.
	NotRun Verdict = "not-run"
	// Ran is an error answer that states that the request ran.
	Ran Verdict = "ran"
	// Unknown is an error answer that does not state whether the request ran.
	Unknown Verdict = "unknown"
	// Broken is an answer that began and was cut off in a way that the caller can detect.
	Broken Verdict = "broken"
	// WrongAnswer is an answer that belongs to another request, or that is incomplete
	// without an error that shows it.
	WrongAnswer Verdict = "crossed"
	// NoAnswer is a connection that ended or timed out without an answer.
	NoAnswer Verdict = "no-answer"
	// Unreached means that no entry was reached: the connection was refused, the request
	// could not be built, or no entry is in service.
	Unreached Verdict = "unreached"
)

// Verdicts lists every Verdict in the order used by reports.
var Verdicts = []Verdict{Complete, NotRun, Ran, Unknown, Broken, WrongAnswer, NoAnswer, Unreached}

// Result is one exchange as its caller saw it.
type Result struct {
	Request Request
	// Entry is the address that the request was sent to.
	Entry string
	// SentAt is the start time of the exchange.
	SentAt time.Time
	// Duration is the length of the exchange.
	Duration time.Duration
	// FirstByte is the time from SentAt to the first byte of the answer's body.
	FirstByte time.Duration
	// Status, Kind and Outcome come from the answer; Outcome is not-run, ran or unknown.
	Status        int
	Kind, Outcome string
	// RequestID is the request id of the answer, for finding the request in the logs.
	RequestID string
	// Verdict classifies the exchange and Detail explains the verdict.
	Verdict Verdict
	Detail  string
}
