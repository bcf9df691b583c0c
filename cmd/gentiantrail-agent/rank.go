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

// rank is the agent's part in an expert-parallel group; without a group in the
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

// configure hands the pool's group over; a pool without one leaves the rank idle.
func (r *rank) configure(x *config.Index) {
	p, ok := x.Pool(r.pool)
	if r.driver == nil || !ok {
		return
	}
	if c, ok := group.ConfigOf(p); ok {
		r.driver.Configure(c)
	}
}

// wrap puts the group's messages before next.
func (r *rank) wrap(next link.Handler) link.Handler {
	if r.driver == nil {
		return next
	}
	return r.driver.Wrap(next)
}

// run drives the rank until ctx ends and its lease is given up.
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
