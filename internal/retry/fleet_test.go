package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// repeatsAt returns how many repeats the budget allows at now, and takes them.
func repeatsAt(b *FleetBudget, now time.Duration) int {
	n := 0
	for {
		r, granted := b.Take(now)
		if !granted {
			return n
		}
		b.RecordSent(now, now, r)
		n++
	}
}

// TestNewProcessTakesOnlyWhatItsRequestsEarn guards against a process that uses in its first window what
// the process before it may have used already.
func TestNewProcessTakesOnlyWhatItsRequestsEarn(t *testing.T) {
	b := NewFleetBudget(windowLimits)
	assert.Equal(t, repeatsAt(b, 0), 0)
	repeats := 0
	for i := range 100 {
		now := time.Duration(i) * 100 * time.Millisecond
		b.RecordRequest(now, now)
		repeats += repeatsAt(b, now)
	}
	assert.Assert(t, repeats > 0 && float64(repeats) <= earnedShare*windowLimits.Ratio*100, "%d repeats", repeats)
	assert.Assert(t, !b.Allows(windowLimits.Span+MaxDelay-1))
	assert.Assert(t, b.Allows(windowLimits.Span+MaxDelay), "the window is known")
}

// TestSlackIsAvailableAfterAWindow guards against a service with few requests that never gets the slack,
// and against one that gets it twice.
func TestSlackIsAvailableAfterAWindow(t *testing.T) {
	const known = 11 * time.Second
	for requests, want := range map[int]int{0: 5, 20: 5, 200: 0} {
		b := NewFleetBudget(windowLimits)
		for range requests {
			b.RecordRequest(0, 0)
			repeatsAt(b, 0)
		}
		b.RecordRequest(known, known)
		got := repeatsAt(b, known)
		earned := int(float64(requests) * b.earned.ratio)
		assert.Assert(t, got >= want-earned && got <= max(0, int(windowLimits.Slack)-earned)+1, "%d requests: %d repeats", requests, got)
		assert.Equal(t, repeatsAt(b, known), 0)
	}
}

// TestChangedSpanDoesNotRenewTheBudget guards against reloaded settings that make a budget forget its
// repeats.
func TestChangedSpanDoesNotRenewTheBudget(t *testing.T) {
	b := NewFleetBudget(windowLimits)
	reload := 20 * time.Second
	for i := range 200 {
		now := time.Duration(i) * 100 * time.Millisecond
		b.RecordRequest(now, now)
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
		b.RecordRequest(0, 0)
	}
	smaller := windowLimits
	smaller.Slack = 2
	b.SetLimits(0, smaller)
	assert.Equal(t, repeatsAt(b, 0), 2)
}

// TestDelayedRepeatCountsFromWhenItIsSent guards against a repeat that was decided before the process
// stood still, and that arrives in a window for which it does not count.
func TestDelayedRepeatCountsFromWhenItIsSent(t *testing.T) {
	w := NewWindow(windowLimits)
	for range 5 {
		assert.Assert(t, w.Take(0))
	}
	assert.Assert(t, !w.Take(30*time.Second), "unsent repeats count")
	for range 5 {
		w.RecordSent(30*time.Second, 29*time.Second)
	}
	assert.Assert(t, !w.Take(39*time.Second))
	assert.Assert(t, w.Take(41*time.Second))
	w.Return()
	assert.Equal(t, w.Status(41*time.Second).Repeats, 0.0)

	b := NewFleetBudget(windowLimits)
	for range 30 {
		b.RecordRequest(0, 0)
	}
	earned := b.Status(0).Earned
	r, granted := b.Take(0)
	assert.Assert(t, granted)
	b.RecordSent(3*time.Second, 3*time.Second, r)
	assert.Equal(t, b.Status(0).Earned, earned-2)
	r, granted = b.Take(0)
	assert.Assert(t, !granted || earned-2 >= 1)
	if granted {
		b.Return(r)
	}
	assert.Equal(t, b.Status(0).Earned, earned-2)
}
