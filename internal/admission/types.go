package admission

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// Config contains the limits of a Controller.
type Config struct {
	// Limit is the maximum number of requests that a warm target runs concurrently.
	Limit int
	// ColdLimit is the maximum number of requests that a target runs concurrently right
	// after its start.
	ColdLimit int
	// ProbeWhileCold allows the limit to grow while the target still reports that it is cold.
	ProbeWhileCold bool
	// QueueLimit is the maximum number of waiting requests.
	QueueLimit int
	// OrganisationQueueLimit is the maximum number of waiting requests per organisation;
	// zero means QueueLimit.
	OrganisationQueueLimit int
	// MaxWait is the maximum waiting time of a request; zero means that only its deadline
	// limits it.
	MaxWait time.Duration
	// ServiceTime is the service time that is assumed until the first request has completed.
	ServiceTime time.Duration
}

// Item is a request for admission.
type Item struct {
	// ID is unique among the waiting and running requests.
	ID uint64
	// Organisation is the organisation that is charged for the request.
	Organisation string
	// Weight is the organisation's relative share; values below 1 count as 1.
	Weight int
	// Priority orders the waiting requests of one organisation; higher values go first.
	Priority int
	// Deadline is the time by which the answer must be complete.
	Deadline time.Duration
	// NoWait requests a refusal if the request would have to be queued.
	NoWait bool
	// MaxWait requests a refusal if the expected wait is longer; zero means no limit.
	MaxWait time.Duration
}

// Verdict is the decision on an offered request.
type Verdict uint8

// The verdicts.
const (
	// Refuse means that the request did not run and never will; Decision.Err is the reason.
	Refuse Verdict = iota
	// Queue means that the request waits; a later Effects starts or refuses it.
	Queue
	// Run means that the request must be started now.
	Run
)

// Decision is the result of Offer.
type Decision struct {
	// Verdict is the decision on the offered request.
	Verdict Verdict
	// Err is the reason for the refusal; it is set if and only if Verdict is Refuse.
	Err *apierr.Error
	// Effects lists the other requests that must be started or refused because of the offer.
	Effects Effects
}

// Refused is a waiting request that will never run.
type Refused struct {
	// ID identifies the request.
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
	// Work is the request's size for the latency baseline, for example generated tokens;
	// zero means one.
	Work float64
	// OK is false if the target failed: reset, unreachable or overloaded. An answer with
	// an error status that is caused by the request itself is OK.
	OK bool
	// Cancelled is true if the caller cancelled the request; the run then indicates nothing
	// about the target.
	Cancelled bool
}
