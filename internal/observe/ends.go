package observe

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// Ends are the metrics of ended requests, looked up once.
type Ends struct {
	counters map[apierr.Kind]tally.Counter
	duration tally.Histogram
}

// NewEnds returns metrics in s: a counter for each error kind, with KindNone for
// success, and a histogram of durations.
func NewEnds(s tally.Scope, counter, histogram string) *Ends {
	e := &Ends{
		counters: make(map[apierr.Kind]tally.Counter),
		duration: s.Histogram(histogram, LatencyBuckets),
	}
	for _, k := range append(apierr.Kinds(), apierr.KindNone) {
		e.counters[k] = s.Tagged(map[string]string{"kind": k.String()}).Counter(counter)
	}
	return e
}

// Count counts a request that ended with k without a duration.
func (e *Ends) Count(k apierr.Kind) { e.counters[k].Inc(1) }

// Record counts a request that ended with k and took the given time.
func (e *Ends) Record(k apierr.Kind, took time.Duration) {
	e.Count(k)
	e.duration.RecordDuration(took)
}
