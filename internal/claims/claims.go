// Package claims lets a non-idempotent request with an idempotency key run at
// most once, whichever agents its repeats reach.
//
// The claims of a service are spread over partitions. A partition is an
// append-only log of records in the platform's object API: a small head object,
// which holds the newest records, and sealed segments, which never change; a
// summary repeats a group of segments without their answers. A claim is one record; records are gathered and appended by one conditional
// update of the head. Who appends a key's claim first owns it; the other
// claimers lose the conditional update, read the log and find the claim. Neither
// a lease nor a clock decides.
//
// Partition is the pure state machine, Service the driver that owns partitions
// in one goroutine and calls a platform.Store.
package claims

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Key is the scope of one idempotency key.
type Key struct {
	Organisation   string
	Service        string
	IdempotencyKey string
}

// Status tells what a claim found.
type Status uint8

// The statuses of a Result.
const (
	// Claimed means that the request is the caller's alone to run. The caller must
	// Record the outcome.
	Claimed Status = iota + 1
	// InProgress means that another attempt owns the key and has no recorded outcome.
	InProgress
	// Answered means that the request ran; Result.Answer is its answer.
	Answered
	// AnswerNotKept means that the request ran and its answer was not kept.
	AnswerNotKept
	// KeyReused means that the key was used with another request digest.
	KeyReused
)

// String returns the status's name.
func (s Status) String() string {
	return [...]string{"none", "claimed", "in-progress", "answered", "answer-not-kept", "key-reused"}[s]
}

// Token names one claim of one owner.
type Token struct {
	service   string
	partition uint32
	key       KeyHash
	seq       uint64
}

// Result is the answer to a claim.
type Result struct {
	Status Status
	// Token is set for Claimed.
	Token Token
	// RunBefore is set for Claimed: the request must not be started at or after this
	// time, because the key's window may then have passed.
	RunBefore time.Time
	// Answer is set for Answered.
	Answer *Answer
}

// Answer is the answer of a request that ran.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	Status  int
	Headers []message.Header
	Body    []byte
}

// size returns the answer's share of an encoded record in bytes.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value) + headerOverhead
	}
	return n
}

// headerOverhead bounds the encoded size in bytes of a header beyond its texts.
const headerOverhead = 8

// Outcome is what became of a claimed request.
type Outcome struct {
	// Ran tells that the request ran. If false, the request did not run and never
	// will: the key is released and can be claimed again. If neither is certain, no
	// outcome may be recorded; repeats then stay InProgress.
	Ran bool
	// Answer is the complete answer, nil if there is none to keep.
	Answer *Answer
}
