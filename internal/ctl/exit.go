package ctl

import (
	"errors"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// ExitCode is the exit code of gentiantrailctl.
type ExitCode int

// The exit codes.
const (
	// ExitOK means that the command did what was asked.
	ExitOK ExitCode = iota
	// ExitProblem means that a problem or a difference was found.
	ExitProblem
	// ExitUsage means that the command line is wrong.
	ExitUsage
	// ExitConflict means that another operator made a conflicting change; nothing was
	// changed.
	ExitConflict
	// ExitUnavailable means that the platform is unavailable; nothing was changed.
	ExitUnavailable
	// ExitIndeterminate means that a change may or may not have been accepted.
	ExitIndeterminate
	// ExitUnreachable means that a process did not answer on its admin address.
	ExitUnreachable
	// ExitFailure means any other failure; nothing was changed.
	ExitFailure
)

// usageError reports a fault in the command line, or in the folder that it names, which
// the parser cannot detect.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

// unreachableError reports that a process's state could not be read at its admin address.
type unreachableError struct {
	addr  string
	cause error
}

func (e *unreachableError) Error() string {
	return "no state from " + e.addr + ": " + e.cause.Error()
}

func (e *unreachableError) Unwrap() error { return e.cause }

// noBaseError reports that a folder has no base record and differs from the platform, so
// that it is unknown which of the differences are the operator's changes.
type noBaseError struct {
	revision uint64
	changes  []config.FileChange
}

func (e *noBaseError) Error() string {
	return "the folder has no record of the revision that it was in step with, and it differs from the platform"
}

// explain returns the exit code of an error and a hint on what the operator should do.
func explain(err error) (ExitCode, string) {
	var usage *usageError
	var invalid *config.InvalidError
	var conflict *config.ConflictError
	var noBase *noBaseError
	var indeterminate *config.IndeterminateError
	var reused *config.EditReusedError
	var zone *config.UnknownZoneError
	var unreachable *unreachableError
	switch {
	case errors.As(err, &usage):
		return ExitUsage, "see gentiantrailctl --help"
	case errors.As(err, &invalid):
		return ExitProblem, "correct the files; nothing was published"
	case errors.As(err, &conflict):
		return ExitConflict, "nothing was published; run pull to take the other changes, settle the named files, apply again"
	case errors.As(err, &noBase):
		return ExitConflict, "run diff, then apply --base with the revision that diff prints; or apply --replace"
	case errors.As(err, &indeterminate):
		return ExitIndeterminate, "repeat the same command with --edit-id " + indeterminate.EditID + " once the platform answers"
	case errors.As(err, &reused):
		return ExitUsage, "choose another --edit-id"
	case errors.As(err, &zone):
		return ExitProblem, "see status for the names"
	case errors.As(err, &unreachable):
		return ExitUnreachable, "check the admin address and whether the process runs"
	case errors.Is(err, platform.ErrUnavailable):
		return ExitUnavailable, "nothing was changed; running processes keep their revision; try again later"
	case errors.Is(err, platform.ErrConflict):
		return ExitConflict, "others change the configuration at this moment; nothing was changed; try again"
	default:
		return ExitFailure, ""
	}
}
