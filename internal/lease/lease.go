// Package lease elects one holder at a time among candidates, by conditional
// updates of a lease object in the platform's object API, and numbers the holders
// with growing fencing tokens (fences).
//
// No clock is compared between processes. The holder counts its term from before
// the call that renewed the lease, on its own monotonic clock, less a margin. A
// candidate takes a lease over only after it has seen the object unchanged for a
// whole term on its own clock. The margin covers different clock rates. An order
// that was sent in time but arrives late is left to its receiver, which refuses
// lower fences than it has seen.
//
// Candidate is the pure state machine, Keeper the driver.
package lease

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// Config are the times of a lease. Zero fields take the defaults. All candidates of
// a lease should use the same.
type Config struct {
	// Term is how long a lease lasts after a renewal. Default 10s.
	Term time.Duration
	// Margin shortens the term for the holder; it bounds the drift between two
	// clocks over a term. Default Term/5.
	Margin time.Duration
	// Renew is the time between two renewals. Default Term/3.
	Renew time.Duration
	// Poll is the time between two reads of a candidate that waits. Default Term/2.
	Poll time.Duration
	// CallTimeout bounds one call of the store. Default Term/5.
	CallTimeout time.Duration
}

// WithDefaults returns c with its zero fields set to the defaults.
func (c Config) WithDefaults() Config {
	setDefault(&c.Term, 10*time.Second)
	setDefault(&c.Margin, c.Term/5)
	setDefault(&c.Renew, c.Term/3)
	setDefault(&c.Poll, c.Term/2)
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
	// Holder is unique for the incarnation of the holding process.
	Holder string
	// Fence grows with each holder.
	Fence uint64
	// Nonce identifies the write among those of the holder.
	Nonce uint64
	// Term is the holder's term.
	Term time.Duration
	// Released tells that the holder gave the lease up.
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

// TickEvent tells that the time of NextWake has come.
type TickEvent struct{}

// ReadEvent answers a ReadEffect.
type ReadEvent struct {
	Object platform.Object
	Err    error
}

// WriteEvent answers a WriteEffect.
type WriteEvent struct {
	Version uint64
	Err     error
}

// ReleaseEvent asks to give the lease up, or to stop waiting for it, for good.
type ReleaseEvent struct{}

func (TickEvent) isEvent()    {}
func (ReadEvent) isEvent()    {}
func (WriteEvent) isEvent()   {}
func (ReleaseEvent) isEvent() {}

// Effect is an output of a Candidate.
type Effect interface{ isEffect() }

// ReadEffect reads the lease object. A candidate has at most one call in flight.
type ReadEffect struct{}

// WriteEffect writes the lease object if it has the version.
type WriteEffect struct {
	Value     []byte
	IfVersion uint64
}

// GrantEffect tells that the lease is held, or renewed, until Expiry.
type GrantEffect struct {
	Fence  uint64
	Expiry time.Duration
}

// LostEffect tells that the lease is no longer held.
type LostEffect struct{}

// DoneEffect tells that a release has ended; no further call follows.
type DoneEffect struct{}

func (ReadEffect) isEffect()  {}
func (WriteEffect) isEffect() {}
func (GrantEffect) isEffect() {}
func (LostEffect) isEffect()  {}
func (DoneEffect) isEffect()  {}
