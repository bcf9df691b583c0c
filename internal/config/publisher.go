package config

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// Retries of one edit.
const (
	maxAttempts  = 16
	retryDelay   = 100 * time.Millisecond
	maxFileTries = 4
)

// Publisher writes the configuration to the platform's store on behalf of an operator.
type Publisher struct {
	// Store is the platform's store.
	Store platform.Store
	// Floor is the least revision of the next edit. It lets operators get above the
	// revision that processes hold after the store was restored from an old copy.
	Floor uint64
}

// Snapshot is the head as it was read from the platform.
type Snapshot struct {
	// Head is the head; its Revision is zero if nothing was published yet.
	Head *Head
	// Version is the version of the head object.
	Version uint64
}

// Result is an accepted edit.
type Result struct {
	// EditID is the ID of the edit.
	EditID string `json:"edit_id"`
	// Revision is the revision that holds the edit.
	Revision uint64 `json:"revision"`
	// Unchanged tells that there was nothing to change.
	Unchanged bool `json:"unchanged"`
	// Repeated tells that an earlier run of the same edit had been accepted.
	Repeated bool `json:"repeated"`
	// Changes are the changed files.
	Changes []FileChange `json:"changes,omitempty"`
	// Theirs are files that others changed and that were kept as they changed them.
	Theirs []FileChange `json:"theirs,omitempty"`
}

// NewNonce returns a random name for an edit.
func NewNonce() string { return rand.Text() }

// Read returns the head in the platform.
func (p *Publisher) Read(ctx context.Context) (*Snapshot, error) {
	object, err := p.Store.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return &Snapshot{Head: &Head{}}, nil
	}
	if err != nil {
		return nil, err
	}
	head, err := DecodeHead(object.Value)
	if err != nil {
		return nil, err
	}
	return &Snapshot{Head: head, Version: object.Version}, nil
}

// edit is one change of the head that is tried until it is accepted or refused.
type edit struct {
	id      string
	nonce   string
	request string
	// change returns the next head without its revision and record, and what it
	// changes; a nil head means that there is nothing to change.
	change func(ctx context.Context, from *Head) (*Head, *Result, error)
}

// doubt is a write of an edit that may have taken effect.
type doubt struct {
	// cause is the platform's answer; nil if there is no doubt.
	cause error
	// version is the version of the head that the write required.
	version uint64
	// revision is the revision that the write would have made.
	revision uint64
}

// update reads the head, changes it and writes it back on condition that nobody
// else wrote meanwhile. After an unclear answer it reads back: the edit's record in
// the head tells that the write took effect; another version of the head without
// the record tells that it did not and never will. A write that is tried again
// requires the same version, so that only one of the two can take effect.
func (p *Publisher) update(ctx context.Context, e edit) (*Result, error) {
	var d doubt
	var last error
	for range maxAttempts {
		result, err := p.attempt(ctx, e, &d)
		if result != nil || refused(err) {
			return result, err
		}
		last = err
		if !errors.Is(err, platform.ErrConflict) && !sleep(ctx, retryDelay) {
			break
		}
	}
	if d.cause != nil {
		return nil, &UnclearError{EditID: e.id, Cause: d.cause}
	}
	return nil, last
}

// attempt tries an edit once.
func (p *Publisher) attempt(ctx context.Context, e edit, d *doubt) (*Result, error) {
	snap, err := p.Read(ctx)
	if err != nil {
		return nil, err
	}
	if done, ok := snap.Head.edit(e.id); ok {
		if done.Request != e.request {
			return nil, &EditReusedError{EditID: e.id, Revision: done.Revision}
		}
		return &Result{EditID: e.id, Revision: done.Revision, Repeated: done.Nonce != e.nonce}, nil
	}
	if err := d.settle(e.id, snap); err != nil {
		return nil, err
	}
	next, result, err := e.change(ctx, snap.Head)
	if err != nil {
		return nil, err
	}
	result.EditID = e.id
	if next == nil {
		result.Revision, result.Unchanged = snap.Head.Revision, true
		return result, nil
	}
	next.Revision = max(snap.Head.Revision+1, p.Floor)
	next.Dropped = p.sweep(ctx, snap.Head, next)
	next.record(EditRecord{ID: e.id, Nonce: e.nonce, Request: e.request, Revision: next.Revision, Changed: changedNames(result.Changes)})
	_, err = p.Store.Put(ctx, HeadKey, next.Encode(), snap.Version)
	if errors.Is(err, platform.ErrUnclear) {
		*d = doubt{cause: err, version: snap.Version, revision: next.Revision}
	}
	if err != nil {
		return nil, err
	}
	result.Revision = next.Revision
	return result, nil
}

// settle ends the doubt if the head, which holds no record of the edit, has moved
// on. It fails if the head has moved so far that the record may be forgotten.
func (d *doubt) settle(id string, snap *Snapshot) error {
	if d.cause == nil || snap.Version == d.version {
		return nil
	}
	if snap.Head.Revision >= d.revision+maxEdits {
		return &UnclearError{EditID: id, Cause: d.cause}
	}
	*d = doubt{}
	return nil
}

// refused tells that an edit must not be tried again.
func refused(err error) bool {
	var conflict *ConflictError
	var invalid *InvalidError
	var reused *EditReusedError
	var zone *UnknownZoneError
	var head *HeadError
	var unclear *UnclearError
	return errors.As(err, &unclear) || errors.As(err, &conflict) || errors.As(err, &invalid) || errors.As(err, &reused) ||
		errors.As(err, &zone) || errors.As(err, &head) || errors.Is(err, platform.ErrTooLarge)
}

func changedNames(changes []FileChange) []string {
	names := make([]string, 0, len(changes))
	for _, c := range changes {
		names = append(names, c.Name)
	}
	return names
}

// sleep waits for d; it returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
