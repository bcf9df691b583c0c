package config

import "context"

// Pull is what a folder lacks of others' changes.
type Pull struct {
	// Head is the newest head.
	Head *Head
	// Write are the files to write into the folder.
	Write []File
	// Remove are the names of files to remove from the folder.
	Remove []string
}

// Pull compares a folder with the newest head. Files that the folder has as in base
// are taken from the head; files that only the folder changed stay. The error is a
// *ConflictError if both changed a file and not alike.
func (p *Publisher) Pull(ctx context.Context, files []File, base []FileRef) (*Pull, error) {
	snap, err := p.Read(ctx)
	if err != nil {
		return nil, err
	}
	mine := Refs(files)
	merged, conflicts := mergeRefs(base, mine, snap.Head.Files)
	if len(conflicts) > 0 {
		return nil, &ConflictError{Revision: snap.Head.Revision, Files: attribute(conflicts, snap.Head.Edits)}
	}
	pull := &Pull{Head: snap.Head}
	var wanted []FileRef
	for _, change := range Compare(mine, merged) {
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
