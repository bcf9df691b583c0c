package link

import "fmt"

// Reason is the reason why a link operation failed or a link ended.
type Reason uint8

// The reasons of an Error.
const (
	// ReasonClosed marks a link that was closed by either side.
	ReasonClosed Reason = iota + 1
	// ReasonQueueFull marks an outgoing queue at its limit.
	ReasonQueueFull
	// ReasonIdle marks a peer that sent nothing for the idle timeout.
	ReasonIdle
	// ReasonHandshake marks a handshake that was refused or took too long.
	ReasonHandshake
	// ReasonProtocol marks bytes that break the WebSocket or frame rules.
	ReasonProtocol
	// ReasonTooLarge marks a message that is larger than message.MaxFrameSize.
	ReasonTooLarge
	// ReasonConfig marks invalid settings of a Node.
	ReasonConfig
)

// String returns the reason's name.
func (r Reason) String() string {
	switch r {
	case ReasonClosed:
		return "closed"
	case ReasonQueueFull:
		return "queue-full"
	case ReasonIdle:
		return "idle"
	case ReasonHandshake:
		return "handshake"
	case ReasonProtocol:
		return "protocol"
	case ReasonTooLarge:
		return "too-large"
	case ReasonConfig:
		return "config"
	default:
		return "unknown"
	}
}

// Error is a failure of a link.
type Error struct {
	// Reason classifies the failure.
	Reason Reason
	// Detail explains the failure; it contains no secrets.
	Detail string
	// Cause is the underlying error, if any.
	Cause error
}

// Errors returned by Send or passed to Handler.Down; compare with errors.Is.
var (
	ErrClosed    = &Error{Reason: ReasonClosed}
	ErrQueueFull = &Error{Reason: ReasonQueueFull}
	ErrIdle      = &Error{Reason: ReasonIdle}
	ErrTooLarge  = &Error{Reason: ReasonTooLarge}
)

// Error returns the reason, the detail and the cause in one line.
func (e *Error) Error() string {
	text := "link " + e.Reason.String()
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Cause != nil {
		text = fmt.Sprintf("%s: %v", text, e.Cause)
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is an Error of the same reason.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Reason == e.Reason
}

func protocolError(detail string, cause error) *Error {
	return &Error{Reason: ReasonProtocol, Detail: detail, Cause: cause}
}

func handshakeError(detail string, cause error) *Error {
	return &Error{Reason: ReasonHandshake, Detail: detail, Cause: cause}
}
