// Package apierr defines the fixed set of error kinds and the table that maps
// each kind to the answer that a caller receives.
//
// Every failure inside gentiantrail is expressed as an *Error with one of the
// Kinds below. The entry derives the HTTP status, the Outcome header and the
// Retry-After header of an answer from the table only, so that two code paths
// cannot answer the same failure differently.
package apierr

import (
	"fmt"
	"time"
)

// Kind identifies one way in which a request can fail.
type Kind uint8

// The kinds. Values are part of the link protocol: append only.
const (
	// KindNone is the zero Kind; it means that there is no error.
	KindNone Kind = iota
	// KindMalformed marks a request that cannot be parsed.
	KindMalformed
	// KindUnauthenticated marks a missing or unknown API key.
	KindUnauthenticated
	// KindUnknownService marks a path that no service serves.
	KindUnknownService
	// KindMethodNotAllowed marks a method that the service does not serve on the path.
	KindMethodNotAllowed
	// KindBodyTooLarge marks a body above the service's limit.
	KindBodyTooLarge
	// KindHeaderTooLarge marks a header block above the entry's limit.
	KindHeaderTooLarge
	// KindSlowRequest marks a caller that did not send its request in time.
	KindSlowRequest
	// KindBadDeadline marks a deadline header that cannot be parsed or is out of range.
	KindBadDeadline
	// KindBadIdempotencyKey marks an idempotency key that is too long or has invalid characters.
	KindBadIdempotencyKey
	// KindKeyReused marks an idempotency key that was used before with another request.
	KindKeyReused
	// KindOrganisationLimit marks an organisation whose queue is full.
	KindOrganisationLimit
	// KindOverloaded marks a request for which no target has capacity.
	KindOverloaded
	// KindDeadlineUnreachable marks a request that cannot finish before its deadline.
	KindDeadlineUnreachable
	// KindNoTarget marks a service without any usable target.
	KindNoTarget
	// KindDraining marks an availability zone, target or process that takes no new work.
	KindDraining
	// KindStaleIncarnation marks a frame that names an earlier incarnation of the agent.
	KindStaleIncarnation
	// KindClaimUnavailable marks an idempotency key that could not be claimed because the
	// platform is unavailable.
	KindClaimUnavailable
	// KindInProgress marks a repeat of a request whose first attempt has no recorded outcome.
	KindInProgress
	// KindAnswerNotKept marks a repeat of a request that ran and whose answer was not recorded.
	KindAnswerNotKept
	// KindWithdrawn marks a request that was withdrawn before it started.
	KindWithdrawn
	// KindTargetUnreachable marks a target that could not be connected to; no byte was written.
	KindTargetUnreachable
	// KindTargetFailed marks a target that failed after the request was written to it.
	KindTargetFailed
	// KindTruncated marks an answer that ended before it was complete.
	KindTruncated
	// KindTimeout marks a request without a complete answer at its deadline.
	KindTimeout
	// KindLinkLost marks a request whose link to the agent was lost while it may have been running.
	KindLinkLost
	// KindCancelled marks a request that its caller cancelled.
	KindCancelled
	// KindConfigUnavailable marks a process that has not received a configuration yet.
	KindConfigUnavailable
	// KindStaleFence marks an order with a fencing number lower than one seen before.
	KindStaleFence
	// KindBadFrame marks a link frame that cannot be decoded.
	KindBadFrame
	// KindInternal marks an internal error of gentiantrail.
	KindInternal
	// KindQuarantined marks a request that targets crash on, or on a part of its prompt, or that
	// is suspected of it while another request is being tried.
	KindQuarantined
	// kindCount is the number of kinds.
	kindCount
)

// Outcome states whether the target ran the request.
type Outcome uint8

// The outcomes.
const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun
	// OutcomeRan means that the target ran the request.
	OutcomeRan
)

// String returns the value of the outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not-run"
	case OutcomeRan:
		return "ran"
	default:
		return "unknown"
	}
}

// Answer describes how a request that ended with one Kind is answered and retried.
type Answer struct {
	// Name is the machine-readable name of the kind.
	Name string
	// Status is the HTTP status code.
	Status int
	// Outcome states whether the target ran the request.
	Outcome Outcome
	// RetryInternally is true if the entry may try another target without involving the caller.
	RetryInternally bool
	// RetryAfter is the minimum time that a caller should wait before it tries again; zero
	// omits the Retry-After header.
	RetryAfter time.Duration
	// Text is the human-readable explanation of the kind.
	Text string
}

// table contains exactly one row for each Kind.
var table = [kindCount]Answer{
	KindNone:                {"ok", 200, OutcomeRan, false, 0, "the request ran"},
	KindMalformed:           {"malformed", 400, OutcomeNotRun, false, 0, "the request cannot be parsed"},
	KindUnauthenticated:     {"unauthenticated", 401, OutcomeNotRun, false, 0, "the API key is missing or unknown"},
	KindUnknownService:      {"unknown-service", 404, OutcomeNotRun, false, 0, "no service serves this path"},
	KindMethodNotAllowed:    {"method-not-allowed", 405, OutcomeNotRun, false, 0, "the service does not serve this method on this path"},
	KindBodyTooLarge:        {"body-too-large", 413, OutcomeNotRun, false, 0, "the body is larger than the service allows"},
	KindHeaderTooLarge:      {"header-too-large", 431, OutcomeNotRun, false, 0, "the header block is too large"},
	KindSlowRequest:         {"slow-request", 408, OutcomeNotRun, false, 0, "the request did not arrive in time"},
	KindBadDeadline:         {"bad-deadline", 400, OutcomeNotRun, false, 0, "the deadline header is invalid"},
	KindBadIdempotencyKey:   {"bad-idempotency-key", 400, OutcomeNotRun, false, 0, "the idempotency key is invalid"},
	KindKeyReused:           {"key-reused", 422, OutcomeNotRun, false, 0, "the idempotency key was used with another request; this one was not run"},
	KindOrganisationLimit:   {"organisation-limit", 429, OutcomeNotRun, false, time.Second, "the organisation has too many requests waiting"},
	KindOverloaded:          {"overloaded", 503, OutcomeNotRun, true, time.Second, "no target has room"},
	KindDeadlineUnreachable: {"deadline-unreachable", 503, OutcomeNotRun, true, time.Second, "the request cannot finish before its deadline"},
	KindNoTarget:            {"no-target", 503, OutcomeNotRun, true, 2 * time.Second, "the service has no usable target"},
	KindDraining:            {"draining", 503, OutcomeNotRun, true, time.Second, "the target or availability zone takes no new work"},
	KindStaleIncarnation:    {"stale-incarnation", 503, OutcomeNotRun, true, time.Second, "the target was restarted before the request reached it"},
	KindClaimUnavailable:    {"claim-unavailable", 503, OutcomeNotRun, false, 2 * time.Second, "the idempotency key cannot be claimed now"},
	KindInProgress:          {"in-progress", 409, OutcomeUnknown, false, time.Second, "the first request with this idempotency key has no recorded outcome"},
	KindAnswerNotKept:       {"answer-not-kept", 410, OutcomeRan, false, 0, "the request ran; its answer was not kept"},
	KindWithdrawn:           {"withdrawn", 503, OutcomeNotRun, true, time.Second, "the request was withdrawn before it started"},
	KindTargetUnreachable:   {"target-unreachable", 503, OutcomeNotRun, true, time.Second, "the target cannot be reached"},
	KindTargetFailed:        {"target-failed", 502, OutcomeUnknown, false, 0, "the target failed while the request was running"},
	KindTruncated:           {"truncated", 502, OutcomeUnknown, false, 0, "the answer ended before it was complete"},
	KindTimeout:             {"timeout", 504, OutcomeUnknown, false, 0, "no complete answer arrived before the deadline"},
	KindLinkLost:            {"link-lost", 502, OutcomeUnknown, false, 0, "the connection to the target's agent was lost"},
	KindCancelled:           {"cancelled", 499, OutcomeUnknown, false, 0, "the caller gave up"},
	KindConfigUnavailable:   {"config-unavailable", 503, OutcomeNotRun, true, 2 * time.Second, "no configuration has been received yet"},
	KindStaleFence:          {"stale-fence", 409, OutcomeNotRun, false, 0, "the order comes from an earlier lease holder"},
	KindBadFrame:            {"bad-frame", 400, OutcomeNotRun, false, 0, "the frame cannot be decoded"},
	KindInternal:            {"internal", 500, OutcomeUnknown, false, 0, "internal error"},
	KindQuarantined:         {"quarantined", 503, OutcomeNotRun, false, time.Second, "targets have crashed on the request or a part of its prompt"},
}

// Answer returns the table row of k, or that of KindInternal if k is not a known kind.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return table[KindInternal]
	}
	return table[k]
}

// String returns the machine-readable name of k.
func (k Kind) String() string { return k.Answer().Name }

// Kinds returns every kind except KindNone.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount-1)
	for k := KindMalformed; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is a failure with its kind.
type Error struct {
	// Kind selects the answer.
	Kind Kind
	// Detail describes the object concerned or the reason. It is sent to the caller and
	// must not contain secrets.
	Detail string
	// RetryAfter replaces the table's value if that is set and shorter.
	RetryAfter time.Duration
	// EndedTarget names the run of the target that has ended under the request; empty if the
	// target is not known to have ended.
	EndedTarget string
	// Cause is the underlying error, for logs only.
	Cause error
}

// New returns an Error of kind k with the given detail.
func New(k Kind, detail string) *Error { return &Error{Kind: k, Detail: detail} }

// Wrap returns an Error of kind k with the given detail and cause, or nil if cause is nil.
func Wrap(k Kind, detail string, cause error) *Error {
	if cause == nil {
		return nil
	}
	return &Error{Kind: k, Detail: detail, Cause: cause}
}

// Error returns the kind, the detail and the cause in one line.
func (e *Error) Error() string {
	text := e.Kind.String()
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Cause != nil {
		text = fmt.Sprintf("%s: %v", text, e.Cause)
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// Answer returns the table row of the error's kind. If the row has a RetryAfter and that
// of the error is longer, the error's value is used.
func (e *Error) Answer() Answer {
	a := e.Kind.Answer()
	if a.RetryAfter > 0 && e.RetryAfter > a.RetryAfter {
		a.RetryAfter = e.RetryAfter
	}
	return a
}
