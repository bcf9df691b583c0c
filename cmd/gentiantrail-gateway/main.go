// Command gentiantrail-gateway takes callers' requests over HTTP on the users'
// platform and sends them to targets directly. See docs/OPERATIONS.md.
package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/gentiantrail/gentiantrail/internal/daemon"
	"github.com/gentiantrail/gentiantrail/internal/gateway"
	"github.com/gentiantrail/gentiantrail/internal/observe"
	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/platform"
)

// memoryShare is the part of the process's memory that the collector aims to stay
// below; sockets and the runtime need the rest.
const memoryShare = 0.6

func main() {
	args := daemon.ParseArgs()
	s, err := settings.LoadGateway(args.Settings)
	if err != nil {
		daemon.Fail(daemon.ExitUsage, err)
	}
	if !args.Check {
		daemon.Exit(run(args.Settings, s))
	}
}

func run(path string, s *settings.Gateway) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory) * (1 << 20)))
	logger := observe.NewBoundedLogger(os.Stdout, "info", "gentiantrail-gateway", s.Name)
	metrics := observe.NewMetrics(map[string]string{"instance": s.Name, "availability_zone": s.AvailabilityZone}, logger.Logger)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := platform.NewClient(s.StoreAddress)
	failed := make(chan error, 4)
	g := gateway.New(gateway.Options{
		Settings: s, Headers: platform.Headers, Source: store, Probe: store.GroupOf,
		Logger: logger.Logger, Metrics: metrics.Scope, Broken: func(err error) { failed <- err },
	})
	logger.Info().Str("event", "start").Str("availability_zone", s.AvailabilityZone).Int("pid", os.Getpid()).Msg("")
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
		}
		return err
	})
	select {
	case err := <-failed:
		return err
	case <-daemon.StopSignals():
		g.Stop(ctx)
	}
	logger.Info().Str("event", "stopped").Msg("")
	return logger.Close()
}
