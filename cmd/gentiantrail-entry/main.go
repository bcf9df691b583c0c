// Command gentiantrail-entry accepts callers' requests over HTTP and routes them to
// targets. See docs/OPERATORS.md for its settings, signals and exit codes.
package main

import (
	"context"
	"errors"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/daemon"
	"github.com/gentiantrail/gentiantrail/internal/entry"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/settings"
)

func main() { daemon.Main(settings.LoadEntry, run) }

// dump is the state dump of the process.
type dump struct {
	entry.State
	Config config.FollowerState `json:"config"`
}

func run(_ string, s *settings.Entry) error {
	p := daemon.NewProcess(message.Identity{
		Role: message.RoleEntry, Name: s.Name, AvailabilityZone: s.AvailabilityZone, Address: s.Advertise,
	})
	e := entry.New(entry.Options{
		Identity:     p.Identity,
		MaxRequests:  s.Limits.Requests,
		Dial:         p.Dial,
		StopDialling: p.StopDialling,
		Logger:       p.Logger,
		Metrics:      p.Metrics.Scope,
	})
	store := platform.NewClient(s.PlatformAddress, platform.Options{})
	follower := p.NewConfigFollower(store, e.Configure)
	if err := p.OpenLinks(s.LinkKey, s.LinkAddress, follower.Wrap(e)); err != nil {
		return err
	}
	if err := p.OpenAdmin(s.AdminAddress, e.Ready, func() any { return dump{e.State(), follower.State()} }); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.Run()
	go follower.Run(ctx)
	go e.WatchInstances(ctx, store)
	for _, peer := range s.Peers {
		p.Dial(peer)
	}
	server := e.NewServer(s.Limits)
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe(s.Listen) }()
	p.LogStart()
	select {
	case err := <-failed:
		return err
	case <-daemon.StopSignals():
		return stop(s, p, e, server)
	}
}

// stop rejects new work and returns once every request in flight, and every one that is being
// read, has been answered; it fails if the stop timeout ends first, once what has been answered
// is sent.
func stop(s *settings.Entry, p *daemon.Process, e *entry.Entry, server *entry.Server) error {
	stopErr := p.Stop(e, s.Limits.StopTimeout)
	// A caller has the read timeout for the rest of its request, and then takes the answer.
	ctx, cancel := context.WithTimeout(context.Background(), s.Limits.ReadTimeout+daemon.FlushTimeout)
	defer cancel()
	if stopErr != nil {
		return errors.Join(stopErr, server.StopAccepting(ctx), p.Close())
	}
	err := server.Shutdown(ctx)
	if open := (*entry.OpenConnectionsError)(nil); errors.As(err, &open) {
		p.Logger.Warn().Str("event", "closed-unanswered").Int("connections", open.Count).Msg("")
		err = errors.Join(daemon.ErrStopTimeout, err)
	}
	return errors.Join(err, p.Close())
}
