package entry

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

const (
	// minListInterval is the least time between two reads of the platform's list.
	minListInterval = 2 * time.Second
	// maxListInterval is the longest one.
	maxListInterval = time.Minute
	// listRate is the share of the control traffic for the list, in bytes a second.
	listRate = 2 << 10
	// listRowSize is the usual size of one row of the list in bytes.
	listRowSize = 100
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
)

// WatchInstances reads the platform's list of instances until ctx ends. The list
// lags; it only adds to what processes say themselves.
func (e *Entry) WatchInstances(ctx context.Context, store platform.Store) {
	for {
		wait := minListInterval
		if list, err := e.readInstances(ctx, store); err == nil {
			e.post(instancesListed{list: list})
			wait = listInterval(len(list))
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) readInstances(ctx context.Context, store platform.Store) ([]platform.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return store.Instances(ctx)
}

// listInterval returns the time between two reads of a list with n rows.
func listInterval(n int) time.Duration {
	interval := time.Duration(n*listRowSize) * time.Second / listRate
	return min(max(interval, minListInterval), maxListInterval)
}

// instancesListed reports a read of the platform's list.
type instancesListed struct{ list []platform.Instance }

// apply notes which agents and entries the list calls leaving. The note holds for
// the incarnation that was known when the list first said so: a later one of the
// same name is another process, which the late list does not speak of.
func (ev instancesListed) apply(c *control) {
	listed := make(map[string]uint64)
	for _, i := range ev.list {
		if i.State != platform.InstanceLeaving {
			continue
		}
		incarnation, noted := c.listedLeaving[i.Name]
		if !noted {
			incarnation = c.incarnationOf(i.Name)
		}
		listed[i.Name] = incarnation
	}
	c.listedLeaving = listed
	c.dirty = true
}

// incarnationOf returns the known incarnation of a process, zero if there is none.
func (c *control) incarnationOf(name string) uint64 {
	if a := c.agents[name]; a != nil {
		return a.identity.Incarnation
	}
	if s := c.peers[name]; s != nil {
		return s.identity.Incarnation
	}
	return 0
}

// listedAsLeaving reports whether the platform's list calls the present
// incarnation of a process leaving.
func (c *control) listedAsLeaving(name string) bool {
	incarnation, listed := c.listedLeaving[name]
	return listed && incarnation != 0 && incarnation == c.incarnationOf(name)
}
