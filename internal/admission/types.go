package admission

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// Config bounds a Controller.
type Config struct {
	// Limit is the most requests that a warm target runs at once.
	Limit int
	// ColdLimit is the most requests that a target runs at once just after its start.
	ColdLimit int
	// ProbeWhileCold lets the limit grow while the target still reports itself cold.
	ProbeWhileCold bool
	// QueueLimit is the most requests that wait.
	QueueLimit int
	// OrganisationQueueLimit is the most requests of one organisation that wait; zero means QueueLimit.
	OrganisationQueueLimit int
	// MaxWait is the longest time that a request waits; zero means that only its deadline bounds it.
	MaxWait time.Duration
	// ServiceTime is assumed until the first request has completed.
	ServiceTime time.Duration
}

// Item is a request that asks to run.
type Item struct {
	// ID is unique among the requests that wait or run.
	ID uint64
	// Organisation is charged for the request.
	Organisation string
	// Weight is the organisation's share; values below 1 count as 1.
	Weight int
	// Priority orders the waiting requests of one organisation; higher goes first.
	Priority int
	// Deadline is the time by which the answer must be complete.
	Deadline time.Duration
	// NoWait asks for a refusal instead of a place in the queue.
	NoWait bool
	// MaxWait asks for a refusal if the expected wait is longer; zero sets no bound.
	MaxWait time.Duration
}

// Verdict is what happens to an offered request.
type Verdict uint8

// The verdicts.
const (
	// Refuse means that the request did not run and never will; Decision.Err says why.
	Refuse Verdict = iota
	// Queue means that the request waits; a later Effects names it.
	Queue
	// Run means that the request must be started now.
	Run
)

// Decision answers Offer.
type Decision struct {
	// Verdict is what happens to the offered request.
	Verdict Verdict
	// Err is set exactly when Verdict is Refuse.
	Err *apierr.Error
	// Effects names the other requests that the offer displaced.
	Effects Effects
}

// Refused is a waiting request that will never run.
type Refused struct {
	// ID names the request.
	ID uint64
	// Err is the answer to the caller.
	Err *apierr.Error
}

// Effects lists what the caller of a Controller has to do.
type Effects struct {
	// Start lists the waiting requests that must be started now.
	Start []uint64
	// Refused lists the waiting requests that must be answered now.
	Refused []Refused
}

// Result describes the end of a running request.
type Result struct {
	// ServiceTime is the time from start to end.
	ServiceTime time.Duration
	// Work is the request's size for the latency baseline, for example generated tokens; zero means one.
	Work float64
	// OK is false when the target failed: reset, unreachable or overloaded.
	// An answer with an error status that the request itself deserves is OK.
	OK bool
	// Cancelled tells that the caller gave up; the run says nothing about the target.
	Cancelled bool
}
