package quarantine

import (
	"context"
	"errors"
)

// ErrConflict reports a record that another gateway has changed in the meantime.
var ErrConflict = errors.New("the record has been changed in the meantime")

// Version identifies one state of a record in the store. The zero value is that of a record that
// does not exist.
type Version int64

// Store keeps the records of quarantined subjects for all gateways.
type Store interface {
	// ListRecords returns all records, which may be seconds old, and the number of those that
	// can't be decoded.
	ListRecords(ctx context.Context) (records []Record, undecodable int, err error)
	// LoadRecord returns the record of a subject and its version.
	LoadRecord(ctx context.Context, subject string) (Record, Version, error)
	// SaveRecord replaces the record of its subject, or creates it. The error is ErrConflict if
	// the version is not that of the record in the store.
	SaveRecord(ctx context.Context, r Record, v Version) error
	// RemoveRecord removes the record of a subject if there is one.
	RemoveRecord(ctx context.Context, subject string) error
}
