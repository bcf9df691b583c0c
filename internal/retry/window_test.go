package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var windowLimits = WindowLimits{Ratio: 0.2, Slack: 5, Span: 10 * time.Second}

// TestNoWindowExceedsItsBudget plays requests and repeats and checks every window that
// ends at a repeat against the requests of the same window.
func TestNoWindowExceedsItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(windowLimits)
		now := time.Duration(0)
		var requests, repeats []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				w.Request(now)
				requests = append(requests, now)
				continue
			}
			if !w.Take(now) {
				continue
			}
			repeats = append(repeats, now)
			sent := within(repeats, now, windowLimits.Span)
			// The span counted may be one bucket longer than the window.
			asked := within(requests, now, windowLimits.Span+windowLimits.Span/(windowBuckets-1))
			assert.Assert(t, float64(sent) <= windowLimits.Ratio*float64(asked)+windowLimits.Slack,
				"%d repeats for %d requests", sent, asked)
		}
	})
}

func within(times []time.Duration, now, span time.Duration) int {
	n := 0
	for _, t := range times {
		if now-t < span {
			n++
		}
	}
	return n
}

func TestWindowFillsAgain(t *testing.T) {
	w := NewWindow(windowLimits)
	for range 5 {
		assert.Assert(t, w.Take(0))
	}
	assert.Assert(t, !w.Take(time.Second))
	assert.Assert(t, w.Take(11*time.Second))
}
