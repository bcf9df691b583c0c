package daemon

import (
	"os"
	"runtime/debug"

	"github.com/gentiantrail/gentiantrail/internal/observe"
)

// memoryShare is the part of a process's memory that the collector aims to stay below;
// sockets and the runtime need the rest.
const memoryShare = 0.6

// LimitMemory has the collector keep the heap below a share of mib MiB.
func LimitMemory(mib int) { debug.SetMemoryLimit(int64(memoryShare * float64(mib) * (1 << 20))) }

// Output is where a program on the users' platform writes what it does.
type Output struct {
	// Logger writes to standard output without ever waiting for it.
	Logger  *observe.BoundedLogger
	Metrics *observe.Metrics
}

// NewOutput starts the log and the metrics of an instance's program.
func NewOutput(program, instance, zone string) Output {
	logger := observe.NewBoundedLogger(os.Stdout, logLevel, program, instance)
	tags := map[string]string{"instance": instance, "availability_zone": zone}
	logger.Info().Str("event", "start").Str("availability_zone", zone).Int("pid", os.Getpid()).Msg("")
	return Output{Logger: logger, Metrics: observe.NewMetrics(tags, logger.Logger)}
}

// Close writes the last line and what is buffered.
func (o Output) Close() error {
	o.Logger.Info().Str("event", "stopped").Msg("")
	return o.Logger.Close()
}
