// Package claims ensures that a non-idempotent request with an idempotency key runs at
// most once, even if its repeats reach different agents.
//
// The claims of a service are spread over partitions. A partition is an append-only log
// of records in the platform's object API. It consists of a small head object, which
// contains the newest records, and sealed segments, which are immutable. A summary
// repeats the records of a group of segments without their answers. A claim is one
// record; records are batched and appended by one conditional update of the head. The
// first owner to append a claim for a key owns the key. The conditional updates of the
// other claimers fail; they then read the log and find the claim. Exclusivity depends
// on neither a lease nor a clock.
//
// Partition is the pure state machine. Service is the driver that runs all partitions
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

// Status is the result of a claim.
type Status uint8

// The statuses of a Result.
const (
	// Claimed means that the caller, and nobody else, may run the request. The caller
	// must Record the outcome.
	Claimed Status = iota + 1
	// InProgress means that another attempt owns the key and has no recorded outcome.
	InProgress
	// Answered means that the request ran; Result.Answer contains its answer.
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

// Token identifies one claim of one owner.
type Token struct {
	service   string
	partition uint32
	key       KeyHash
	seq       uint64
}

// Result is the decision on a claim.
type Result struct {
	Status Status
	// Token is set for Claimed.
	Token Token
	// RunBefore is set for Claimed. The request must not be started at or after this
	// time, because the retention window of the key may have passed by then.
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

// size returns the number of bytes that the answer contributes to an encoded record.
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

// headerOverhead is an upper bound of the encoded size of a header, in bytes, beyond
// its name and value.
const headerOverhead = 8

// Outcome describes how a claimed request ended.
type Outcome struct {
	// Ran is true if the request ran. If false, the request did not run and never
	// will: the key is released and can be claimed again. If it is unknown whether the
	// request ran, no outcome may be recorded; repeats then remain InProgress.
	Ran bool
	// Answer is the complete answer, or nil if there is none to keep.
	Answer *Answer
}
