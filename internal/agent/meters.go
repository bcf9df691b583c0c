package agent

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/observe"
)

// meters are the agent's metrics, looked up once.
type meters struct {
	// ends counts ended and refused requests by kind.
	ends map[apierr.Kind]tally.Counter
	// duration is the time from admission to the end of a run.
	duration tally.Histogram
}

func newMeters(s tally.Scope) *meters {
	m := &meters{
		ends:     make(map[apierr.Kind]tally.Counter),
		duration: s.Histogram("run_duration", observe.LatencyBuckets),
	}
	for _, k := range append(apierr.Kinds(), apierr.KindNone) {
		m.ends[k] = s.Tagged(map[string]string{"kind": k.String()}).Counter("runs")
	}
	return m
}

func (m *meters) refused(k apierr.Kind) { m.ends[k].Inc(1) }

func (m *meters) ran(k apierr.Kind, took time.Duration) {
	m.ends[k].Inc(1)
	m.duration.RecordDuration(took)
}
