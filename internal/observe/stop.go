package observe

import (
	"time"

	"github.com/phuslu/log"
)

// StopLogInterval is the interval of the lines of a stop that waits, which show how far it
// has come if the process is killed.
const StopLogInterval = time.Second

// Unfinished is a request that is in flight.
type Unfinished struct {
	Request, Organisation, Service string
	// Target is the agent, or the entry of another availability zone, that has the request;
	// it is empty in an agent's own lines, and before the first attempt.
	Target string
	// Attempts is the number of attempts, in an agent's lines 1 once the request may have
	// reached the target.
	Attempts int
	Arrived  time.Time
}

// StopLog writes the lines of a stop.
type StopLog struct {
	logger *log.Logger
	begin  time.Time
}

// NewStopLog returns the log of a stop that begins now.
func NewStopLog(logger *log.Logger) *StopLog { return &StopLog{logger: logger, begin: time.Now()} }

// Waits logs that the stop waits for a number of requests.
func (l *StopLog) Waits(requests int) {
	l.logger.Info().Str("event", "stop-waits").Int("requests", requests).
		Int64("stop_ms", time.Since(l.begin).Milliseconds()).Msg("")
}

// Ends logs the requests that the stop leaves unfinished, and its end.
func (l *StopLog) Ends(left []Unfinished) {
	for _, u := range left {
		l.logger.Warn().Str("event", "unfinished").Str("request", u.Request).
			Str("organisation", u.Organisation).Str("service", u.Service).
			Str("target", u.Target).Int("attempts", u.Attempts).
			Int64("age_ms", time.Since(u.Arrived).Milliseconds()).
			Int64("stop_ms", time.Since(l.begin).Milliseconds()).Msg("")
	}
	l.logger.Info().Str("event", "stop-ends").Int("requests", len(left)).
		Int64("took_ms", time.Since(l.begin).Milliseconds()).Msg("")
}
