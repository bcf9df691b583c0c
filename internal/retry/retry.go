// Package retry decides whether a failed attempt is retried inside gentiantrail, and
// limits repeats that may run a request twice to a budget.
package retry

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// Budget is a token bucket that successful requests fill. Over any long period, the repeats
// are at most the ratio times the successful requests, plus the burst, also if the process
// restarts in it. When all requests fail, the bucket empties, so that retries cannot prolong
// a fault. It is not safe for concurrent use.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

const (
	// DefaultRatio is the number of repeats allowed per successful request.
	DefaultRatio = 0.1
	// DefaultBurst is the number of repeats that a full budget allows at once.
	DefaultBurst = 10
	// maxAttempts bounds the attempts of one request, the first one included.
	maxAttempts = 6
)

// NewBudget returns an empty budget: the process before this one may have used all that a full
// one allows.
func NewBudget(ratio, burst float64) *Budget { return &Budget{ratio: ratio, burst: burst} }

// RecordSuccess adds the tokens for one successful request.
func (b *Budget) RecordSuccess() { b.earn() }

func (b *Budget) earn() { b.tokens = min(b.tokens+b.ratio, b.burst) }

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
	// Kind is the kind of the attempt's failure.
	Kind apierr.Kind
	// Outcome states whether the request ran, as far as is known. An agent's answer may be
	// more precise than the table row of the kind.
	Outcome apierr.Outcome
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// HeadSent is true if a part of an answer has reached the caller.
	HeadSent bool
	// Attempts is the number of attempts made so far.
	Attempts int
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
	// Expected is the minimum time that another attempt needs.
	Expected time.Duration
}

// Allowed reports whether the request may be retried. A request that did not run is retried
// if its kind allows it. A request that may have run is retried only if it is idempotent,
// its kind is repeatable and the budget allows it. No request is retried after a part of an
// answer was sent, after maxAttempts attempts, or if too little time remains.
func Allowed(a Attempt, b *Budget) bool {
	if a.HeadSent || a.Attempts >= maxAttempts || a.Remaining <= a.Expected {
		return false
	}
	if a.Outcome == apierr.OutcomeNotRun {
		return a.Kind.Answer().RetryInternally
	}
	return a.Idempotent && repeatable(a.Kind) && b.Take()
}

// repeatable reports whether another target may succeed after a failure of kind k whose
// outcome is unknown.
func repeatable(k apierr.Kind) bool {
	switch k {
	case apierr.KindTargetFailed, apierr.KindTruncated, apierr.KindLinkLost:
		return true
	default:
		return false
	}
}
