package daemon

import (
	"os"
	"runtime/debug"

	"github.com/gentiantrail/gentiantrail/internal/observe"
)

// memoryShare is the fraction of a process's memory that the garbage collector aims to
// stay below; sockets and the runtime need the rest.
const memoryShare = 0.6

// LimitMemory sets the garbage collector's memory limit to memoryShare of mib MiB.
func LimitMemory(mib int) { debug.SetMemoryLimit(int64(memoryShare * float64(mib) * (1 << 20))) }

// Telemetry contains the log and the metrics of a program on the users' platform.
type Telemetry struct {
	// Logger writes to standard output and never blocks on it.
	Logger  *observe.BoundedLogger
	Metrics *observe.Metrics
}

// NewTelemetry starts the log and the metrics of a program on an instance, and logs the
// program's start.
func NewTelemetry(program, instance, zone string) Telemetry {
	logger := observe.NewBoundedLogger(os.Stdout, logLevel, program, instance)
	tags := map[string]string{"instance": instance, "availability_zone": zone}
	logger.Info().Str("event", "start").Str("availability_zone", zone).Int("pid", os.Getpid()).Msg("")
	return Telemetry{Logger: logger, Metrics: observe.NewMetrics(tags, logger.Logger)}
}

// Close logs the end of the program and writes the buffered lines.
func (t Telemetry) Close() error {
	t.Logger.Info().Str("event", "stopped").Int64("dropped_lines", t.Logger.Dropped()).Msg("")
	return t.Logger.Close()
}
