package retry

import "time"

// windowBuckets is the number of buckets that a Window's span is divided into.
const windowBuckets = 20

// WindowLimits bound the repeats within any window of time.
type WindowLimits struct {
	// Ratio is the repeats allowed for each request.
	Ratio float64
	// Slack is the repeats allowed beside the ratio.
	Slack float64
	// Span is the window's length.
	Span time.Duration
}

// Window keeps the repeats in every span of time below a share of the requests in
// the same span plus a slack. It is pure and not safe for concurrent use.
type Window struct {
	limits   WindowLimits
	requests [windowBuckets]float64
	repeats  [windowBuckets]float64
	// newest is the number of the bucket that holds the present moment.
	newest int64
}

// NewWindow returns an empty window.
func NewWindow(limits WindowLimits) *Window { return &Window{limits: limits} }

// SetLimits changes the limits; what was counted stays.
func (w *Window) SetLimits(limits WindowLimits) {
	if limits.Span == w.limits.Span {
		w.limits = limits
		return
	}
	*w = Window{limits: limits}
}

// Request counts a request of a caller.
func (w *Window) Request(now time.Duration) {
	w.advance(now)
	w.requests[w.newest%windowBuckets]++
}

// Take counts a repeat if the budget allows it.
func (w *Window) Take(now time.Duration) bool {
	w.advance(now)
	if w.Left(now) < 1 {
		return false
	}
	w.repeats[w.newest%windowBuckets]++
	return true
}

// Left returns the number of repeats that the budget allows now.
func (w *Window) Left(now time.Duration) float64 {
	w.advance(now)
	requests, repeats := 0.0, 0.0
	for i := range windowBuckets {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return w.limits.Ratio*requests + w.limits.Slack - repeats
}

// advance clears the buckets that have become too old. The oldest bucket that still
// counts has begun up to a whole span ago, so that no window is undercounted.
func (w *Window) advance(now time.Duration) {
	width := w.limits.Span / (windowBuckets - 1)
	if width <= 0 {
		return
	}
	bucket := int64(now / width)
	for b := max(w.newest+1, bucket-windowBuckets+1); b <= bucket; b++ {
		w.requests[b%windowBuckets], w.repeats[b%windowBuckets] = 0, 0
	}
	w.newest = max(w.newest, bucket)
}
