package config

import (
	"fmt"
	"strings"
)

// ConflictError reports that another operator changed the same files.
type ConflictError struct {
	// Revision is the current revision in the platform.
	Revision uint64
	// Files are the files that both operators changed.
	Files []FileConflict
}

// Error lists the conflicting files.
func (e *ConflictError) Error() string {
	var lines []string
	for _, f := range e.Files {
		lines = append(lines, f.String())
	}
	return fmt.Sprintf("conflict with revision %d: %s", e.Revision, strings.Join(lines, "; "))
}

// InvalidError reports that the merged files are not a valid configuration.
type InvalidError struct{ Problems []Problem }

// Error returns the first problem and the number of further ones.
func (e *InvalidError) Error() string {
	text := "invalid configuration: " + e.Problems[0].String()
	if more := len(e.Problems) - 1; more > 0 {
		text += fmt.Sprintf(" (and %d more)", more)
	}
	return text
}

// IndeterminateError reports that the outcome of an edit is unknown: it may or may not have
// been accepted.
type IndeterminateError struct {
	// EditID is the ID of the edit, with which it can be repeated safely.
	EditID string
	// Cause is the last error of the platform.
	Cause error
}

// Error returns the edit's ID and the cause.
func (e *IndeterminateError) Error() string {
	return fmt.Sprintf("the outcome of edit %s is unknown: %v", e.EditID, e.Cause)
}

// Unwrap returns the last error of the platform.
func (e *IndeterminateError) Unwrap() error { return e.Cause }

// EditReusedError reports that an edit ID was already used by another edit.
type EditReusedError struct {
	EditID   string
	Revision uint64
}

// Error returns the edit's ID and the revision that the other edit created.
func (e *EditReusedError) Error() string {
	return fmt.Sprintf("edit ID %s was already used by another edit, which created revision %d", e.EditID, e.Revision)
}

// UnknownZoneError reports that a drain names an availability zone that does not exist.
type UnknownZoneError struct{ Name string }

// Error returns the name of the availability zone.
func (e *UnknownZoneError) Error() string {
	return fmt.Sprintf("availability zone %s is not in the configuration", e.Name)
}
