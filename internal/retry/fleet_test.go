package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// repeatsAt returns how many repeats the budget allows at now, and takes them.
func repeatsAt(b *FleetBudget, now time.Duration) int {
	n := 0
	for b.Take(now) {
		n++
	}
	return n
}

// TestNewProcessTakesOnlyWhatItsRequestsEarn guards against a process that uses in its first window what
// the process before it may have used already.
func TestNewProcessTakesOnlyWhatItsRequestsEarn(t *testing.T) {
	b := NewFleetBudget(windowLimits)
	assert.Equal(t, repeatsAt(b, 0), 0)
	repeats := 0
	for i := range 100 {
		now := time.Duration(i) * 100 * time.Millisecond
		b.RecordRequest(now)
		repeats += repeatsAt(b, now)
	}
	assert.Assert(t, repeats > 0 && float64(repeats) <= earnedShare*windowLimits.Ratio*100, "%d repeats", repeats)
	assert.Assert(t, !b.Allows(windowLimits.Span+MaxDelay-1))
	assert.Assert(t, b.Allows(windowLimits.Span+MaxDelay), "the window is known")
}

// TestChangedSpanDoesNotRenewTheBudget guards against reloaded settings that make a budget forget its
// repeats.
func TestChangedSpanDoesNotRenewTheBudget(t *testing.T) {
	b := NewFleetBudget(windowLimits)
	reload := 20 * time.Second
	for i := range 200 {
		b.RecordRequest(time.Duration(i) * 100 * time.Millisecond)
	}
	assert.Assert(t, repeatsAt(b, reload) > 0)
	longer := windowLimits
	longer.Span = 11 * time.Second
	b.SetLimits(reload, longer)
	assert.Assert(t, !b.Allows(reload))
	b.SetLimits(reload+time.Second, windowLimits)
	assert.Assert(t, !b.Allows(reload+windowLimits.Span))
}

// TestSmallerPartLimitsWhatIsKept guards against a process that keeps a large part of the slack after it
// has found other gateways.
func TestSmallerPartLimitsWhatIsKept(t *testing.T) {
	b := NewFleetBudget(windowLimits)
	for range 100 {
		b.RecordRequest(0)
	}
	smaller := windowLimits
	smaller.Slack = 2
	b.SetLimits(0, smaller)
	assert.Equal(t, repeatsAt(b, 0), 2)
}
