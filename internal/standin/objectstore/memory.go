// Package objectstore is a stand-in for the platform's object API, for tests and trials.
//
// Memory implements platform.Store in memory; Handler serves a Memory over HTTP. Both
// can simulate failures of the platform: outage, latency, lost answers, writes that take
// effect late, and watches that miss, repeat or discard events.
package objectstore

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// maxEvents is the maximum number of events in the watch history; older events are
// compacted.
const maxEvents = 4096

// Memory is an in-memory object store. It is safe for concurrent use.
type Memory struct {
	mu        sync.Mutex
	objects   map[string]platform.Object
	revision  uint64
	events    []platform.Event
	compacted uint64        // highest revision whose events were discarded
	changed   chan struct{} // closed on the next change
	instances []instanceChange
	faults    Faults
	counters  Counters
	random    *rand.Rand
}

var _ platform.Store = (*Memory)(nil)

// New returns an empty store without faults.
func New() *Memory { return NewSeeded(1) }

// NewSeeded returns an empty store without faults. seed determines its random faults.
func NewSeeded(seed uint64) *Memory {
	return &Memory{
		objects: make(map[string]platform.Object),
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// beginCall counts a call and waits for the simulated latency. It returns
// platform.ErrUnavailable if the store is down or ctx ends; the call then has no effect.
func (m *Memory) beginCall(ctx context.Context, count func(*Counters)) error {
	m.mu.Lock()
	count(&m.counters)
	latency := milliseconds(m.faults.LatencyMS)
	m.mu.Unlock()
	if latency > 0 {
		timer := time.NewTimer(latency)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return platform.ErrUnavailable
	}
	return nil
}

// Get implements platform.Store.
func (m *Memory) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := m.beginCall(ctx, func(c *Counters) { c.Get++ }); err != nil {
		return platform.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	object, ok := m.objects[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return clone(object), nil
}

// Put implements platform.Store.
func (m *Memory) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	count := func(c *Counters) { c.Put++; c.BytesWritten += uint64(len(value)) }
	if err := m.beginCall(ctx, count); err != nil {
		return 0, err
	}
	if len(value) > platform.MaxValueSize {
		return 0, platform.ErrTooLarge
	}
	value = append([]byte(nil), value...)
	return m.write(func() (uint64, error) { return m.put(key, value, ifVersion) })
}

// Delete implements platform.Store.
func (m *Memory) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if err := m.beginCall(ctx, func(c *Counters) { c.Delete++ }); err != nil {
		return err
	}
	_, err := m.write(func() (uint64, error) { return 0, m.remove(key, ifVersion) })
	return err
}

// write runs change with m.mu held, subject to the simulated faults of writes.
func (m *Memory) write(change func() (uint64, error)) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.nextWriteOutcome() {
	case writeAppliedUnanswered:
		_, _ = change()
		return 0, platform.ErrIndeterminate
	case writeDropped:
		return 0, platform.ErrIndeterminate
	case writeDelayed:
		time.AfterFunc(milliseconds(m.faults.DelayMS), func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			_, _ = change()
		})
		return 0, platform.ErrIndeterminate
	default:
		return change()
	}
}

// checkVersion returns platform.ErrConflict if the object's version differs from
// ifVersion, unless that is platform.AnyVersion.
func (m *Memory) checkVersion(key string, ifVersion uint64) error {
	if ifVersion != platform.AnyVersion && m.objects[key].Version != ifVersion {
		m.counters.Conflicts++
		return platform.ErrConflict
	}
	return nil
}

func (m *Memory) put(key string, value []byte, ifVersion uint64) (uint64, error) {
	if err := m.checkVersion(key, ifVersion); err != nil {
		return 0, err
	}
	m.revision++
	object := platform.Object{Key: key, Value: value, Version: m.revision}
	m.objects[key] = object
	m.publish(platform.Event{Object: object})
	return m.revision, nil
}

func (m *Memory) remove(key string, ifVersion uint64) error {
	if _, ok := m.objects[key]; !ok {
		return platform.ErrNotFound
	}
	if err := m.checkVersion(key, ifVersion); err != nil {
		return err
	}
	m.revision++
	delete(m.objects, key)
	m.publish(platform.Event{Object: platform.Object{Key: key, Version: m.revision}, Deleted: true})
	return nil
}

// List implements platform.Store.
func (m *Memory) List(ctx context.Context, prefix string) (platform.ListResult, error) {
	if err := m.beginCall(ctx, func(c *Counters) { c.List++ }); err != nil {
		return platform.ListResult{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	result := platform.ListResult{Revision: m.revision}
	for key, object := range m.objects {
		if strings.HasPrefix(key, prefix) {
			result.Objects = append(result.Objects, clone(object))
		}
	}
	sort.Slice(result.Objects, func(i, j int) bool { return result.Objects[i].Key < result.Objects[j].Key })
	return result, nil
}

func clone(o platform.Object) platform.Object {
	o.Value = append([]byte(nil), o.Value...)
	return o
}
