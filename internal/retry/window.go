package retry

import "time"

const (
	// windowBuckets is the number of buckets of a Window.
	windowBuckets = 64
	// MaxDelay is the longest time that a request takes from its caller to the process, or a repeat
	// from the process to a target, unless the process or a link stands still.
	MaxDelay = 500 * time.Millisecond
)

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
// plus a slack, for whoever sees requests up to MaxDelay earlier and repeats up to MaxDelay
// later than the process. It reads no clock and is not safe for concurrent use.
type Window struct {
	limits   WindowLimits
	requests [windowBuckets]float64
	repeats  [windowBuckets]float64
	// newestBucket is the number of the bucket that contains the current time.
	newestBucket int64
	// unsent is the number of repeats that were taken and are not sent yet.
	unsent float64
}

// NewWindow returns an empty window.
func NewWindow(limits WindowLimits) *Window { return &Window{limits: limits} }

// SetLimits changes the limits. The counts are kept unless the span changes.
func (w *Window) SetLimits(limits WindowLimits) {
	if limits.Span == w.limits.Span {
		w.limits = limits
		return
	}
	*w = Window{limits: limits, unsent: w.unsent}
}

// RecordRequest counts one request of a caller, which was sent at sent or later.
func (w *Window) RecordRequest(now, sent time.Duration) { w.count(&w.requests, now, sent) }

// Take counts a repeat and returns true if the budget allows it. RecordSent or Return must follow.
func (w *Window) Take(now time.Duration) bool {
	if w.Remaining(now) < 1 {
		return false
	}
	w.unsent++
	return true
}

// RecordSent records that a repeat, which counts since it was taken, was sent at sent. It counts for
// the span from then on, however long it was delayed.
func (w *Window) RecordSent(now, sent time.Duration) {
	w.unsent--
	w.count(&w.repeats, now, sent)
}

// Return returns a repeat that was taken and will not be sent.
func (w *Window) Return() { w.unsent-- }

// count adds one to the bucket of a time unless that is too old to count.
func (w *Window) count(buckets *[windowBuckets]float64, now, at time.Duration) {
	w.advance(now)
	if b := min(w.bucketOf(at), w.newestBucket); b > w.newestBucket-windowBuckets {
		buckets[index(b)]++
	}
}

// WindowStatus is what a Window counts at one time.
type WindowStatus struct {
	// Requests and Repeats are the numbers that count in the window.
	Requests float64 `json:"requests"`
	Repeats  float64 `json:"repeats"`
	// Allowed is the number of repeats that the window allows, those that count included.
	Allowed float64 `json:"allowed"`
}

// Status returns what the window counts at now: repeats of at least the span and MaxDelay, and
// requests of at most the span without twice MaxDelay, since a repeat that is taken now may end a
// window MaxDelay later, and a request may have been sent MaxDelay before it was recorded.
func (w *Window) Status(now time.Duration) WindowStatus {
	w.advance(now)
	s := WindowStatus{Repeats: w.unsent}
	oldest := w.bucketOf(now-w.limits.Span+2*MaxDelay) + 1
	for b := w.newestBucket - windowBuckets + 1; b <= w.newestBucket; b++ {
		s.Repeats += w.repeats[index(b)]
		if b >= oldest {
			s.Requests += w.requests[index(b)]
		}
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
// counted began at least a span and MaxDelay ago.
func (w *Window) advance(now time.Duration) {
	bucket := w.bucketOf(now)
	for b := max(w.newestBucket+1, bucket-windowBuckets+1); b <= bucket; b++ {
		w.requests[index(b)], w.repeats[index(b)] = 0, 0
	}
	w.newestBucket = max(w.newestBucket, bucket)
}

// bucketOf returns the number of the bucket that contains a time, which may be negative.
func (w *Window) bucketOf(at time.Duration) int64 {
	width := (w.limits.Span + MaxDelay) / (windowBuckets - 1)
	bucket := int64(at / width)
	if at%width < 0 {
		bucket--
	}
	return bucket
}

// index returns the place of a bucket, whose number may be negative.
func index(bucket int64) int64 { return (bucket%windowBuckets + windowBuckets) % windowBuckets }
