// Command gentiantrail-gateway takes callers' requests over HTTP on the users'
// platform and sends them to targets directly. See docs/OPERATIONS.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/daemon"
	"github.com/gentiantrail/gentiantrail/internal/gateway"
	"github.com/gentiantrail/gentiantrail/internal/observe"
	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/platform"
)

const (
	// memoryShare is the part of the process's memory that the collector aims to stay
	// below; sockets and the runtime need the rest.
	memoryShare = 0.6
	// settingsPoll is the period of checks whether the settings file has changed.
	settingsPoll = 2 * time.Second
)

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
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go watchSettings(ctx, path, hup, g, logger)
	select {
	case err := <-failed:
		return err
	case <-daemon.StopSignals():
		g.Stop(ctx)
	}
	logger.Info().Str("event", "stopped").Msg("")
	return logger.Close()
}

// watchSettings reloads the settings at a SIGHUP and when the file has changed. A file
// that can't be used is logged, and the settings in force stay.
func watchSettings(ctx context.Context, path string, hup <-chan os.Signal, g *gateway.Gateway, logger *observe.BoundedLogger) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			if modified(path).Equal(last) {
				continue
			}
		}
		last = modified(path)
		s, err := settings.LoadGateway(path)
		if err != nil {
			logger.Warn().Str("event", "settings-refused").Err(err).Msg("")
			continue
		}
		g.Reload(ctx, s)
		logger.Info().Str("event", "reloaded").Msg("")
	}
}

// modified returns the file's time of change, or the zero time if it can't be read.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
