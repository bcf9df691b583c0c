package config

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Edit is a folder that an operator publishes as the configuration.
type Edit struct {
	// ID identifies the edit; repeats with the same ID are accepted only once. If empty, a
	// random ID is used.
	ID string
	// Files are the folder's files.
	Files []File
	// Base lists the files as they were when the folder was last in sync with the
	// platform. Files that the folder has not changed since are left as they are in the
	// platform. If Base is nil, the folder replaces whatever is in the platform.
	Base []FileRef
}

// Apply publishes an edit. Nothing is published unless the merge of all files is
// valid. The error is a *ConflictError, *InvalidError, *EditReusedError,
// *IndeterminateError, *HeadError or a platform error, after which nothing was published.
func (p *Publisher) Apply(ctx context.Context, edit Edit) (*Result, error) {
	a := &applyOperation{publisher: p, edit: edit, localFiles: Refs(edit.Files), nonce: NewNonce(), contents: newContentStore(edit.Files)}
	if edit.ID == "" {
		a.edit.ID = NewNonce()
	}
	result, err := p.update(ctx, a.toHeadEdit())
	var indeterminate *IndeterminateError
	if err != nil && !errors.As(err, &indeterminate) {
		p.discard(ctx, a.localFiles, a.nonce)
	}
	return result, err
}

// applyOperation is the state of one call of Apply or Plan over its attempts.
type applyOperation struct {
	publisher  *Publisher
	edit       Edit
	localFiles []FileRef
	nonce      string
	// contents contains the folder's files and those read from the platform.
	contents contentStore
}

func (a *applyOperation) toHeadEdit() headEdit {
	return headEdit{id: a.edit.ID, nonce: a.nonce, requestDigest: requestDigest(a.localFiles), change: a.change}
}

func requestDigest(refs []FileRef) string {
	var b strings.Builder
	for _, r := range refs {
		fmt.Fprintf(&b, "%s %s\n", r.Digest, r.Name)
	}
	return Digest([]byte(b.String()))
}

// change returns the head that results from applying the edit to from, and writes its
// files to the platform.
func (a *applyOperation) change(ctx context.Context, from *Head) (*Head, *Result, error) {
	plan, err := a.plan(ctx, from)
	if err != nil || plan.Next == nil {
		return nil, &Result{RemoteChanges: remoteChangesOf(plan)}, err
	}
	if err := a.publisher.upload(ctx, plan.Next.Files, a.nonce, a.contents.get); err != nil {
		return nil, nil, err
	}
	a.recordUploads(plan.Next.Files)
	return plan.Next, &Result{Changes: plan.Changes, RemoteChanges: plan.RemoteChanges}, nil
}

// Plan is the effect that an edit would have.
type Plan struct {
	// From is the current head.
	From *Head
	// Next is the head that the edit would create, without its revision; nil if there
	// is nothing to change.
	Next *Head
	// Config is the configuration of Next.
	Config *Config
	// Changes are the files that the edit would change.
	Changes []FileChange
	// RemoteChanges are the changes by others that the edit would keep.
	RemoteChanges []FileChange
}

func remoteChangesOf(plan *Plan) []FileChange {
	if plan == nil {
		return nil
	}
	return plan.RemoteChanges
}

// Plan returns what Apply would do now, without changing anything.
func (p *Publisher) Plan(ctx context.Context, edit Edit) (*Plan, error) {
	snap, err := p.Read(ctx)
	if err != nil {
		return nil, err
	}
	a := &applyOperation{publisher: p, edit: edit, localFiles: Refs(edit.Files), contents: newContentStore(edit.Files)}
	return a.plan(ctx, snap.Head)
}

func (a *applyOperation) plan(ctx context.Context, from *Head) (*Plan, error) {
	base := a.edit.Base
	if base == nil || from.Revision == 0 {
		base = from.Files
	}
	merged, conflicts := mergeRefs(base, a.localFiles, from.Files)
	if len(conflicts) > 0 {
		return nil, &ConflictError{Revision: from.Revision, Files: attributeConflicts(conflicts, from.Edits)}
	}
	plan := &Plan{From: from, Changes: Compare(from.Files, merged), RemoteChanges: Compare(a.localFiles, merged)}
	if len(plan.Changes) == 0 && from.Revision >= a.publisher.MinRevision {
		return plan, nil
	}
	plan.Next = from.clone()
	plan.Next.Files = merged
	var err error
	plan.Config, err = a.buildConfig(ctx, plan.Next)
	return plan, err
}

// buildConfig returns the configuration of next, and removes from next the drains of
// availability zones that the configuration does not have.
func (a *applyOperation) buildConfig(ctx context.Context, next *Head) (*Config, error) {
	var missing []FileRef
	for _, ref := range next.Files {
		if _, ok := a.contents.get(ref.Digest); !ok {
			missing = append(missing, ref)
		}
	}
	files, err := a.publisher.Files(ctx, missing)
	if err != nil {
		return nil, err
	}
	a.contents.add(files)
	c, problems := next.Build(a.contents.get)
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	next.DrainedZones = slices.DeleteFunc(next.DrainedZones, func(name string) bool {
		_, ok := c.Index().AvailabilityZone(name)
		return !ok
	})
	return c, nil
}

// recordUploads records the nonces of uploaded files for the next attempt.
func (a *applyOperation) recordUploads(refs []FileRef) {
	for i := range a.localFiles {
		ref, ok := findRef(refs, a.localFiles[i].Name)
		if ok && ref.Digest == a.localFiles[i].Digest && ref.Nonce == a.nonce {
			a.localFiles[i].Nonce = a.nonce
		}
	}
}

// attributeConflicts sets the latest known edit of each conflicting file.
func attributeConflicts(conflicts []FileConflict, edits []EditRecord) []FileConflict {
	for i := range conflicts {
		for _, e := range edits {
			if slices.Contains(e.Changed, conflicts[i].Name) {
				conflicts[i].Edit, conflicts[i].Revision = e.ID, e.Revision
			}
		}
	}
	return conflicts
}
