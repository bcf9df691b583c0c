package ctl

import (
	"context"
	"fmt"
	"slices"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// drain publishes that a zone or an instance is drained or no longer drained.
func drain(ctx context.Context, p *config.Publisher, args *DrainArgs, drained bool, r *Report) error {
	scope := config.DrainScope(args.Scope)
	if scope != config.DrainZone && scope != config.DrainInstance {
		return &usageError{fmt.Sprintf("%q is neither zone nor instance", args.Scope)}
	}
	if drained && scope == config.DrainInstance {
		r.Notes = append(r.Notes, unknownInstanceNote(ctx, p.Store, args.Name)...)
	}
	var err error
	r.Result, err = p.SetDrain(ctx, config.DrainChange{ID: args.EditID, Scope: scope, Name: args.Name, Drained: drained})
	return err
}

// unknownInstanceNote returns a note if the platform's list does not contain the instance.
func unknownInstanceNote(ctx context.Context, store platform.Store, name string) []string {
	list, err := store.Instances(ctx)
	if err != nil || slices.ContainsFunc(list, func(i platform.Instance) bool { return i.Name == name }) {
		return nil
	}
	return []string{"the platform's list, which lags, does not show an instance " + name + "; check the name"}
}
