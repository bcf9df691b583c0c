package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/gentiantrail/gentiantrail/internal/quarantine"
)

// fakeRecords is a quarantine.Store in memory.
type fakeRecords struct {
	mu       sync.Mutex
	records  map[string]quarantine.Record
	versions map[string]quarantine.Version
	version  quarantine.Version
	// down is true while all calls fail.
	down bool
}

var errRecordsDown = errors.New("no records")

func newFakeRecords() *fakeRecords {
	return &fakeRecords{records: map[string]quarantine.Record{}, versions: map[string]quarantine.Version{}}
}

func (f *fakeRecords) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// count returns the number of records.
func (f *fakeRecords) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.records)
}

func (f *fakeRecords) ListRecords(context.Context) ([]quarantine.Record, int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, 0, errRecordsDown
	}
	return slices.Collect(maps.Values(f.records)), 0, nil
}

func (f *fakeRecords) LoadRecord(_ context.Context, subject string) (quarantine.Record, quarantine.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return quarantine.Record{}, 0, errRecordsDown
	}
	return f.records[subject], f.versions[subject], nil
}

func (f *fakeRecords) SaveRecord(_ context.Context, r quarantine.Record, v quarantine.Version) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	subject := r.Evidence.Subject
	switch {
	case f.down:
		return errRecordsDown
	case f.versions[subject] != v:
		return quarantine.ErrConflict
	}
	f.version++
	f.records[subject], f.versions[subject] = r, f.version
	return nil
}

func (f *fakeRecords) RemoveRecord(_ context.Context, subject string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errRecordsDown
	}
	delete(f.records, subject)
	delete(f.versions, subject)
	return nil
}
