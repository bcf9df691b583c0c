package platform

// Error is a failure of the object API.
type Error struct{ text string }

// Error returns the failure's text.
func (e *Error) Error() string { return e.text }

// The failures of a Store.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = &Error{"platform: object not found"}
	// ErrConflict means that the object has a different version; nothing was written.
	ErrConflict = &Error{"platform: version conflict"}
	// ErrCompacted means that a watch's revision is too old.
	ErrCompacted = &Error{"platform: revision compacted"}
	// ErrUnavailable means that the request did not take effect.
	ErrUnavailable = &Error{"platform: unavailable"}
	// ErrIndeterminate means that a write may or may not have taken effect.
	ErrIndeterminate = &Error{"platform: outcome of the write is unknown"}
	// ErrTooLarge means that a value is larger than MaxValueSize.
	ErrTooLarge = &Error{"platform: value too large"}
)
