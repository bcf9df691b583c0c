// Package retry decides whether a failed attempt is tried again inside
// gentiantrail, and keeps repeats that may double work within a budget.
package retry

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// Budget is a token bucket that successful requests fill: over any long
// stretch, repeats are at most Ratio of the successful traffic plus Burst. When
// everything fails it runs dry, so that retries cannot keep a fault alive. It is
// not safe for concurrent use.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

const (
	// DefaultRatio is the share of successful traffic that may be repeated.
	DefaultRatio = 0.1
	// DefaultBurst is the number of repeats that a full budget allows at once.
	DefaultBurst = 10
	// maxAttempts bounds the attempts of one request, the first one included.
	maxAttempts = 6
)

// NewBudget returns a full budget.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Succeeded adds the share of one successful request.
func (b *Budget) Succeeded() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Take uses one token; it returns false if there is none.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of repeats that the budget allows now.
func (b *Budget) Tokens() float64 { return b.tokens }

// Attempt describes a failed attempt.
type Attempt struct {
	// Kind is the attempt's failure.
	Kind apierr.Kind
	// Outcome is what is known about the run; an agent's answer may know more than the kind's table row.
	Outcome apierr.Outcome
	// Idempotent tells that the request may run more than once.
	Idempotent bool
	// HeadSent tells that a part of an answer has reached the caller.
	HeadSent bool
	// Attempts is the number of attempts made so far.
	Attempts int
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
	// Expected is the least time that another attempt needs.
	Expected time.Duration
}

// Allowed reports whether the request may be tried again. A request that did not
// run is tried again when its kind allows it. One that may have run is tried
// again only if it is idempotent, none of its answer was passed on, and the
// budget allows it. Neither is tried past its attempts or its deadline.
func Allowed(a Attempt, b *Budget) bool {
	if a.HeadSent || a.Attempts >= maxAttempts || a.Remaining <= a.Expected {
		return false
	}
	if a.Outcome == apierr.OutcomeNotRun {
		return a.Kind.Answer().RetryInside
	}
	return a.Idempotent && repeatable(a.Kind) && b.Take()
}

// repeatable lists the kinds with an unknown outcome that another target may cure.
func repeatable(k apierr.Kind) bool {
	switch k {
	case apierr.KindTargetFailed, apierr.KindTruncated, apierr.KindLinkLost:
		return true
	default:
		return false
	}
}
