package config

import "context"

// Pull is the set of changes by others that a folder lacks.
type Pull struct {
	// Head is the current head.
	Head *Head
	// Write lists the files to write into the folder.
	Write []File
	// Remove lists the names of files to remove from the folder.
	Remove []string
}

// Pull compares a folder with the current head. Files that the folder has not changed
// since base are taken from the head; files that only the folder changed are kept. The
// error is a *ConflictError if both changed a file in different ways.
func (p *Publisher) Pull(ctx context.Context, files []File, base []FileRef) (*Pull, error) {
	snap, err := p.Read(ctx)
	if err != nil {
		return nil, err
	}
	local := Refs(files)
	merged, conflicts := mergeRefs(base, local, snap.Head.Files)
	if len(conflicts) > 0 {
		return nil, &ConflictError{Revision: snap.Head.Revision, Files: attributeConflicts(conflicts, snap.Head.Edits)}
	}
	pull := &Pull{Head: snap.Head}
	var wanted []FileRef
	for _, change := range Compare(local, merged) {
		if change.Kind == Removed {
			pull.Remove = append(pull.Remove, change.Name)
			continue
		}
		ref, _ := findRef(merged, change.Name)
		wanted = append(wanted, ref)
	}
	pull.Write, err = p.Files(ctx, wanted)
	return pull, err
}
