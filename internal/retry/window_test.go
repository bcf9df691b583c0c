package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var windowLimits = WindowLimits{Ratio: 0.2, Slack: 5, Span: 10 * time.Second}

// TestNoWindowExceedsItsBudget simulates requests and repeats, and compares the repeats in
// every window that ends at a repeat with the requests in the same window.
func TestNoWindowExceedsItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(windowLimits)
		now := time.Duration(0)
		var requests, repeats []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				w.RecordRequest(now)
				requests = append(requests, now)
				continue
			}
			if !w.Take(now) {
				continue
			}
			repeats = append(repeats, now)
			repeated := countWithin(repeats, now, windowLimits.Span)
			// The counted span may be one bucket longer than the window.
			requested := countWithin(requests, now, windowLimits.Span+windowLimits.Span/(windowBuckets-1))
			assert.Assert(t, float64(repeated) <= windowLimits.Ratio*float64(requested)+windowLimits.Slack,
				"%d repeats for %d requests", repeated, requested)
		}
	})
}

func countWithin(times []time.Duration, now, span time.Duration) int {
	n := 0
	for _, t := range times {
		if now-t < span {
			n++
		}
	}
	return n
}

func TestWindowAllowsRepeatsAfterSpan(t *testing.T) {
	w := NewWindow(windowLimits)
	for range 5 {
		assert.Assert(t, w.Take(0))
	}
	assert.Assert(t, !w.Take(time.Second))
	assert.Assert(t, w.Take(11*time.Second))
}
