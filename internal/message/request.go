package message

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request asks an agent, or a peer entry, to run a request.
type Request struct {
	// ID is unique within the sender's incarnation.
	ID uint64 `cbor:"1,keyasint"`
	// RequestID is the request ID in the logs and answers of all processes.
	RequestID string `cbor:"2,keyasint"`
	// Incarnation is the agent incarnation that the request is meant for; it is zero if
	// the receiver is an entry.
	Incarnation  uint64        `cbor:"3,keyasint"`
	Organisation string        `cbor:"4,keyasint"`
	Service      string        `cbor:"5,keyasint"`
	Method       string        `cbor:"6,keyasint"`
	Path         string        `cbor:"7,keyasint"`
	Headers      []Header      `cbor:"8,keyasint,omitempty"`
	Body         []byte        `cbor:"9,keyasint,omitempty"`
	Timeout      time.Duration `cbor:"10,keyasint"`
	Priority     int           `cbor:"11,keyasint,omitempty"`
	// Idempotent reports whether the request may run more than once.
	Idempotent bool `cbor:"12,keyasint,omitempty"`
	// IdempotencyKey is the caller's key for a non-idempotent request.
	IdempotencyKey string `cbor:"13,keyasint,omitempty"`
	// Hops is the number of entries that have forwarded the request to another entry.
	Hops int `cbor:"14,keyasint,omitempty"`
	// Window is the number of body bytes that may be sent before the first Credit.
	Window int `cbor:"15,keyasint"`
	// PrefixHash identifies the prompt prefix for cache affinity; zero means none.
	PrefixHash uint64 `cbor:"16,keyasint,omitempty"`
	// NoWait asks the agent to refuse the request instead of queueing it.
	NoWait bool `cbor:"17,keyasint,omitempty"`
	// MaxWait asks the agent to refuse the request if the wait in its queue would be
	// longer; zero sets no bound.
	MaxWait time.Duration `cbor:"18,keyasint,omitempty"`
}

// Accepted reports the agent's load after a request was added to its queue. It is not
// sent for a request that runs at once.
type Accepted struct {
	ID   uint64 `cbor:"1,keyasint"`
	Load Load   `cbor:"2,keyasint"`
}

// ResponseHead carries the status and the headers of an answer.
type ResponseHead struct {
	ID      uint64   `cbor:"1,keyasint"`
	Status  int      `cbor:"2,keyasint"`
	Headers []Header `cbor:"3,keyasint,omitempty"`
	// Length is the body's length in bytes, or -1 for a streamed body.
	Length int64 `cbor:"4,keyasint"`
	// Complete is true if Body is the complete body and no further frame follows.
	Complete bool   `cbor:"5,keyasint,omitempty"`
	Body     []byte `cbor:"6,keyasint,omitempty"`
	// Load is set if Complete is true.
	Load Load `cbor:"7,keyasint"`
}

// ResponseData carries the next piece of an answer's body.
type ResponseData struct {
	ID uint64 `cbor:"1,keyasint"`
	// Offset is the position of Data in the body.
	Offset int64  `cbor:"2,keyasint"`
	Data   []byte `cbor:"3,keyasint"`
}

// Failure is the link form of an apierr.Error.
type Failure struct {
	Kind       apierr.Kind   `cbor:"1,keyasint"`
	Detail     string        `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// EndedTarget names the run of the target that has ended under the request. It is empty if the
	// target is not known to have ended.
	EndedTarget string `cbor:"5,keyasint,omitempty"`
}

// ResponseEnd ends an answer. Failure is nil if and only if the answer is complete.
type ResponseEnd struct {
	ID uint64 `cbor:"1,keyasint"`
	// Length is the number of body bytes sent.
	Length  int64    `cbor:"2,keyasint"`
	Failure *Failure `cbor:"3,keyasint,omitempty"`
	Load    Load     `cbor:"4,keyasint"`
}

// Credit allows the receiver to send Bytes more body bytes of a request's answer.
type Credit struct {
	ID    uint64 `cbor:"1,keyasint"`
	Bytes int    `cbor:"2,keyasint"`
}

// Cancel reports that the caller no longer waits for the answer.
type Cancel struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Withdraw asks the receiver not to run a request that has not started.
type Withdraw struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Withdrawn reports the result of Withdraw.
type Withdrawn struct {
	ID uint64 `cbor:"1,keyasint"`
	// NotRun is true if the request has not started and never will.
	NotRun bool `cbor:"2,keyasint"`
}
