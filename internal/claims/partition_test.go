package claims

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// modelStore is the object API without latency.
type modelStore struct {
	objects  map[string]platform.Object
	revision uint64
}

func (m *modelStore) do(e StoreEffect) StoreEvent {
	object, ok := m.objects[e.Key]
	switch {
	case e.Method == MethodGet && !ok:
		return StoreEvent{Err: platform.ErrNotFound}
	case e.Method == MethodGet:
		return StoreEvent{Object: object}
	case e.Method == MethodDelete:
		delete(m.objects, e.Key)
		return StoreEvent{}
	case object.Version != e.IfVersion:
		return StoreEvent{Err: platform.ErrConflict}
	}
	m.revision++
	m.objects[e.Key] = platform.Object{Key: e.Key, Value: e.Value, Version: m.revision}
	return StoreEvent{Object: platform.Object{Version: m.revision}}
}

// held is a claim that a process was told to run.
type held struct {
	key KeyHash
	seq uint64
}

// process is one claiming process of a world.
type process struct {
	*Partition
	call *StoreEffect
	held []held
	open map[uint64]KeyHash
}

// world drives several processes with different views on one partition.
type world struct {
	store     modelStore
	processes []*process
	// late are writes whose caller has an unclear outcome and that may still take effect.
	late   []StoreEffect
	holder map[KeyHash]bool
	now    time.Duration
	nextID uint64
}

func newWorld(n int) *world {
	w := &world{store: modelStore{objects: make(map[string]platform.Object)}, holder: make(map[KeyHash]bool)}
	for i := range n {
		w.processes = append(w.processes, nil)
		w.start(i)
	}
	return w
}

// start replaces process i by a new incarnation. Processes seal at different sizes, as
// different versions of the program might.
func (w *world) start(i int) {
	w.nextID++
	cfg := Config{SealRecords: 3 + i, SummarySegments: 2, WriteRate: 1e6, MaxWait: time.Hour, MaxPending: 8}
	owner := Owner{byte(i), byte(w.nextID), byte(w.nextID >> 8)}
	if old := w.processes[i]; old != nil && old.call != nil && old.call.Method == MethodPut {
		w.late = append(w.late, *old.call)
	}
	w.processes[i] = &process{Partition: NewPartition(cfg, "s/0", owner, uint64(i)), open: make(map[uint64]KeyHash)}
}

// step gives e to process p and checks the answers: a key is claimed once until its owner releases it.
func (w *world) step(p *process, e Event) error {
	for _, effect := range p.Step(w.now, e) {
		switch effect := effect.(type) {
		case StoreEffect:
			if p.call != nil {
				return errors.New("two calls in flight")
			}
			p.call = &effect
		case AnswerEffect:
			key, ok := p.open[effect.ID]
			if !ok {
				return errors.New("a claim was answered twice")
			}
			delete(p.open, effect.ID)
			if effect.Result.Status != Claimed {
				continue
			}
			if w.holder[key] {
				return fmt.Errorf("key %x is claimed twice", key[0])
			}
			w.holder[key] = true
			p.held = append(p.held, held{key: key, seq: effect.Seq})
		}
	}
	if p.broken != "" {
		return errors.New(p.broken)
	}
	return nil
}

func (w *world) claim(p *process, key KeyHash, wait time.Duration) error {
	w.nextID++
	p.open[w.nextID] = key
	return w.step(p, ClaimEvent{ID: w.nextID, Key: key, Deadline: w.now + wait})
}

// settle reports the outcome of the oldest claim that p holds.
func (w *world) settle(p *process, ran bool) error {
	h := p.held[0]
	p.held = p.held[1:]
	w.holder[h.key] = ran
	return w.step(p, OutcomeEvent{Key: h.key, Seq: h.seq, Outcome: Outcome{Ran: ran}})
}

// fate is what becomes of a store call.
type fate int

const (
	fateDone fate = iota
	fateLost
	fateDropped
	fateLate
	fateRefused
	fates
)

// deliver ends the call of p.
func (w *world) deliver(p *process, f fate) error {
	call := *p.call
	p.call = nil
	var e StoreEvent
	switch {
	case f == fateDone:
		e = w.store.do(call)
	case f == fateRefused || call.Method == MethodGet:
		e.Err = platform.ErrUnavailable
	default:
		e.Err = platform.ErrUnclear
		if f == fateLost {
			w.store.do(call)
		}
		if f == fateLate {
			w.late = append(w.late, call)
		}
	}
	return w.step(p, e)
}

// finish runs without faults until everything is settled.
func (w *world) finish() error {
	for range 2000 {
		busy := false
		for _, p := range w.processes {
			w.now += time.Millisecond
			var err error
			if p.call != nil {
				err = w.deliver(p, fateDone)
			} else {
				err = w.step(p, TickEvent{})
			}
			if err != nil {
				return err
			}
			busy = busy || p.Unsettled() > 0
		}
		if !busy {
			return nil
		}
	}
	return errors.New("claims stay unsettled without faults")
}

// Several processes claim few keys while answers are lost, writes take effect late,
// processes pause or are replaced, and segments are sealed by different processes at
// once. No key is ever claimed twice, and without faults everything settles.
func TestPartitionClaimsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keys = 4
		w := newWorld(3)
		check := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		for range rapid.IntRange(20, 250).Draw(t, "steps") {
			i := rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")
			p := w.processes[i]
			switch action := rapid.IntRange(0, 11).Draw(t, "action"); {
			case action <= 1:
				key := KeyHash{byte(rapid.IntRange(1, keys).Draw(t, "key"))}
				wait := time.Duration(rapid.IntRange(1, 2000).Draw(t, "wait")) * time.Millisecond
				check(w.claim(p, key, wait))
			case action <= 6 && p.call != nil:
				f := fate(max(0, rapid.IntRange(-4, int(fates)-1).Draw(t, "fate")))
				check(w.deliver(p, f))
			case action == 7 && len(p.held) > 0:
				check(w.settle(p, rapid.IntRange(0, 3).Draw(t, "ran") == 0))
			case action == 8 && len(w.late) > 0:
				w.store.do(w.late[0])
				w.late = w.late[1:]
			case action == 9 && rapid.IntRange(0, 9).Draw(t, "crash") == 0:
				w.start(i)
			default:
				w.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond
				check(w.step(p, TickEvent{}))
			}
		}
		for _, p := range w.processes {
			for len(p.held) > 0 {
				check(w.settle(p, false))
			}
		}
		check(w.finish())
		for _, call := range w.late {
			w.store.do(call)
		}
		w.start(0)
		for k := range keys {
			check(w.claim(w.processes[0], KeyHash{byte(k + 1)}, time.Minute))
		}
		check(w.finish())
		assert.Equal(t, len(w.processes[0].open), 0)
		assertSameView(t, w.processes, w.now)
	})
}

// assertSameView checks that the processes that are up to date fold the log to the same claims.
// The partition's clock, by which the window is judged, must not run ahead of real time.
func assertSameView(t assert.TestingT, processes []*process, now time.Duration) {
	first := processes[0]
	for _, p := range processes[1:] {
		assert.Assert(t, p.log.clock <= uint64(now.Milliseconds()), "the partition's clock runs ahead")
		if !p.log.loaded || p.log.version != first.log.version {
			continue
		}
		assert.Assert(t, maps.EqualFunc(p.log.index.claims, first.log.index.claims, func(a, b *claimState) bool {
			return a.ownedBy(b.owner, b.seq) && a.status == b.status
		}))
	}
}

// A claim that is given up while its write is unclear is never run: it is released
// when the write turns out to have taken effect, also if that is later.
func TestAbandonedClaimIsReleased(t *testing.T) {
	for _, f := range []fate{fateLost, fateDropped, fateLate} {
		w := newWorld(2)
		a, b, key := w.processes[0], w.processes[1], KeyHash{1}
		assert.NilError(t, w.claim(a, key, 50*time.Millisecond))
		assert.NilError(t, w.deliver(a, fateDone))
		w.now += 20 * time.Millisecond
		assert.NilError(t, w.step(a, TickEvent{}))
		assert.NilError(t, w.deliver(a, f))
		w.now += 40 * time.Millisecond
		assert.NilError(t, w.step(a, TickEvent{}))
		assert.Equal(t, len(a.open), 0, "the claim is answered at its deadline")
		assert.Equal(t, a.Unsettled(), 1, "and stays in doubt")
		for _, call := range w.late {
			w.store.do(call)
		}
		assert.NilError(t, w.finish())
		assert.NilError(t, w.claim(b, key, time.Minute))
		assert.NilError(t, w.finish())
		assert.Equal(t, len(a.held), 0)
		assert.Equal(t, len(b.held), 1, "the key is free again")
	}
}

// A key is remembered for at least the window, and its segments are removed afterwards.
func TestWindow(t *testing.T) {
	w := newWorld(2)
	a, b := w.processes[0], w.processes[1]
	run := func(p *process, key byte) int {
		before := len(p.held)
		assert.NilError(t, w.claim(p, KeyHash{key}, time.Minute))
		assert.NilError(t, w.finish())
		return len(p.held) - before
	}
	for k := byte(1); k <= 8; k++ {
		assert.Equal(t, run(a, k), 1)
	}
	w.now += 23*time.Hour + 50*time.Minute
	assert.Equal(t, run(b, 1), 0, "the window has not passed")
	w.now += time.Hour
	assert.Equal(t, run(a, 20), 1)
	assert.NilError(t, w.finish())
	w.holder = make(map[KeyHash]bool)
	assert.Equal(t, run(b, 1), 1, "the window has passed")
	assert.Equal(t, run(a, 1), 0)
	assert.Assert(t, len(w.store.objects) <= 3, "expired segments stay: %d objects", len(w.store.objects))
}
