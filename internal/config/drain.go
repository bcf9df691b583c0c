package config

import (
	"context"
	"slices"
)

// DrainScope is the kind of object that a drain applies to.
type DrainScope string

// The scopes of a drain.
const (
	DrainZone     DrainScope = "zone"
	DrainInstance DrainScope = "instance"
)

// DrainChange is a request to drain one object or to end its drain.
type DrainChange struct {
	// ID identifies the edit. If empty, a random ID is used.
	ID string
	// Scope and Name identify the object.
	Scope DrainScope
	Name  string
	// Drained is the requested state.
	Drained bool
}

// description returns the change as text, for edit records and request digests.
func (d DrainChange) description() string {
	verb := "undrain "
	if d.Drained {
		verb = "drain "
	}
	return verb + string(d.Scope) + " " + d.Name
}

// SetDrain publishes a drain or the end of one. It never conflicts with edits of files. The
// error is an *UnknownZoneError, *EditReusedError, *IndeterminateError, *HeadError
// or a platform error, after which nothing was published.
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
		return next, &Result{Changes: []FileChange{{Name: d.description(), Kind: Changed}}}, nil
	}
	return p.update(ctx, headEdit{id: d.ID, nonce: NewNonce(), requestDigest: Digest([]byte(d.description())), change: change})
}

// requireZone returns an error unless the head's files define the availability zone.
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

// Config reads the files of a head and returns the head's configuration.
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
