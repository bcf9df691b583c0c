// Command gentiantrail-agent is the only door to one target. See
// docs/OPERATORS.md for its settings, signals and exit codes.
package main

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/agent"
	"github.com/gentiantrail/gentiantrail/internal/daemon"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/internal/target"
)

// flushTimeout bounds the sending of the last frames at a stop.
const flushTimeout = 5 * time.Second

func main() {
	args := daemon.ParseArgs()
	s, err := settings.LoadAgent(args.Settings)
	if err != nil {
		daemon.Fail(daemon.ExitUsage, err)
	}
	if args.Check {
		return
	}
	if err := run(s); err != nil {
		daemon.Fail(daemon.ExitFailure, err)
	}
}

func run(s *settings.Agent) error {
	logger := daemon.NewLogger()
	id := message.Identity{
		Role: message.RoleAgent, Name: s.Name, AvailabilityZone: s.AvailabilityZone,
		Incarnation: daemon.NewIncarnation(), Address: s.Advertise, Pool: s.Pool,
	}
	var node *link.Node
	a := agent.New(agent.Options{
		Identity: id,
		Target:   target.New(s.TargetAddress),
		Dial:     func(addr string) { node.Dial(addr) },
		Logger:   logger,
		Metrics:  tally.NoopScope,
	})
	node, err := link.New(link.Config{Identity: id, Key: []byte(s.LinkKey), Logger: logger}, a)
	if err != nil {
		return err
	}
	for _, entry := range s.Entries {
		node.Dial(entry)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := platform.NewClient(s.PlatformAddress, platform.Options{})
	go daemon.FollowConfig(ctx, store, logger, a.Configure)
	go a.WatchHealth(ctx)
	go a.Run()
	daemon.LogStart(logger, "agent", s.Name, id.Incarnation)
	<-daemon.StopSignals()
	a.Stop()
	select {
	case <-a.Done():
	case <-time.After(s.StopTimeout):
		return daemon.ErrStopTimeout
	}
	flush, cancelFlush := context.WithTimeout(context.Background(), flushTimeout)
	defer cancelFlush()
	return node.Close(flush)
}
