package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/standin/objectstore"
)

// zones returns a folder with one availability zone per file; the region contains the mark.
func zones(mark string, names ...string) []File {
	var files []File
	for _, n := range names {
		files = append(files, File{Name: n + ".yaml", Content: fmt.Appendf(nil, "availability_zones:\n- name: %s\n  region: r-%s\n", n, mark)})
	}
	return files
}

// headHistory returns every head that was ever stored, oldest first.
func headHistory(t testingT, store platform.Store) []*Head {
	result, err := store.Watch(context.Background(), HeadKey, 0, 0)
	assert.NilError(t, err)
	var heads []*Head
	for _, e := range result.Events {
		h, err := DecodeHead(e.Object.Value)
		assert.NilError(t, err)
		heads = append(heads, h)
	}
	return heads
}

type testingT interface {
	Helper()
	Log(...any)
	FailNow()
	Fail()
}

func TestConcurrentEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.NewSeeded(1)
		store.SetFaults(objectstore.Faults{LatencyMS: 5})
		p := &Publisher{Store: store}
		start := zones("start", "a", "b", "c")
		_, err := p.Apply(t.Context(), Edit{Files: start})
		assert.NilError(t, err)
		edits := [][]File{
			{zones("x", "a")[0], start[1], start[2]},
			{start[0], zones("y", "b")[0], start[2]},
			{zones("z", "a")[0], start[1], start[2]},
			{start[0], start[1]},
		}
		var wg sync.WaitGroup
		errs := make([]error, len(edits)+1)
		for i, files := range edits {
			wg.Go(func() {
				_, errs[i] = p.Apply(t.Context(), Edit{ID: fmt.Sprint("edit-", i), Files: files, Base: Refs(start)})
			})
		}
		wg.Go(func() {
			_, errs[4] = p.SetDrain(t.Context(), DrainChange{Scope: DrainZone, Name: "b", Drained: true})
		})
		wg.Wait()
		assert.NilError(t, errs[1])
		assert.NilError(t, errs[3])
		assert.NilError(t, errs[4])
		winner, loser := 0, 2
		if errs[0] != nil {
			winner, loser = 2, 0
		}
		assert.NilError(t, errs[winner])
		var conflict *ConflictError
		assert.Assert(t, errors.As(errs[loser], &conflict), "%v", errs[loser])
		assert.Equal(t, conflict.Files[0].Name, "a.yaml")
		assert.Equal(t, conflict.Files[0].Edit, fmt.Sprint("edit-", winner))
		snap, err := p.Read(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, snap.Head.Revision, uint64(5))
		c, err := p.Config(t.Context(), snap.Head)
		assert.NilError(t, err)
		assert.Equal(t, len(c.AvailabilityZones), 2)
		assert.DeepEqual(t, c.AvailabilityZones[1], AvailabilityZone{Name: "b", Region: "r-y", Drained: true})
	})
}

// unreliableStore is a store in which outcomes determines the result of each write of the head.
type unreliableStore struct {
	*objectstore.Memory
	mu sync.Mutex
	// outcomes are the codes of the results of the next writes, as listed in Put. After a
	// write with a code from 4 on, the store is unavailable for 300 ms.
	outcomes []int
	// downUntil is the end of an outage that began after a write.
	downUntil time.Time
}

func (s *unreliableStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	put := func() (uint64, error) { return s.Memory.Put(context.Background(), key, value, ifVersion) }
	if s.down() {
		return 0, platform.ErrUnavailable
	}
	time.Sleep(2 * time.Millisecond)
	if key != HeadKey {
		return put()
	}
	s.mu.Lock()
	outcome := 0
	if len(s.outcomes) > 0 {
		outcome, s.outcomes = s.outcomes[0], s.outcomes[1:]
	}
	if outcome >= 4 {
		s.downUntil = time.Now().Add(300 * time.Millisecond)
	}
	s.mu.Unlock()
	switch outcome {
	case 1, 4: // takes effect, no answer
		_, _ = put()
	case 2, 5: // no effect, no answer
	case 7: // rejected
		return 0, platform.ErrUnavailable
	case 3, 6: // takes effect later, no answer
		time.AfterFunc(150*time.Millisecond, func() { _, _ = put() })
	default:
		return put()
	}
	return 0, platform.ErrIndeterminate
}

func (s *unreliableStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if s.down() {
		return platform.Object{}, platform.ErrUnavailable
	}
	time.Sleep(time.Millisecond)
	return s.Memory.Get(ctx, key)
}

func (s *unreliableStore) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

// Even if answers are lost and writes are delayed or rejected, an accepted edit is in
// exactly one revision and a rejected one in none, also after delayed writes took effect.
func TestEditsAreExactlyOnceDespiteStoreFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		outcomes := rapid.SliceOfN(rapid.IntRange(0, 7), 4, 24).Draw(rt, "outcomes")
		synctest.Test(t, func(t *testing.T) { runWithOutcomes(t, outcomes, 2) })
	})
	// A write that takes effect only after its retry was rejected in an outage.
	synctest.Test(t, func(t *testing.T) { runWithOutcomes(t, []int{3, 7}, 1) })
}

func runWithOutcomes(t *testing.T, outcomes []int, operators int) {
	store := &unreliableStore{Memory: objectstore.New(), outcomes: outcomes}
	p := &Publisher{Store: store}
	results := make([][]error, operators)
	var wg sync.WaitGroup
	for op := range operators {
		wg.Go(func() {
			for n := range 4 {
				id := fmt.Sprintf("op%d-%d", op, n)
				ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
				_, err := p.Apply(ctx, Edit{ID: id, Files: zones(id, fmt.Sprint("z", op))})
				if err == nil {
					_, err = p.SetDrain(ctx, DrainChange{ID: id + "-drain", Scope: DrainInstance, Name: id, Drained: true})
				}
				cancel()
				results[op] = append(results[op], err)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	accepted := map[string]int{}
	for i, h := range headHistory(t, store.Memory) {
		assert.Equal(t, h.Revision, uint64(i+1))
		accepted[h.Edits[len(h.Edits)-1].ID]++
	}
	for op := range results {
		for n, err := range results[op] {
			checkEditOutcome(t, accepted, fmt.Sprintf("op%d-%d", op, n), err)
		}
	}
}

func checkEditOutcome(t *testing.T, accepted map[string]int, id string, err error) {
	apply, drain := accepted[id], accepted[id+"-drain"]
	assert.Assert(t, apply <= 1 && drain <= 1, "%s was accepted %d and %d times", id, apply, drain)
	var indeterminate *IndeterminateError
	switch {
	case err == nil:
		assert.Equal(t, drain, 1, id)
	case errors.As(err, &indeterminate):
	default:
		assert.Equal(t, drain, 0, "%s was rejected with %v", id, err)
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			assert.Equal(t, apply, 0, "%s was rejected with %v", id, err)
		}
	}
}

func TestRepeatedEditsAndObjectRemoval(t *testing.T) {
	store := objectstore.New()
	p := &Publisher{Store: store}
	first, err := p.Apply(t.Context(), Edit{ID: "one", Files: zones("1", "a")})
	assert.NilError(t, err)
	again, err := p.Apply(t.Context(), Edit{ID: "one", Files: zones("1", "a")})
	assert.NilError(t, err)
	assert.Assert(t, again.Repeated && again.Revision == first.Revision)
	_, err = p.Apply(t.Context(), Edit{ID: "one", Files: zones("2", "a")})
	var reused *EditReusedError
	assert.Assert(t, errors.As(err, &reused))
	_, err = p.Apply(t.Context(), Edit{Files: []File{{Name: "x.yaml", Content: []byte("pools: 1\n")}}})
	var invalid *InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	old, err := p.Read(t.Context())
	assert.NilError(t, err)
	for n := range 20 {
		_, err = p.Apply(t.Context(), Edit{Files: zones(fmt.Sprint(n), "a")})
		assert.NilError(t, err)
	}
	list, err := store.List(t.Context(), filePrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(list.Objects), 2) // the file in use and the one just replaced
	_, err = p.Files(t.Context(), old.Head.Files)
	assert.Equal(t, err, error(platform.ErrConflict))
	p.MinRevision = 90
	for range 2 { // the files are unchanged; the second edit has nothing to do
		result, err := p.Apply(t.Context(), Edit{Files: zones("19", "a")})
		assert.NilError(t, err)
		assert.Equal(t, result.Revision, uint64(90))
	}
}
