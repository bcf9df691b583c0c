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
	// ID is unique for the sender's incarnation.
	ID uint64 `cbor:"1,keyasint"`
	// Trace is the request id in logs and answers of all processes.
	Trace string `cbor:"2,keyasint"`
	// Incarnation is the agent incarnation that the request is meant for; zero for an entry.
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
	// Hops counts the entries that have passed the request on.
	Hops int `cbor:"14,keyasint,omitempty"`
	// Window is the number of body bytes that may be sent before the first Credit.
	Window int `cbor:"15,keyasint"`
	// PrefixHash identifies the prompt prefix for cache affinity; zero means none.
	PrefixHash uint64 `cbor:"16,keyasint,omitempty"`
	// NoWait asks for a refusal instead of a place in the agent's queue.
	NoWait bool `cbor:"17,keyasint,omitempty"`
	// MaxWait asks for a refusal if the wait in the agent's queue would be longer; zero sets no bound.
	MaxWait time.Duration `cbor:"18,keyasint,omitempty"`
}

// Accepted reports the load after a request was put into the agent's queue; a
// request that runs at once is not reported.
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
	// Whole tells that Body is the whole body and that no further frame follows.
	Whole bool   `cbor:"5,keyasint,omitempty"`
	Body  []byte `cbor:"6,keyasint,omitempty"`
	// Load is set if Whole is.
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
}

// ResponseEnd ends an answer. Failure is nil exactly when the answer is whole.
type ResponseEnd struct {
	ID uint64 `cbor:"1,keyasint"`
	// Length is the number of body bytes sent.
	Length  int64    `cbor:"2,keyasint"`
	Failure *Failure `cbor:"3,keyasint,omitempty"`
	Load    Load     `cbor:"4,keyasint"`
}

// Credit allows Bytes more body bytes for a request.
type Credit struct {
	ID    uint64 `cbor:"1,keyasint"`
	Bytes int    `cbor:"2,keyasint"`
}

// Cancel tells that the caller has gone.
type Cancel struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Withdraw asks whether a request can still be kept from running.
type Withdraw struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Withdrawn answers Withdraw.
type Withdrawn struct {
	ID uint64 `cbor:"1,keyasint"`
	// NotRun is true when the request has not started and never will.
	NotRun bool `cbor:"2,keyasint"`
}
