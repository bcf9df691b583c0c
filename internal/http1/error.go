package http1

// SyntaxError means that bytes are not a valid message, or that two implementations could
// frame them differently.
type SyntaxError struct {
	// Reason describes the error.
	Reason string
}

// Error returns the reason.
func (e *SyntaxError) Error() string { return "malformed HTTP: " + e.Reason }

// Part is a part of a message that has a size limit.
type Part string

// The parts with a limit.
const (
	PartHeader Part = "header"
	PartBody   Part = "body"
)

// TooLargeError means that a part of a message exceeds its limit.
type TooLargeError struct {
	Part Part
	// Limit is in bytes, or a number of fields.
	Limit int
}

// Error names the part.
func (e *TooLargeError) Error() string { return "the " + string(e.Part) + " is too large" }
