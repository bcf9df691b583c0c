// Command gentiantrail-agent is the only door to one target. See
// docs/OPERATORS.md for its settings, signals and exit codes.
package main

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/agent"
	"github.com/gentiantrail/gentiantrail/internal/claims"
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/daemon"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/internal/target"
)

// platformRate is the agent's budget of platform calls per second; the home of
// every claim partition of a service needs most of it at full load.
const platformRate = 120

// flushTimeout bounds the recording of the last outcomes at a stop.
const flushTimeout = 5 * time.Second

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

// dump is the state dump of the process.
type dump struct {
	agent.State
	Config config.FollowerState `json:"config"`
	Claims claims.Stats         `json:"claims"`
}

func run(s *settings.Agent) error {
	p := daemon.NewProcess(message.Identity{
		Role: message.RoleAgent, Name: s.Name, AvailabilityZone: s.AvailabilityZone,
		Address: s.Advertise, Pool: s.Pool,
	})
	store := platform.NewClient(s.PlatformAddress, platform.Options{Rate: platformRate})
	owned := claims.NewService(store, claims.Config{}, claims.NewOwner())
	a := agent.New(agent.Options{
		Identity: p.Identity,
		Target:   target.New(s.TargetAddress),
		Claims:   owned,
		Dial:     p.Dial,
		Logger:   p.Logger,
		Metrics:  p.Metrics.Scope,
	})
	follower := p.NewConfigFollower(store, a.Configure)
	if err := p.OpenLinks(s.LinkKey, s.LinkAddress, follower.Wrap(a)); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.OpenAdmin(s.AdminAddress, a.Ready, func() any {
		held, _ := owned.Stats(ctx)
		return dump{a.State(), follower.State(), held}
	}); err != nil {
		return err
	}
	go a.Run()
	go a.WatchHealth(ctx)
	go owned.Run(ctx)
	go follower.Run(ctx)
	for _, entry := range s.Entries {
		p.Dial(entry)
	}
	p.LogStart()
	<-daemon.StopSignals()
	a.Stop()
	if err := daemon.Await(a.Done(), s.StopTimeout); err != nil {
		return err
	}
	flush, cancelFlush := context.WithTimeout(ctx, flushTimeout)
	defer cancelFlush()
	if err := owned.Flush(flush); err != nil {
		p.Logger.Warn().Str("event", "outcomes-not-recorded").Str("detail", err.Error()).Msg("")
	}
	return p.Close()
}
