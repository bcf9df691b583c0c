// Command gentiantrail-mapper runs beside a model engine of a lock-step group and fits
// the group's expert map to the demand. See docs/OPERATIONS.md.
package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/gentiantrail/gentiantrail/internal/daemon"
	"github.com/gentiantrail/gentiantrail/internal/mapper"
	"github.com/gentiantrail/gentiantrail/internal/observe"
	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/platform"
)

// memoryShare is the part of the process's memory that the collector aims to stay below.
const memoryShare = 0.6

func main() {
	args := daemon.ParseArgs()
	s, err := settings.LoadMapper(args.Settings)
	if err != nil {
		daemon.Fail(daemon.ExitUsage, err)
	}
	if !args.Check {
		daemon.Exit(run(args.Settings, s))
	}
}

func run(path string, s *settings.Mapper) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory) * (1 << 20)))
	logger := observe.NewBoundedLogger(os.Stdout, "info", "gentiantrail-mapper", s.Name)
	metrics := observe.NewMetrics(map[string]string{"instance": s.Name, "availability_zone": s.AvailabilityZone}, logger.Logger)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := platform.NewStaleClient(s.StoreAddress)
	m := mapper.New(mapper.Options{
		PeerAddress: s.PeerAddress, Service: s.Service, Engine: platform.NewEngine(s.TargetAddress),
		Source: store, Memory: store, Logger: logger.Logger, Metrics: metrics.Scope,
	})
	admin := observe.NewAdmin(observe.AdminConfig{State: func() any { return m.State(ctx) }, Metrics: metrics, Logger: logger.Logger})
	if err := admin.Listen(s.AdminAddress); err != nil {
		return err
	}
	logger.Info().Str("event", "start").Str("availability_zone", s.AvailabilityZone).Int("pid", os.Getpid()).Msg("")
	failed := make(chan error, 1)
	go func() { failed <- m.Run(ctx) }()
	go daemon.WatchSettings(ctx, path, logger.Logger, func() error {
		_, err := settings.LoadMapper(path) // addresses hold for the process's life
		return err
	})
	select {
	case err := <-failed:
		return err
	case <-daemon.StopSignals():
	}
	logger.Info().Str("event", "stopped").Msg("")
	return logger.Close()
}
