package observe

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// RequestMetrics are the metrics of ended requests. They are created once in advance, so
// that recording does not look them up.
type RequestMetrics struct {
	counters map[apierr.Kind]tally.Counter
	duration tally.Histogram
}

// NewRequestMetrics returns metrics in s: a counter with the given name for each error
// kind, with KindNone for success, and a histogram of durations with the given name.
func NewRequestMetrics(s tally.Scope, counter, histogram string) *RequestMetrics {
	m := &RequestMetrics{
		counters: make(map[apierr.Kind]tally.Counter),
		duration: s.Histogram(histogram, LatencyBuckets),
	}
	for _, k := range append(apierr.Kinds(), apierr.KindNone) {
		m.counters[k] = s.Tagged(map[string]string{"kind": k.String()}).Counter(counter)
	}
	return m
}

// Count counts a request that ended with k and records no duration.
func (m *RequestMetrics) Count(k apierr.Kind) { m.counters[k].Inc(1) }

// Record counts a request that ended with k and records its duration.
func (m *RequestMetrics) Record(k apierr.Kind, took time.Duration) {
	m.Count(k)
	m.duration.RecordDuration(took)
}
