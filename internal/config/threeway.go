package config

import (
	"fmt"
	"slices"
	"strings"
)

// ChangeKind is the way in which a file or object differs between two versions.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Changed ChangeKind = "changed"
	Removed ChangeKind = "removed"
)

// FileChange is one file that differs between two versions.
type FileChange struct {
	Name string     `json:"name"`
	Kind ChangeKind `json:"kind"`
}

// FileConflict is a file that two operators changed in different ways.
type FileConflict struct {
	// Name is the file's name.
	Name string `json:"name"`
	// Local is the change in the local folder, and Remote the change in the platform.
	Local  ChangeKind `json:"mine"`
	Remote ChangeKind `json:"theirs"`
	// Edit is the latest edit that is known to have changed the file; empty if unknown.
	Edit string `json:"edit,omitempty"`
	// Revision is the revision of Edit, zero if unknown.
	Revision uint64 `json:"revision,omitempty"`
}

// String returns the conflict on one line.
func (c FileConflict) String() string {
	text := fmt.Sprintf("%s: %s here, %s in the platform", c.Name, c.Local, c.Remote)
	if c.Edit != "" {
		text += fmt.Sprintf(" by edit %s (revision %d)", c.Edit, c.Revision)
	}
	return text
}

// Compare returns the changes that lead from one sorted list of files to another.
func Compare(from, to []FileRef) []FileChange {
	var changes []FileChange
	for _, name := range unionNames(from, to) {
		a, inFrom := findRef(from, name)
		b, inTo := findRef(to, name)
		if kind, ok := changeKind(a, inFrom, b, inTo); ok {
			changes = append(changes, FileChange{Name: name, Kind: kind})
		}
	}
	return changes
}

// mergeRefs merges the local and remote lists by file: if only one side changed a file
// since base, its version is taken. Files that both changed differently are conflicts.
func mergeRefs(base, local, remote []FileRef) ([]FileRef, []FileConflict) {
	var merged []FileRef
	var conflicts []FileConflict
	for _, name := range unionNames(base, local, remote) {
		b, inBase := findRef(base, name)
		l, inLocal := findRef(local, name)
		r, inRemote := findRef(remote, name)
		localKind, localChanged := changeKind(b, inBase, l, inLocal)
		remoteKind, remoteChanged := changeKind(b, inBase, r, inRemote)
		identical := inLocal == inRemote && l.Digest == r.Digest
		switch {
		case !localChanged || identical:
			merged = appendIf(merged, r, inRemote)
		case !remoteChanged:
			merged = appendIf(merged, l, inLocal)
		default:
			conflicts = append(conflicts, FileConflict{Name: name, Local: localKind, Remote: remoteKind})
		}
	}
	return merged, conflicts
}

func appendIf(list []FileRef, ref FileRef, ok bool) []FileRef {
	if !ok {
		return list
	}
	return append(list, ref)
}

// changeKind returns how a file changed from a to b; ok is false if it did not.
func changeKind(a FileRef, inA bool, b FileRef, inB bool) (kind ChangeKind, ok bool) {
	switch {
	case inA && !inB:
		return Removed, true
	case !inA && inB:
		return Added, true
	case a.Digest != b.Digest:
		return Changed, true
	default:
		return "", false
	}
}

func unionNames(lists ...[]FileRef) []string {
	var names []string
	for _, list := range lists {
		for _, ref := range list {
			names = append(names, ref.Name)
		}
	}
	slices.SortFunc(names, strings.Compare)
	return slices.Compact(names)
}
