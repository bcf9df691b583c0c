// Package platform is the client of the platform's object API, which stores all
// state that must outlive a process.
//
// The API stores small values under string keys. Each write gives the object a new
// version; a write may be conditional on the version that the writer last read. A
// watch reports the changes after a revision, and may miss or repeat events.
package platform

import (
	"context"
	"time"
)

// MaxValueSize is the largest size of one object's value, in bytes.
const MaxValueSize = 1 << 20

// AnyVersion makes a write unconditional: it succeeds at any version of the object.
const AnyVersion = ^uint64(0)

// Object is one stored value.
type Object struct {
	// Key is the object's name.
	Key string
	// Value is the stored bytes, at most MaxValueSize.
	Value []byte
	// Version is the object's version; it grows with each write. Zero means that the object
	// does not exist.
	Version uint64
}

// Event is one change reported by a watch.
type Event struct {
	// Object is the changed object; its Value is empty for a deletion.
	Object Object
	// Deleted is true if the object was removed.
	Deleted bool
}

// WatchResult is the result of one Watch call.
type WatchResult struct {
	// Events are the changes after the requested revision, oldest first; it is empty if
	// the wait ended without a change.
	Events []Event
	// Revision is the revision to watch from next.
	Revision uint64
}

// ListResult is the result of one List call.
type ListResult struct {
	// Objects are sorted by key.
	Objects []Object
	// Revision is the store's revision to watch from.
	Revision uint64
}

// InstanceState is the platform's view of an instance.
type InstanceState string

// The instance states.
const (
	// InstanceLive marks an instance that is running.
	InstanceLive InstanceState = "live"
	// InstanceLeaving marks an instance that is being stopped.
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one row of the platform's instance list, which lags behind.
type Instance struct {
	Name             string        `json:"name"`
	Role             string        `json:"role"`
	AvailabilityZone string        `json:"availability_zone"`
	Address          string        `json:"address"`
	State            InstanceState `json:"state"`
}

// Store is the object API. Its methods fail with the errors of this
// package: ErrNotFound, ErrConflict, ErrCompacted, ErrUnavailable, ErrIndeterminate,
// ErrTooLarge.
type Store interface {
	// Get returns the object under key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is ifVersion (zero: if it does not
	// exist) and returns the new version. ErrConflict means that nothing was
	// written; ErrUnavailable that the request did not take effect; and
	// ErrIndeterminate that the write may have taken effect.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	// Delete removes the object under the same conditions as Put.
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// List returns all objects whose key starts with prefix.
	List(ctx context.Context, prefix string) (ListResult, error)
	// Watch waits up to wait for changes under prefix after revision. ErrCompacted
	// means that the revision is too old: List again.
	Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (WatchResult, error)
	// Instances returns the platform's list of instances, which lags behind.
	Instances(ctx context.Context) ([]Instance, error)
}
