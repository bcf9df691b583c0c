package upstream

import "time"

// Stage is the stage at which a call failed.
type Stage uint8

// The stages.
const (
	// StageConnect means that no byte of the request was written.
	StageConnect Stage = iota
	// StageSent means that the request was written, completely or in part; whether it ran
	// is unknown.
	StageSent
)

// Failure is the error of a call that got no answer.
type Failure struct {
	Stage Stage
	// SentAt is when the request was written, or its first part; zero if no byte was.
	SentAt time.Time
	// Reused is true if the connection had served another request before.
	Reused bool
	Cause  error
}

// Error returns the stage and the cause.
func (f *Failure) Error() string {
	if f.Stage == StageConnect {
		return "connect: " + f.Cause.Error()
	}
	return "no answer: " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }
