package ctl

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/gentiantrail/gentiantrail/internal/config"
)

// check validates a folder without the platform.
func check(args *CheckArgs, r *Report) error {
	files, err := readFolder(args.Dir)
	if err != nil {
		return err
	}
	c, problems := config.Merge(files)
	if len(problems) > 0 {
		return &config.InvalidError{Problems: problems}
	}
	r.Summary = &Summary{
		Files: len(files), Organisations: len(c.Organisations), Services: len(c.Services),
		AvailabilityZones: len(c.AvailabilityZones), Pools: len(c.Pools),
	}
	return nil
}

func readFolder(dir string) ([]config.File, error) {
	files, problems := config.ReadFolder(os.DirFS(dir))
	if len(problems) > 0 {
		return nil, &config.InvalidError{Problems: problems}
	}
	return files, nil
}

// folderEdit returns the edit that publishes a folder. With replace, the edit has no base.
// With a baseRevision other than zero, which must be the head's revision, the base is the
// head's files; otherwise it is the folder's base record. A folder without a base record
// must not differ from a published head.
func folderEdit(ctx context.Context, p *config.Publisher, dir string, baseRevision uint64, replace bool) (config.Edit, error) {
	files, err := readFolder(dir)
	if err != nil {
		return config.Edit{}, err
	}
	edit := config.Edit{Files: files}
	if replace {
		return edit, nil
	}
	record, err := readBase(dir)
	if err != nil {
		return edit, err
	}
	if record != nil && baseRevision == 0 {
		edit.Base = record.Files
		return edit, nil
	}
	snap, err := p.Read(ctx)
	if err != nil {
		return edit, err
	}
	edit.Base = snap.Head.Files
	changes := config.Compare(snap.Head.Files, config.Refs(files))
	switch {
	case baseRevision != 0 && baseRevision != snap.Head.Revision:
		return edit, &config.ConflictError{Revision: snap.Head.Revision}
	case baseRevision == 0 && snap.Head.Revision != 0 && len(changes) > 0:
		return edit, &noBaseError{revision: snap.Head.Revision, changes: changes}
	}
	return edit, nil
}

// diff shows what apply would change.
func diff(ctx context.Context, p *config.Publisher, args *DiffArgs, r *Report) error {
	edit, err := folderEdit(ctx, p, args.Dir, 0, args.Replace)
	var noBase *noBaseError
	if errors.As(err, &noBase) {
		r.Notes = append(r.Notes, "the folder has no record; shown as apply --base "+fmt.Sprint(noBase.revision)+" would change")
		err = nil
	}
	if err != nil {
		return err
	}
	plan, err := p.Plan(ctx, edit)
	if err != nil {
		return err
	}
	r.Diff = &Diff{Revision: plan.From.Revision, Changes: plan.Changes, RemoteChanges: plan.RemoteChanges}
	if plan.Next == nil {
		return nil
	}
	r.ExitCode = ExitProblem
	var from *config.Config
	if plan.From.Revision != 0 {
		if from, err = p.Config(ctx, plan.From); err != nil {
			return err
		}
		for i := range from.AvailabilityZones {
			from.AvailabilityZones[i].Drained = plan.Config.Index().AvailabilityZoneDrained(from.AvailabilityZones[i].Name)
		}
	}
	r.Diff.Objects = config.CompareObjects(from, plan.Config)
	return nil
}

// apply publishes a folder.
func apply(ctx context.Context, p *config.Publisher, args *ApplyArgs, r *Report) error {
	edit, err := folderEdit(ctx, p, args.Dir, args.Base, args.Replace)
	if err != nil {
		return err
	}
	edit.ID = args.EditID
	p.MinRevision = args.Floor
	r.Result, err = p.Apply(ctx, edit)
	if err != nil {
		return err
	}
	if err := writeBase(args.Dir, r.Result.Revision, config.Refs(edit.Files)); err != nil {
		r.Notes = append(r.Notes, "accepted, but the folder's record "+baseFileName+" cannot be written")
	}
	return nil
}

// pull merges others' changes into a folder.
func pull(ctx context.Context, p *config.Publisher, args *PullArgs, r *Report) error {
	if err := os.MkdirAll(args.Dir, 0o755); err != nil {
		return &usageError{"the folder cannot be created"}
	}
	files, problems := config.ReadFolder(os.DirFS(args.Dir))
	if len(problems) > 0 && len(files) > 0 {
		return &config.InvalidError{Problems: problems}
	}
	record, err := readBase(args.Dir)
	if err != nil {
		return err
	}
	var from []config.FileRef
	if record != nil {
		from = record.Files
	}
	found, err := p.Pull(ctx, files, from)
	if err != nil {
		return err
	}
	if err := writePull(args.Dir, found); err != nil {
		return &usageError{"the folder cannot be written: " + err.Error()}
	}
	r.Notes = append(r.Notes, fmt.Sprintf("%d files written, %d removed", len(found.Write), len(found.Remove)))
	r.Result = &config.Result{Revision: found.Head.Revision, Unchanged: true}
	return writeBase(args.Dir, found.Head.Revision, found.Head.Files)
}

func writePull(dir string, found *config.Pull) error {
	for _, f := range found.Write {
		if err := writeFile(dir, f.Name, f.Content); err != nil {
			return err
		}
	}
	for _, name := range found.Remove {
		if err := os.Remove(filepath.Join(dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}
