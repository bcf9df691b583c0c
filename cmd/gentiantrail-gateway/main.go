// Command gentiantrail-gateway accepts callers' requests over HTTP on the users'
// platform and sends them directly to targets. See docs/OPERATIONS.md.
package main

import (
	"context"
	"errors"

	"github.com/gentiantrail/gentiantrail/internal/daemon"
	"github.com/gentiantrail/gentiantrail/internal/gateway"
	"github.com/gentiantrail/gentiantrail/internal/observe"
	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/platform"
)

func main() { daemon.Main(settings.LoadGateway, run) }

func run(path string, s *settings.Gateway) error {
	daemon.LimitMemory(s.Memory)
	telemetry := daemon.NewTelemetry("gentiantrail-gateway", s.Name, s.AvailabilityZone)
	logger, metrics := telemetry.Logger, telemetry.Metrics
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := platform.NewClient(s.StoreAddress)
	failed := make(chan error, 4)
	g := gateway.New(gateway.Options{
		Settings: s, PromptParts: platform.PromptParts, Headers: platform.Headers, Source: store, Records: store, Keys: store, Probe: store.GroupOf,
		Logger: logger.Logger, Metrics: metrics.Scope, OnFatalError: func(err error) { failed <- err },
	})
	ready := observe.NewAdmin(observe.AdminConfig{Ready: g.Ready, Logger: logger.Logger})
	admin := observe.NewAdmin(observe.AdminConfig{Ready: g.Ready, State: g.State, Metrics: metrics, Profiling: true, Logger: logger.Logger})
	if err := ready.Listen(s.ReadyAddress); err != nil {
		return err
	}
	if err := admin.Listen(s.AdminAddress); err != nil {
		return err
	}
	go g.Run(ctx)
	go func() { failed <- g.Serve(ctx) }()
	go daemon.WatchSettings(ctx, path, logger.Logger, func() error {
		changed, err := settings.LoadGateway(path)
		if err == nil {
			g.Reload(ctx, changed)
			daemon.LogNeedRestart(logger.Logger, settings.NeedRestart(s, changed))
		}
		return err
	})
	select {
	case err := <-failed:
		return err
	case <-daemon.StopSignals():
	}
	if whole := g.Stop(ctx); !whole {
		// The connections stay open: requests that are cut off by closing them would be logged as left by their callers.
		return errors.Join(daemon.ErrStopTimeout, telemetry.Close())
	}
	cancel()
	g.WaitClosed()
	return telemetry.Close()
}
