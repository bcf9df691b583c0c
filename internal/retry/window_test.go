package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var windowLimits = WindowLimits{Ratio: 0.2, Slack: 5, Span: 10 * time.Second}

// TestNoWindowExceedsItsBudget guards against requests that count for longer than the window, and
// repeats that count for less: it compares the repeats in every window that ends at a repeat with the
// requests in the same window. Callers send requests up to MaxDelay earlier than they are recorded, and
// repeats arrive up to MaxDelay after they are taken.
func TestNoWindowExceedsItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(windowLimits)
		now := time.Duration(0)
		var requests, repeats []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			delay := time.Duration(rapid.Float64Range(0, 1).Draw(t, "delay") * float64(MaxDelay))
			if rapid.Bool().Draw(t, "request") {
				w.RecordRequest(now, now)
				requests = append(requests, now-delay)
				continue
			}
			if w.Take(now) {
				w.RecordSent(now, now)
				repeats = append(repeats, now+delay)
			}
		}
		for _, end := range repeats {
			repeated := countWithin(repeats, end, windowLimits.Span)
			requested := countWithin(requests, end, windowLimits.Span)
			assert.Assert(t, float64(repeated) <= windowLimits.Ratio*float64(requested)+windowLimits.Slack,
				"%d repeats for %d requests", repeated, requested)
		}
	})
}

// countWithin returns how many of the times are in the span that ends at end.
func countWithin(times []time.Duration, end, span time.Duration) int {
	n := 0
	for _, t := range times {
		if age := end - t; age >= 0 && age < span {
			n++
		}
	}
	return n
}

func TestWindowAllowsRepeatsAfterSpan(t *testing.T) {
	w := NewWindow(windowLimits)
	for range 5 {
		assert.Assert(t, w.Take(0))
		w.RecordSent(0, 0)
	}
	assert.Assert(t, !w.Take(time.Second))
	assert.Assert(t, w.Take(11*time.Second))
}
