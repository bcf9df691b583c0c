package retry

import "time"

// windowBuckets is the number of buckets that a Window's span is divided into.
const windowBuckets = 20

// WindowLimits bound the repeats within any time window.
type WindowLimits struct {
	// Ratio is the number of repeats allowed per request.
	Ratio float64
	// Slack is the number of repeats allowed in addition to the ratio.
	Slack float64
	// Span is the length of the window.
	Span time.Duration
}

// Window limits the repeats in every time span to a share of the requests in the same span,
// plus a slack. It reads no clock and is not safe for concurrent use.
type Window struct {
	limits   WindowLimits
	requests [windowBuckets]float64
	repeats  [windowBuckets]float64
	// newestBucket is the number of the bucket that contains the current time.
	newestBucket int64
}

// NewWindow returns an empty window.
func NewWindow(limits WindowLimits) *Window { return &Window{limits: limits} }

// SetLimits changes the limits. The counts are kept unless the span changes.
func (w *Window) SetLimits(limits WindowLimits) {
	if limits.Span == w.limits.Span {
		w.limits = limits
		return
	}
	*w = Window{limits: limits}
}

// RecordRequest counts one request of a caller.
func (w *Window) RecordRequest(now time.Duration) {
	w.advance(now)
	w.requests[w.newestBucket%windowBuckets]++
}

// Take counts a repeat and returns true if the budget allows it.
func (w *Window) Take(now time.Duration) bool {
	w.advance(now)
	if w.Remaining(now) < 1 {
		return false
	}
	w.repeats[w.newestBucket%windowBuckets]++
	return true
}

// WindowStatus is what a Window counts at one time.
type WindowStatus struct {
	// Requests and Repeats are the numbers that count in the window.
	Requests float64 `json:"requests"`
	Repeats  float64 `json:"repeats"`
	// Allowed is the number of repeats that the window allows, those that count included.
	Allowed float64 `json:"allowed"`
}

// Status returns what the window counts at now.
func (w *Window) Status(now time.Duration) WindowStatus {
	w.advance(now)
	var s WindowStatus
	for i := range windowBuckets {
		s.Requests += w.requests[i]
		s.Repeats += w.repeats[i]
	}
	s.Allowed = w.limits.Ratio*s.Requests + w.limits.Slack
	return s
}

// Remaining returns the number of repeats that the budget allows at now.
func (w *Window) Remaining(now time.Duration) float64 {
	s := w.Status(now)
	return s.Allowed - s.Repeats
}

// advance clears the buckets that have become too old. The oldest bucket that is still
// counted began up to a whole span ago, so that nothing within a window is left out.
func (w *Window) advance(now time.Duration) {
	width := w.limits.Span / (windowBuckets - 1)
	if width <= 0 {
		return
	}
	bucket := int64(now / width)
	for b := max(w.newestBucket+1, bucket-windowBuckets+1); b <= bucket; b++ {
		w.requests[b%windowBuckets], w.repeats[b%windowBuckets] = 0, 0
	}
	w.newestBucket = max(w.newestBucket, bucket)
}
