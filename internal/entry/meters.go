package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/observe"
)

// meters are the entry's metrics, looked up once.
type meters struct {
	// requests counts ended requests by kind.
	requests map[apierr.Kind]tally.Counter
	// duration is the time from a request's head to the end of its answer.
	duration tally.Histogram
}

func newMeters(s tally.Scope) *meters {
	m := &meters{
		requests: make(map[apierr.Kind]tally.Counter),
		duration: s.Histogram("request_duration", observe.LatencyBuckets),
	}
	for _, k := range append(apierr.Kinds(), apierr.KindNone) {
		m.requests[k] = s.Tagged(map[string]string{"kind": k.String()}).Counter("requests")
	}
	return m
}

func (m *meters) ended(k apierr.Kind, took time.Duration) {
	m.requests[k].Inc(1)
	m.duration.RecordDuration(took)
}
