package platform

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxStamps is the number of recent writes whose stamps an object keeps.
const maxStamps = 16

// resolveInterval is the wait between two attempts to resolve an indeterminate write.
const resolveInterval = 50 * time.Millisecond

// Stamp identifies one write of one writer.
type Stamp struct {
	_ struct{} `cbor:",toarray"`
	// Writer is the writer's id, unique for the incarnation of the process.
	Writer string
	// Nonce is unique among the writer's writes.
	Nonce uint64
}

// envelope is the stored form of a StampedObject.
type envelope struct {
	_ struct{} `cbor:",toarray"`
	// Seq is one more than that of the value that this one replaced.
	Seq uint64
	// Stamps identify the latest writes, newest first.
	Stamps  []Stamp
	Payload []byte
}

// StampedObject is a value with its stamps, as it was read or written.
type StampedObject struct {
	Key string
	// Payload is the value without its stamps.
	Payload []byte
	// Version is the object's version; zero means that it does not exist.
	Version uint64
	// Superseded is true after a Put if the write took effect and has since been
	// replaced by another one; Payload and Version are then those of the newer write.
	Superseded bool

	seq    uint64
	stamps []Stamp
}

// Writer writes values with stamps: each stamp is the writer's id and a nonce, so that
// an indeterminate outcome can be resolved by reading the object again. It is safe for
// concurrent use.
type Writer struct {
	store Store
	id    string
	nonce atomic.Uint64
}

// NewWriter returns a Writer on store. The id must be unique for the incarnation of the process.
func NewWriter(store Store, id string) *Writer { return &Writer{store: store, id: id} }

// Read returns the object under key. If it does not exist, Read returns a StampedObject
// with Version zero and no error.
func (w *Writer) Read(ctx context.Context, key string) (StampedObject, error) {
	object, err := w.store.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return StampedObject{Key: key}, nil
	}
	if err != nil {
		return StampedObject{}, err
	}
	return openStampedObject(object)
}

// openStampedObject decodes an object that a Writer wrote.
func openStampedObject(o Object) (StampedObject, error) {
	var e envelope
	if err := cbor.Unmarshal(o.Value, &e); err != nil {
		return StampedObject{}, err
	}
	return StampedObject{Key: o.Key, Payload: e.Payload, Version: o.Version, seq: e.Seq, stamps: e.Stamps}, nil
}

// Put replaces prev, as it was read or written, with payload. It returns the new object, or
// ErrConflict if another write came first, ErrUnavailable if nothing was written
// and never will be, and ErrIndeterminate if ctx ended before the outcome was known.
func (w *Writer) Put(ctx context.Context, prev StampedObject, payload []byte) (StampedObject, error) {
	stamp := Stamp{Writer: w.id, Nonce: w.nonce.Add(1)}
	next := prev
	next.Payload, next.Superseded = payload, false
	next.seq = prev.seq + 1
	next.stamps = append([]Stamp{stamp}, prev.stamps[:min(len(prev.stamps), maxStamps-1)]...)
	value, err := cbor.Marshal(envelope{Seq: next.seq, Stamps: next.stamps, Payload: payload})
	if err != nil {
		return StampedObject{}, err
	}
	version, err := w.store.Put(ctx, prev.Key, value, prev.Version)
	next.Version = version
	if !errors.Is(err, ErrIndeterminate) {
		return next, err
	}
	return w.resolve(ctx, prev, next, value)
}

// resolve determines whether the write of next took effect. While the object still has
// prev's version, the write may yet take effect, so it is sent again under the same
// condition: at most one of the two can succeed.
func (w *Writer) resolve(ctx context.Context, prev, next StampedObject, value []byte) (StampedObject, error) {
	for {
		current, err := w.Read(ctx, prev.Key)
		switch {
		case err != nil:
		case current.Version != prev.Version:
			return resolvedOutcome(prev, next, current)
		default:
			version, err := w.store.Put(ctx, prev.Key, value, prev.Version)
			if err == nil {
				next.Version = version
				return next, nil
			}
			if errors.Is(err, ErrConflict) {
				continue
			}
		}
		select {
		case <-time.After(resolveInterval):
		case <-ctx.Done():
			return StampedObject{}, ErrIndeterminate
		}
	}
}

// resolvedOutcome returns the outcome of the write of next, given current, the object that
// replaced prev. It returns ErrIndeterminate if current is not newer than prev or no
// longer has the stamps of all writes since prev.
func resolvedOutcome(prev, next, current StampedObject) (StampedObject, error) {
	for i, s := range current.stamps {
		if s == next.stamps[0] {
			current.Superseded = i > 0
			return current, nil
		}
	}
	since := current.seq - prev.seq
	if current.seq <= prev.seq || since > uint64(len(current.stamps)) {
		return StampedObject{}, ErrIndeterminate
	}
	return StampedObject{}, ErrConflict
}
