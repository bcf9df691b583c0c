package claims

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// Event is an input of a Partition.
type Event interface{ isEvent() }

// ClaimEvent requests a claim.
type ClaimEvent struct {
	// ID is unique within the partition; the AnswerEffect repeats it.
	ID     uint64
	Key    KeyHash
	Digest Digest
	// Deadline is the time at which the partition stops waiting and abandons the claim.
	Deadline time.Duration
}

// CancelEvent cancels a claim that has no answer yet.
type CancelEvent struct{ ID uint64 }

// OutcomeEvent reports the outcome of a claim that this process owns.
type OutcomeEvent struct {
	Key     KeyHash
	Seq     uint64
	Outcome Outcome
}

// StoreEvent is the result of the last StoreEffect.
type StoreEvent struct {
	Object platform.Object
	Err    error
}

// TickEvent notifies the partition that the time returned by NextWake has come.
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

// StoreEffect requests a store call. A partition has at most one call in flight; the
// caller must pass the result back as a StoreEvent.
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
	// Seq is the sequence number of the claim if Result.Status is Claimed.
	Seq uint64
	// RunBefore is the time before which a claimed request may be started.
	RunBefore time.Duration
	Err       *apierr.Error
}

func (StoreEffect) isEffect()  {}
func (AnswerEffect) isEffect() {}
