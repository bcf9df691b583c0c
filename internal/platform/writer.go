package platform

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxStamps is the number of recent writes that an entry remembers.
const maxStamps = 16

// settlePause is the wait between two tries to settle an unclear write.
const settlePause = 50 * time.Millisecond

// Stamp identifies one write by its writer.
type Stamp struct {
	_ struct{} `cbor:",toarray"`
	// Writer is unique for the incarnation of the process.
	Writer string
	// Nonce is unique for the writer.
	Nonce uint64
}

// envelope is the stored form of an Entry.
type envelope struct {
	_ struct{} `cbor:",toarray"`
	// Seq is one more than in the value that this one replaced.
	Seq uint64
	// Stamps are the latest writes, newest first.
	Stamps  []Stamp
	Payload []byte
}

// Entry is a stamped value as it was read or written.
type Entry struct {
	Key string
	// Payload is the value without its stamps.
	Payload []byte
	// Version is the object's version; zero means that it does not exist.
	Version uint64
	// Superseded tells, after a Put, that the write took effect and was since
	// replaced by another one; Payload and Version are then the newer write's.
	Superseded bool

	seq    uint64
	stamps []Stamp
}

// Writer writes stamped values: each carries the writer's id and a nonce, so that
// an unclear outcome is settled by reading. It is safe for concurrent use.
type Writer struct {
	store Store
	id    string
	nonce atomic.Uint64
}

// NewWriter returns a Writer on store. The id must be unique for the incarnation of the process.
func NewWriter(store Store, id string) *Writer { return &Writer{store: store, id: id} }

// Read returns the entry under key. A missing object gives an Entry of Version zero and no error.
func (w *Writer) Read(ctx context.Context, key string) (Entry, error) {
	object, err := w.store.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return Entry{Key: key}, nil
	}
	if err != nil {
		return Entry{}, err
	}
	return openEntry(object)
}

// openEntry decodes an object that a Writer wrote.
func openEntry(o Object) (Entry, error) {
	var e envelope
	if err := cbor.Unmarshal(o.Value, &e); err != nil {
		return Entry{}, err
	}
	return Entry{Key: o.Key, Payload: e.Payload, Version: o.Version, seq: e.Seq, stamps: e.Stamps}, nil
}

// Put replaces prev, as it was read or written, by payload. It returns the new entry, or
// ErrConflict if another write came first, ErrUnavailable if nothing was written
// and never will be, and ErrUnclear if ctx ended before the outcome was settled.
func (w *Writer) Put(ctx context.Context, prev Entry, payload []byte) (Entry, error) {
	stamp := Stamp{Writer: w.id, Nonce: w.nonce.Add(1)}
	next := prev
	next.Payload, next.Superseded = payload, false
	next.seq = prev.seq + 1
	next.stamps = append([]Stamp{stamp}, prev.stamps[:min(len(prev.stamps), maxStamps-1)]...)
	value, err := cbor.Marshal(envelope{Seq: next.seq, Stamps: next.stamps, Payload: payload})
	if err != nil {
		return Entry{}, err
	}
	version, err := w.store.Put(ctx, prev.Key, value, prev.Version)
	next.Version = version
	if !errors.Is(err, ErrUnclear) {
		return next, err
	}
	return w.settle(ctx, prev, next, value)
}

// settle finds out whether the write of next took effect. While the object still has
// prev's version the write may take effect late, so it is sent again under the same
// condition: at most one of the two can.
func (w *Writer) settle(ctx context.Context, prev, next Entry, value []byte) (Entry, error) {
	for {
		current, err := w.Read(ctx, prev.Key)
		switch {
		case err != nil:
		case current.Version != prev.Version:
			return verdict(prev, next, current)
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
		case <-time.After(settlePause):
		case <-ctx.Done():
			return Entry{}, ErrUnclear
		}
	}
}

// verdict tells from current, which replaced prev, what became of the write of next.
func verdict(prev, next, current Entry) (Entry, error) {
	for i, s := range current.stamps {
		if s == next.stamps[0] {
			current.Superseded = i > 0
			return current, nil
		}
	}
	since := current.seq - prev.seq
	if current.seq <= prev.seq || since > uint64(len(current.stamps)) {
		return Entry{}, ErrUnclear
	}
	return Entry{}, ErrConflict
}
