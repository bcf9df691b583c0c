package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// TestAllowedOnlyIfSafe checks every combination of failure kind, outcome and kind of
// request: a request that may have run must not be repeated unless it is idempotent.
func TestAllowedOnlyIfSafe(t *testing.T) {
	for _, kind := range apierr.Kinds() {
		for _, outcome := range []apierr.Outcome{apierr.OutcomeUnknown, apierr.OutcomeNotRun, apierr.OutcomeRan} {
			for _, idempotent := range []bool{false, true} {
				a := Attempt{Kind: kind, Outcome: outcome, Idempotent: idempotent, Attempts: 1, Remaining: time.Second}
				full, empty := fullBudget(), NewBudget(0.1, 0)
				allowed := Allowed(a, full)
				if outcome != apierr.OutcomeNotRun {
					assert.Assert(t, idempotent || !allowed, "%v/%v may run twice", kind, outcome)
					assert.Assert(t, !Allowed(a, empty), "%v/%v exceeds the budget", kind, outcome)
				} else {
					assert.Equal(t, allowed, kind.Answer().RetryInternally, "%v", kind)
					assert.Equal(t, full.Tokens(), 10.0, "a request that did not run takes no token")
				}
				a.HeadSent = true
				assert.Assert(t, !Allowed(a, full), "%v retried after a part of the answer was sent", kind)
				a.HeadSent, a.Attempts = false, maxAttempts
				assert.Assert(t, !Allowed(a, full))
				a.Attempts, a.Expected = 1, time.Second
				assert.Assert(t, !Allowed(a, full), "no time is left")
			}
		}
	}
}

func fullBudget() *Budget {
	b := NewBudget(0.1, 10)
	b.tokens = b.burst
	return b
}

// TestNewBudgetsAllowNoRepeats guards against a process that restarts again and again and has a full
// burst each time.
func TestNewBudgetsAllowNoRepeats(t *testing.T) {
	repeats, requests := 0, 0
	for range 20 {
		b := NewBudget(DefaultRatio, DefaultBurst)
		for range 5 {
			requests++
			b.RecordSuccess()
			for b.Take() {
				repeats++
			}
		}
	}
	assert.Assert(t, float64(repeats) <= DefaultRatio*float64(requests)+DefaultBurst, "%d repeats", repeats)
}

func TestBudgetIsBoundedBySuccessfulRequests(t *testing.T) {
	b := NewBudget(DefaultRatio, DefaultBurst)
	repeats := 0
	for range 1000 {
		b.RecordSuccess()
		for b.Take() {
			repeats++
		}
	}
	assert.Assert(t, repeats <= 1000*DefaultRatio+DefaultBurst, "%d repeats", repeats)
	assert.Assert(t, !b.Take(), "no repeat without a successful request")
}
