package fleet

import (
	"cmp"
	"fmt"
)

// Position is a point in the history of the store. A store that is restored from a copy
// enters a new era: its revisions go back to that of the copy and are given out again, so
// that revisions of different eras can't be compared.
type Position struct {
	// Era counts the restores of the store; zero if the store doesn't report it.
	Era int64
	// Revision increases with each change within an era.
	Revision int64
}

// Compare returns -1, 0 or 1 as p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// String returns the era and the revision for logs.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
