package claims

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// Event is an input of a Partition.
type Event interface{ isEvent() }

// ClaimEvent asks for a claim.
type ClaimEvent struct {
	// ID is unique for the partition; the answer names it.
	ID     uint64
	Key    KeyHash
	Digest Digest
	// Deadline is when the claim is given up.
	Deadline time.Duration
}

// CancelEvent gives up a claim that has no answer yet.
type CancelEvent struct{ ID uint64 }

// OutcomeEvent reports the outcome of a claim of this process.
type OutcomeEvent struct {
	Key     KeyHash
	Seq     uint64
	Outcome Outcome
}

// StoreEvent answers the last StoreEffect.
type StoreEvent struct {
	Object platform.Object
	Err    error
}

// TickEvent tells that the time of NextWake has come.
type TickEvent struct{}

func (ClaimEvent) isEvent()   {}
func (CancelEvent) isEvent()  {}
func (OutcomeEvent) isEvent() {}
func (StoreEvent) isEvent()   {}
func (TickEvent) isEvent()    {}

// Effect is an output of a Partition.
type Effect interface{ isEffect() }

// StoreMethod is a method of platform.Store.
type StoreMethod uint8

// The methods that a partition calls.
const (
	MethodGet StoreMethod = iota + 1
	MethodPut
	MethodDelete
)

// StoreEffect calls the store. A partition has at most one call in flight; its
// outcome must come back as a StoreEvent.
type StoreEffect struct {
	Method    StoreMethod
	Key       string
	Value     []byte
	IfVersion uint64
}

// AnswerEffect answers a ClaimEvent, exactly once. Err is of
// apierr.KindClaimUnavailable if the key was not claimed; this process then never
// runs the request.
type AnswerEffect struct {
	ID     uint64
	Result Result
	// Seq is the number of the claim if Result.Status is Claimed.
	Seq uint64
	// RunBefore is the time before which a claimed request may be started.
	RunBefore time.Duration
	Err       *apierr.Error
}

func (StoreEffect) isEffect()  {}
func (AnswerEffect) isEffect() {}
