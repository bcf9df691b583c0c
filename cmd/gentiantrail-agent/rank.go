package main

import (
	"context"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/daemon"
	"github.com/gentiantrail/gentiantrail/internal/group"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/settings"
)

// rank runs the agent's target as a rank of a lock-step group; without a group in the
// settings it does nothing.
type rank struct {
	pool   string
	driver *group.Driver
	done   chan struct{}
}

func newRank(s *settings.Agent, p *daemon.Process, store platform.Store) *rank {
	r := &rank{pool: s.Pool, done: make(chan struct{})}
	if s.Group == "" {
		return r
	}
	r.driver = group.New(group.Options{
		Group:    s.Group,
		Rank:     s.Rank,
		Identity: p.Identity,
		Store:    store,
		Engine:   group.NewHTTPEngine(s.TargetAddress),
		Dial:     p.Dial,
		Logger:   p.Logger,
	})
	return r
}

// configure passes the pool's group configuration to the driver; if the pool has none, the
// rank stays idle.
func (r *rank) configure(x *config.Index) {
	p, ok := x.Pool(r.pool)
	if r.driver == nil || !ok {
		return
	}
	if c, ok := group.ConfigFromPool(p); ok {
		r.driver.Configure(c)
	}
}

// wrap returns a handler that handles the group's messages and passes all others to next.
func (r *rank) wrap(next link.Handler) link.Handler {
	if r.driver == nil {
		return next
	}
	return r.driver.Wrap(next)
}

// run runs the rank until ctx has ended and its lease is released.
func (r *rank) run(ctx context.Context) {
	defer close(r.done)
	if r.driver == nil {
		return
	}
	r.driver.Run(ctx)
}

func (r *rank) state() *group.State {
	if r.driver == nil {
		return nil
	}
	s := r.driver.State()
	return &s
}
