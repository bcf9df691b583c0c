package config

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Edit is an operator's folder that shall become the configuration.
type Edit struct {
	// ID names the edit; a repeat with the same ID is accepted once. Empty: random.
	ID string
	// Files are the folder's files.
	Files []File
	// Base are the files as they were when the folder was last in step with the
	// platform. Files that the folder has as in Base are left as they are in the
	// platform. Nil means that the folder replaces whatever is there.
	Base []FileRef
}

// Apply publishes an edit. Nothing is published unless the merge of all files is
// valid. The error is a *ConflictError, *InvalidError, *EditReusedError,
// *UnclearError, *HeadError or a platform error, after which nothing was published.
func (p *Publisher) Apply(ctx context.Context, edit Edit) (*Result, error) {
	a := &application{publisher: p, edit: edit, mine: Refs(edit.Files), nonce: NewNonce(), contents: newContentStore(edit.Files)}
	if edit.ID == "" {
		a.edit.ID = NewNonce()
	}
	result, err := p.update(ctx, a.asEdit())
	var unclear *UnclearError
	if err != nil && !errors.As(err, &unclear) {
		p.discard(ctx, a.mine, a.nonce)
	}
	return result, err
}

// application is the state of one Apply over its attempts.
type application struct {
	publisher *Publisher
	edit      Edit
	mine      []FileRef
	nonce     string
	// contents holds the folder's files and those read from the platform.
	contents contentStore
}

func (a *application) asEdit() edit {
	return edit{id: a.edit.ID, nonce: a.nonce, request: requestDigest(a.mine), change: a.change}
}

func requestDigest(refs []FileRef) string {
	var b strings.Builder
	for _, r := range refs {
		fmt.Fprintf(&b, "%s %s\n", r.Digest, r.Name)
	}
	return Digest([]byte(b.String()))
}

// change returns the head that holds the edit on top of from and writes its files.
func (a *application) change(ctx context.Context, from *Head) (*Head, *Result, error) {
	plan, err := a.plan(ctx, from)
	if err != nil || plan.Next == nil {
		return nil, &Result{Theirs: theirsOf(plan)}, err
	}
	if err := a.publisher.upload(ctx, plan.Next.Files, a.nonce, a.contents.get); err != nil {
		return nil, nil, err
	}
	a.rememberUploads(plan.Next.Files)
	return plan.Next, &Result{Changes: plan.Changes, Theirs: plan.Theirs}, nil
}

// Plan is what an edit would do.
type Plan struct {
	// From is the newest head.
	From *Head
	// Next is the head that the edit would make, without its revision; nil if there
	// is nothing to change.
	Next *Head
	// Config is the configuration of Next.
	Config *Config
	// Changes are the files that the edit would change.
	Changes []FileChange
	// Theirs are files that others changed and that would be kept.
	Theirs []FileChange
}

func theirsOf(plan *Plan) []FileChange {
	if plan == nil {
		return nil
	}
	return plan.Theirs
}

// Plan tells what Apply would do now, and changes nothing.
func (p *Publisher) Plan(ctx context.Context, edit Edit) (*Plan, error) {
	snap, err := p.Read(ctx)
	if err != nil {
		return nil, err
	}
	a := &application{publisher: p, edit: edit, mine: Refs(edit.Files), contents: newContentStore(edit.Files)}
	return a.plan(ctx, snap.Head)
}

func (a *application) plan(ctx context.Context, from *Head) (*Plan, error) {
	base := a.edit.Base
	if base == nil || from.Revision == 0 {
		base = from.Files
	}
	merged, conflicts := mergeRefs(base, a.mine, from.Files)
	if len(conflicts) > 0 {
		return nil, &ConflictError{Revision: from.Revision, Files: attribute(conflicts, from.Edits)}
	}
	plan := &Plan{From: from, Changes: Compare(from.Files, merged), Theirs: Compare(a.mine, merged)}
	if len(plan.Changes) == 0 && from.Revision >= a.publisher.Floor {
		return plan, nil
	}
	plan.Next = from.clone()
	plan.Next.Files = merged
	var err error
	plan.Config, err = a.check(ctx, plan.Next)
	return plan, err
}

// check builds next and drops drains of availability zones that it does not have.
func (a *application) check(ctx context.Context, next *Head) (*Config, error) {
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

// rememberUploads keeps the nonces of uploaded files for the next attempt.
func (a *application) rememberUploads(refs []FileRef) {
	for i := range a.mine {
		ref, ok := findRef(refs, a.mine[i].Name)
		if ok && ref.Digest == a.mine[i].Digest && ref.Nonce == a.nonce {
			a.mine[i].Nonce = a.nonce
		}
	}
}

// attribute names the latest known edit of each conflicting file.
func attribute(conflicts []FileConflict, edits []EditRecord) []FileConflict {
	for i := range conflicts {
		for _, e := range edits {
			if slices.Contains(e.Changed, conflicts[i].Name) {
				conflicts[i].Edit, conflicts[i].Revision = e.ID, e.Revision
			}
		}
	}
	return conflicts
}
