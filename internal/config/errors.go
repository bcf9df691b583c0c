package config

import (
	"fmt"
	"strings"
)

// ConflictError tells that another operator changed the same files.
type ConflictError struct {
	// Revision is the revision in force in the platform.
	Revision uint64
	// Files are the files that both changed.
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

// InvalidError tells that the merged files are not a valid configuration.
type InvalidError struct{ Problems []Problem }

// Error returns the first problem and the number of further ones.
func (e *InvalidError) Error() string {
	text := "invalid configuration: " + e.Problems[0].String()
	if more := len(e.Problems) - 1; more > 0 {
		text += fmt.Sprintf(" (and %d more)", more)
	}
	return text
}

// UnclearError tells that an edit may or may not have been accepted.
type UnclearError struct {
	// EditID repeats the edit safely.
	EditID string
	// Cause is the last failure of the platform.
	Cause error
}

// Error names the edit.
func (e *UnclearError) Error() string {
	return fmt.Sprintf("the outcome of edit %s is unclear: %v", e.EditID, e.Cause)
}

// Unwrap returns the last failure of the platform.
func (e *UnclearError) Unwrap() error { return e.Cause }

// EditReusedError tells that an edit ID belongs to another edit.
type EditReusedError struct {
	EditID   string
	Revision uint64
}

// Error names the edit.
func (e *EditReusedError) Error() string {
	return fmt.Sprintf("edit id %s belongs to another edit, which made revision %d", e.EditID, e.Revision)
}

// UnknownZoneError tells that a drain names an availability zone that does not exist.
type UnknownZoneError struct{ Name string }

// Error names the availability zone.
func (e *UnknownZoneError) Error() string {
	return fmt.Sprintf("availability zone %s is not in the configuration", e.Name)
}
