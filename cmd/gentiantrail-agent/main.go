// Command gentiantrail-agent controls all access to one target. See
// docs/OPERATORS.md for its settings, signals and exit codes.
package main

import (
	"context"
	"errors"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/agent"
	"github.com/gentiantrail/gentiantrail/internal/claims"
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/daemon"
	"github.com/gentiantrail/gentiantrail/internal/group"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/internal/target"
)

// platformRate is the agent's limit of platform calls per second; an agent that serves
// all claim partitions of a service needs most of it at full load.
const platformRate = 120

// flushTimeout bounds the time to record the last outcomes at a stop.
const flushTimeout = 5 * time.Second

func main() { daemon.Main(settings.LoadAgent, run) }

// dump is the state dump of the process.
type dump struct {
	agent.State
	Config config.FollowerState `json:"config"`
	Claims claims.Stats         `json:"claims"`
	Group  *group.State         `json:"group,omitempty"`
}

func run(_ string, s *settings.Agent) error {
	p := daemon.NewProcess(message.Identity{
		Role: message.RoleAgent, Name: s.Name, AvailabilityZone: s.AvailabilityZone,
		Address: s.Advertise, Pool: s.Pool,
	})
	store := platform.NewClient(s.PlatformAddress, platform.Options{Rate: platformRate})
	claimService := claims.NewService(store, claims.Config{}, claims.NewOwner())
	a := agent.New(agent.Options{
		Identity:     p.Identity,
		Target:       target.New(s.TargetAddress),
		Claims:       claimService,
		Dial:         p.Dial,
		StopDialling: p.StopDialling,
		Logger:       p.Logger,
		Metrics:      p.Metrics.Scope,
	})
	rank := newRank(s, p, store)
	follower := p.NewConfigFollower(store, func(x *config.Index) {
		a.Configure(x)
		rank.configure(x)
	})
	if err := p.OpenLinks(s.LinkKey, s.LinkAddress, follower.Wrap(rank.wrap(a))); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.OpenAdmin(s.AdminAddress, a.Ready, func() any {
		claimStats, _ := claimService.Stats(ctx)
		return dump{a.State(), follower.State(), claimStats, rank.state()}
	}); err != nil {
		return err
	}
	groupCtx, leaveGroup := context.WithCancel(ctx)
	defer leaveGroup()
	go rank.run(groupCtx)
	defer a.Close()
	go a.Run()
	go a.WatchHealth(ctx)
	go claimService.Run(ctx)
	go follower.Run(ctx)
	for _, entry := range s.Entries {
		p.Dial(entry)
	}
	p.LogStart()
	<-daemon.StopSignals()
	stopErr := p.Stop(a, s.StopTimeout)
	leaveGroup()
	<-rank.done
	flushCtx, cancelFlush := context.WithTimeout(ctx, flushTimeout)
	defer cancelFlush()
	if err := claimService.Flush(flushCtx); err != nil {
		p.Logger.Warn().Str("event", "outcomes-not-recorded").Str("detail", err.Error()).Msg("")
	}
	return errors.Join(stopErr, p.Close())
}
