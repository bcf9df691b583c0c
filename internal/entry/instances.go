package entry

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

const (
	// minListInterval is the minimum time between two reads of the platform's list of
	// instances.
	minListInterval = 2 * time.Second
	// maxListInterval is the maximum time between two reads of the list.
	maxListInterval = time.Minute
	// listRate is the part of the control traffic intended for reads of the list, in bytes
	// per second.
	listRate = 2 << 10
	// listRowSize is the typical size of one row of the list in bytes.
	listRowSize = 100
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
)

// WatchInstances reads the platform's list of instances until ctx ends. The list lags
// behind; it only supplements what the processes report themselves.
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

// instancesListed is the event of a completed read of the platform's list.
type instancesListed struct{ list []platform.Instance }

// apply records which agents and entries the list shows as leaving. The record holds
// for the incarnation that was known when the list first showed it: a later incarnation
// of the same name is another process, to which the lagging list does not refer.
func (ev instancesListed) apply(c *control) {
	listed := make(map[string]uint64)
	for _, i := range ev.list {
		if i.State != platform.InstanceLeaving {
			continue
		}
		incarnation, known := c.listedLeaving[i.Name]
		if !known {
			incarnation = c.incarnationOf(i.Name)
		}
		listed[i.Name] = incarnation
	}
	c.listedLeaving = listed
	c.dirty = true
}

// incarnationOf returns the current incarnation of a process, or zero if none is known.
func (c *control) incarnationOf(name string) uint64 {
	if a := c.agents[name]; a != nil {
		return a.identity.Incarnation
	}
	if s := c.peers[name]; s != nil {
		return s.identity.Incarnation
	}
	return 0
}

// listedAsLeaving reports whether the platform's list shows the current incarnation
// of a process as leaving.
func (c *control) listedAsLeaving(name string) bool {
	incarnation, listed := c.listedLeaving[name]
	return listed && incarnation != 0 && incarnation == c.incarnationOf(name)
}
