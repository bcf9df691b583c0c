// Command gentiantrail-agent is the only door to one target. See
// docs/OPERATORS.md for its settings, signals and exit codes.
package main

import (
	"context"

	"github.com/gentiantrail/gentiantrail/internal/agent"
	"github.com/gentiantrail/gentiantrail/internal/daemon"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/internal/target"
)

func main() {
	args := daemon.ParseArgs()
	s, err := settings.LoadAgent(args.Settings)
	if err != nil {
		daemon.Fail(daemon.ExitUsage, err)
	}
	if !args.Check {
		daemon.Exit(run(s))
	}
}

func run(s *settings.Agent) error {
	p := daemon.NewProcess(message.Identity{
		Role: message.RoleAgent, Name: s.Name, AvailabilityZone: s.AvailabilityZone,
		Address: s.Advertise, Pool: s.Pool,
	})
	a := agent.New(agent.Options{
		Identity: p.Identity,
		Target:   target.New(s.TargetAddress),
		Dial:     p.Dial,
		Logger:   p.Logger,
		Metrics:  p.Metrics.Scope,
	})
	if err := p.OpenLinks(s.LinkKey, s.LinkAddress, a); err != nil {
		return err
	}
	if err := p.OpenAdmin(s.AdminAddress, a.Ready, func() any { return a.State() }); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.Run()
	go a.WatchHealth(ctx)
	store := platform.NewClient(s.PlatformAddress, platform.Options{})
	go daemon.FollowConfig(ctx, store, p.Logger, a.Configure)
	for _, entry := range s.Entries {
		p.Dial(entry)
	}
	p.LogStart()
	<-daemon.StopSignals()
	a.Stop()
	if err := daemon.Await(a.Done(), s.StopTimeout); err != nil {
		return err
	}
	return p.Close()
}
