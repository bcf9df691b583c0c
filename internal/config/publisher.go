package config

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// Limits for the retries of one edit.
const (
	maxAttempts     = 16
	retryDelay      = 100 * time.Millisecond
	maxFileAttempts = 4
)

// Publisher writes the configuration to the platform's store on behalf of an operator.
type Publisher struct {
	// Store is the platform's store.
	Store platform.Store
	// MinRevision is the minimum revision of the next edit. With it, operators can exceed
	// the revision that processes still have after the store was restored from an old copy.
	MinRevision uint64
}

// Snapshot is the head as read from the platform at one time.
type Snapshot struct {
	// Head is the head; its Revision is zero if nothing has been published yet.
	Head *Head
	// Version is the version of the head object.
	Version uint64
}

// Result is the outcome of an accepted edit.
type Result struct {
	// EditID is the ID of the edit.
	EditID string `json:"edit_id"`
	// Revision is the revision that contains the edit.
	Revision uint64 `json:"revision"`
	// Unchanged is true if there was nothing to change.
	Unchanged bool `json:"unchanged"`
	// Repeated is true if an earlier run of the same edit had already been accepted.
	Repeated bool `json:"repeated"`
	// Changes are the changed files.
	Changes []FileChange `json:"changes,omitempty"`
	// RemoteChanges are the changes by others that the edit kept.
	RemoteChanges []FileChange `json:"theirs,omitempty"`
}

// NewNonce returns a random identifier for an edit or for one run of it.
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

// headEdit is one change of the head that is retried until it is accepted or rejected.
type headEdit struct {
	id            string
	nonce         string
	requestDigest string
	// change returns the next head without its revision and edit record, and a result
	// that lists the changes; a nil head means that there is nothing to change.
	change func(ctx context.Context, from *Head) (*Head, *Result, error)
}

// indeterminateWrite is a write of the head whose outcome is unknown.
type indeterminateWrite struct {
	// cause is the platform's error; nil if there is no such write.
	cause error
	// version is the version of the head that the write required.
	version uint64
	// revision is the revision that the write would have created.
	revision uint64
}

// update reads the head, changes it and writes it back on condition that it has not been
// written meanwhile. If the outcome of the write is unknown, it reads the head again. If
// the head contains the edit's record, the write took effect; if the head has another
// version without the record, the write did not take effect and never will. A retried
// write requires the same version, so that only one of the two can take effect.
func (p *Publisher) update(ctx context.Context, e headEdit) (*Result, error) {
	var write indeterminateWrite
	var lastErr error
	for range maxAttempts {
		result, err := p.attempt(ctx, e, &write)
		if result != nil || isPermanent(err) {
			return result, err
		}
		lastErr = err
		if !errors.Is(err, platform.ErrConflict) && !sleep(ctx, retryDelay) {
			break
		}
	}
	if write.cause != nil {
		return nil, &IndeterminateError{EditID: e.id, Cause: write.cause}
	}
	return nil, lastErr
}

// attempt tries once to publish an edit. It clears write if that write did not take
// effect, and sets it if the outcome of this attempt's write is unknown.
func (p *Publisher) attempt(ctx context.Context, e headEdit, write *indeterminateWrite) (*Result, error) {
	snap, err := p.Read(ctx)
	if err != nil {
		return nil, err
	}
	if accepted, ok := snap.Head.findEdit(e.id); ok {
		if accepted.RequestDigest != e.requestDigest {
			return nil, &EditReusedError{EditID: e.id, Revision: accepted.Revision}
		}
		return &Result{EditID: e.id, Revision: accepted.Revision, Repeated: accepted.Nonce != e.nonce}, nil
	}
	if err := write.resolve(e.id, snap); err != nil {
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
	next.Revision = max(snap.Head.Revision+1, p.MinRevision)
	next.Dropped = p.deleteDropped(ctx, snap.Head, next)
	next.appendEdit(EditRecord{ID: e.id, Nonce: e.nonce, RequestDigest: e.requestDigest, Revision: next.Revision, Changed: changedNames(result.Changes)})
	_, err = p.Store.Put(ctx, HeadKey, next.Encode(), snap.Version)
	if errors.Is(err, platform.ErrIndeterminate) {
		*write = indeterminateWrite{cause: err, version: snap.Version, revision: next.Revision}
	}
	if err != nil {
		return nil, err
	}
	result.Revision = next.Revision
	return result, nil
}

// resolve clears w if the head, which does not contain the edit's record, has another
// version than the write required. It returns an error if so many revisions have followed
// that the record may have been removed.
func (w *indeterminateWrite) resolve(id string, snap *Snapshot) error {
	if w.cause == nil || snap.Version == w.version {
		return nil
	}
	if snap.Head.Revision >= w.revision+maxEdits {
		return &IndeterminateError{EditID: id, Cause: w.cause}
	}
	*w = indeterminateWrite{}
	return nil
}

// isPermanent reports whether an edit that failed with err must not be retried.
func isPermanent(err error) bool {
	var conflict *ConflictError
	var invalid *InvalidError
	var reused *EditReusedError
	var zone *UnknownZoneError
	var head *HeadError
	var indeterminate *IndeterminateError
	return errors.As(err, &indeterminate) || errors.As(err, &conflict) || errors.As(err, &invalid) || errors.As(err, &reused) ||
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
