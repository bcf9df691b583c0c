package config

import (
	"context"
	"slices"
)

// DrainScope tells what a drain concerns.
type DrainScope string

// The scopes of a drain.
const (
	DrainZone     DrainScope = "zone"
	DrainInstance DrainScope = "instance"
)

// DrainChange asks for one object to be drained or to take work again.
type DrainChange struct {
	// ID names the edit; empty: random.
	ID string
	// Scope and Name tell what is drained.
	Scope DrainScope
	Name  string
	// Drained is the wanted state.
	Drained bool
}

// text describes the change in records and requests.
func (d DrainChange) text() string {
	verb := "undrain "
	if d.Drained {
		verb = "drain "
	}
	return verb + string(d.Scope) + " " + d.Name
}

// SetDrain publishes a drain or its end. It never conflicts with edits of files. The
// error is an *UnknownZoneError, *EditReusedError, *UnclearError, *HeadError or a
// platform error, after which nothing was published.
func (p *Publisher) SetDrain(ctx context.Context, d DrainChange) (*Result, error) {
	if d.ID == "" {
		d.ID = NewNonce()
	}
	change := func(ctx context.Context, from *Head) (*Head, *Result, error) {
		if d.Drained && d.Scope == DrainZone {
			if err := p.requireZone(ctx, from, d.Name); err != nil {
				return nil, nil, err
			}
		}
		next := from.clone()
		list := &next.DrainedInstances
		if d.Scope == DrainZone {
			list = &next.DrainedZones
		}
		if slices.Contains(*list, d.Name) == d.Drained {
			return nil, &Result{}, nil
		}
		*list = withMember(*list, d.Name, d.Drained)
		return next, &Result{Changes: []FileChange{{Name: d.text(), Kind: Changed}}}, nil
	}
	return p.update(ctx, edit{id: d.ID, nonce: NewNonce(), request: Digest([]byte(d.text())), change: change})
}

// requireZone fails unless the head's files define the availability zone.
func (p *Publisher) requireZone(ctx context.Context, head *Head, name string) error {
	c, err := p.Config(ctx, head)
	if err != nil {
		return err
	}
	if _, ok := c.Index().AvailabilityZone(name); !ok {
		return &UnknownZoneError{Name: name}
	}
	return nil
}

// Config reads the files of a head and returns its configuration.
func (p *Publisher) Config(ctx context.Context, head *Head) (*Config, error) {
	files, err := p.Files(ctx, head.Files)
	if err != nil {
		return nil, err
	}
	c, problems := head.Build(newContentStore(files).get)
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return c, nil
}

// withMember returns the sorted list with name added or removed.
func withMember(list []string, name string, member bool) []string {
	i, found := slices.BinarySearch(list, name)
	switch {
	case member && !found:
		return slices.Insert(list, i, name)
	case !member && found:
		return slices.Delete(list, i, i+1)
	default:
		return list
	}
}
