// Command gentiantrail-entry takes callers' requests over HTTP and routes them to
// targets. See docs/OPERATORS.md for its settings, signals and exit codes.
package main

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/daemon"
	"github.com/gentiantrail/gentiantrail/internal/entry"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/settings"
)

// flushTimeout bounds the sending of the last frames and answers at a stop.
const flushTimeout = 5 * time.Second

func main() {
	args := daemon.ParseArgs()
	s, err := settings.LoadEntry(args.Settings)
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

func run(s *settings.Entry) error {
	logger := daemon.NewLogger()
	id := message.Identity{
		Role: message.RoleEntry, Name: s.Name, AvailabilityZone: s.AvailabilityZone,
		Incarnation: daemon.NewIncarnation(), Address: s.Advertise,
	}
	var node *link.Node
	e := entry.New(entry.Options{
		Identity:    id,
		MaxRequests: s.Limits.Requests,
		Dial:        func(addr string) { node.Dial(addr) },
		Logger:      logger,
		Metrics:     tally.NoopScope,
	})
	node, err := link.New(link.Config{Identity: id, Key: []byte(s.LinkKey), Logger: logger}, e)
	if err != nil {
		return err
	}
	if err := node.Listen(s.LinkAddress); err != nil {
		return err
	}
	for _, peer := range s.Peers {
		if peer != s.Advertise {
			node.Dial(peer)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := platform.NewClient(s.PlatformAddress, platform.Options{})
	go daemon.FollowConfig(ctx, store, logger, e.Configure)
	go e.Run()
	server := e.NewServer(s.Limits)
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe(s.Listen) }()
	daemon.LogStart(logger, "entry", s.Name, id.Incarnation)
	select {
	case err := <-failed:
		return err
	case <-daemon.StopSignals():
	}
	return stop(s, e, node, server)
}

// stop refuses new work, ends once every request in flight is answered.
func stop(s *settings.Entry, e *entry.Entry, node *link.Node, server *fasthttp.Server) error {
	e.Stop()
	select {
	case <-e.Done():
	case <-time.After(s.Limits.StopTimeout):
		return daemon.ErrStopTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	err := server.ShutdownWithContext(ctx)
	_ = node.Close(ctx)
	return err
}
