// Package lease elects at most one holder at a time among candidates, by conditional
// updates of a lease object in the platform's object API, and gives each holder a higher
// fencing token (fence) than the one before.
//
// Clocks are not compared between processes. The holder measures its term on its own
// monotonic clock, starting before the call that renewed the lease, and subtracts a
// margin. A candidate takes over a lease only after the object has been unchanged for a
// whole term on the candidate's clock. The margin covers clocks that run at different
// rates. An order that was sent in time but arrives late is left to its receiver, which
// refuses fences lower than the highest that it has seen.
//
// Candidate is the pure state machine. Keeper is the driver that calls the store.
package lease

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// Config contains the times of a lease. Zero fields take the defaults. All candidates of
// a lease should use the same values.
type Config struct {
	// Term is how long a lease lasts after a renewal. Default 10s.
	Term time.Duration
	// Margin is subtracted from the term of the holder. It must be at least the drift
	// between two clocks over a term. Default Term/5.
	Margin time.Duration
	// RenewInterval is the time between two renewals. Default Term/3.
	RenewInterval time.Duration
	// PollInterval is the time between two reads of a waiting candidate. Default Term/2.
	PollInterval time.Duration
	// CallTimeout is the timeout of one store call. Default Term/5.
	CallTimeout time.Duration
}

// WithDefaults returns c with its zero fields set to the defaults.
func (c Config) WithDefaults() Config {
	setDefault(&c.Term, 10*time.Second)
	setDefault(&c.Margin, c.Term/5)
	setDefault(&c.RenewInterval, c.Term/3)
	setDefault(&c.PollInterval, c.Term/2)
	setDefault(&c.CallTimeout, c.Term/5)
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// object is the stored lease.
type object struct {
	_ struct{} `cbor:",toarray"`
	// Holder is the id of the holding candidate, unique for the incarnation of its process.
	Holder string
	// Fence grows with each holder.
	Fence uint64
	// Nonce distinguishes the writes of one holder.
	Nonce uint64
	// Term is the holder's term.
	Term time.Duration
	// Released is true if the holder has released the lease.
	Released bool
}

func (o object) encode() []byte {
	b, err := cbor.Marshal(o)
	if err != nil {
		panic(err) // the type always encodes
	}
	return b
}

// Event is an input of a Candidate.
type Event interface{ isEvent() }

// TickEvent notifies the candidate that the time returned by NextWake has come.
type TickEvent struct{}

// ReadEvent is the result of a ReadEffect.
type ReadEvent struct {
	Object platform.Object
	Err    error
}

// WriteEvent is the result of a WriteEffect.
type WriteEvent struct {
	Version uint64
	Err     error
}

// ReleaseEvent releases the lease, or stops waiting for it, permanently.
type ReleaseEvent struct{}

func (TickEvent) isEvent()    {}
func (ReadEvent) isEvent()    {}
func (WriteEvent) isEvent()   {}
func (ReleaseEvent) isEvent() {}

// Effect is an output of a Candidate.
type Effect interface{ isEffect() }

// ReadEffect requests a read of the lease object. A candidate has at most one call in
// flight.
type ReadEffect struct{}

// WriteEffect requests a write of the lease object on condition that its version is
// IfVersion.
type WriteEffect struct {
	Value     []byte
	IfVersion uint64
}

// GrantEffect reports that the lease was gained or renewed and is held until Expiry.
type GrantEffect struct {
	Fence  uint64
	Expiry time.Duration
}

// LostEffect reports that the lease is no longer held.
type LostEffect struct{}

// DoneEffect reports that a release has finished; no further call follows.
type DoneEffect struct{}

func (ReadEffect) isEffect()  {}
func (WriteEffect) isEffect() {}
func (GrantEffect) isEffect() {}
func (LostEffect) isEffect()  {}
func (DoneEffect) isEffect()  {}
