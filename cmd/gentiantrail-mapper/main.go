// Command gentiantrail-mapper runs next to a model engine of a lock-step group and adapts
// the group's expert map to the demand. See docs/OPERATIONS.md.
package main

import (
	"context"

	"github.com/gentiantrail/gentiantrail/internal/daemon"
	"github.com/gentiantrail/gentiantrail/internal/mapper"
	"github.com/gentiantrail/gentiantrail/internal/observe"
	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/platform"
)

func main() { daemon.Main(settings.LoadMapper, run) }

func run(path string, s *settings.Mapper) error {
	daemon.LimitMemory(s.Memory)
	telemetry := daemon.NewTelemetry("gentiantrail-mapper", s.Name, s.AvailabilityZone)
	logger, metrics := telemetry.Logger, telemetry.Metrics
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := platform.NewStaleClient(s.StoreAddress)
	m := mapper.New(mapper.Options{
		PeerAddress: s.PeerAddress, Service: s.Service, Engine: platform.NewEngine(s.TargetAddress),
		Source: store, DemandStore: store, Logger: logger.Logger, Metrics: metrics.Scope,
	})
	admin := observe.NewAdmin(observe.AdminConfig{State: func() any { return m.State(ctx) }, Metrics: metrics, Logger: logger.Logger})
	if err := admin.Listen(s.AdminAddress); err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- m.Run(ctx) }()
	go daemon.WatchSettings(ctx, path, logger.Logger, func() error {
		changed, err := settings.LoadMapper(path)
		if err == nil {
			daemon.LogNeedRestart(logger.Logger, settings.NeedRestart(s, changed))
		}
		return err
	})
	select {
	case err := <-failed:
		return err
	case <-daemon.StopSignals():
		m.Stop(ctx)
	}
	return telemetry.Close()
}
