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

// modelStore is an in-memory object API without latency.
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

// heldClaim is a claim that a process was granted.
type heldClaim struct {
	key KeyHash
	seq uint64
}

// process is one claiming process in a world.
type process struct {
	*Partition
	// call is the store call in flight, or nil.
	call *StoreEffect
	// held lists the granted claims without an outcome, oldest first.
	held []heldClaim
	// open contains the keys of the unanswered claims by claim ID.
	open map[uint64]KeyHash
}

// world drives several processes with different views of one partition.
type world struct {
	store     modelStore
	processes []*process
	// delayed lists the writes that were reported to their callers as indeterminate and
	// that may still take effect.
	delayed []StoreEffect
	// claimed is true for the keys that are claimed and not released.
	claimed map[KeyHash]bool
	now     time.Duration
	nextID  uint64
}

func newWorld(n int) *world {
	w := &world{store: modelStore{objects: make(map[string]platform.Object)}, claimed: make(map[KeyHash]bool)}
	for i := range n {
		w.processes = append(w.processes, nil)
		w.startProcess(i)
	}
	return w
}

// startProcess replaces process i with a new incarnation. Processes seal at different
// sizes, as different versions of the program might.
func (w *world) startProcess(i int) {
	w.nextID++
	cfg := Config{SealRecords: 3 + i, SummarySegments: 2, WriteRate: 1e6, MaxWait: time.Hour, MaxPending: 8}
	owner := Owner{byte(i), byte(w.nextID), byte(w.nextID >> 8)}
	if old := w.processes[i]; old != nil && old.call != nil && old.call.Method == MethodPut {
		w.delayed = append(w.delayed, *old.call)
	}
	w.processes[i] = &process{Partition: NewPartition(cfg, "s/0", owner, uint64(i)), open: make(map[uint64]KeyHash)}
}

// step passes e to process p and checks the answers: a key is claimed once until its
// owner releases it.
func (w *world) step(p *process, e Event) error {
	for _, effect := range p.Step(w.now, e) {
		switch effect := effect.(type) {
		case StoreEffect:
			if p.call != nil {
				return errors.New("a second store call was requested while one is in flight")
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
			if w.claimed[key] {
				return fmt.Errorf("key %x is claimed twice", key[0])
			}
			w.claimed[key] = true
			p.held = append(p.held, heldClaim{key: key, seq: effect.Seq})
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

// recordOutcome reports the outcome of the oldest claim that p holds.
func (w *world) recordOutcome(p *process, ran bool) error {
	h := p.held[0]
	p.held = p.held[1:]
	w.claimed[h.key] = ran
	return w.step(p, OutcomeEvent{Key: h.key, Seq: h.seq, Outcome: Outcome{Ran: ran}})
}

// callOutcome is the outcome of a store call. A read with an outcome other than callDone
// fails with platform.ErrUnavailable.
type callOutcome int

const (
	callDone       callOutcome = iota // takes effect and is answered
	callAnswerLost                    // takes effect, but the outcome is unknown to the caller
	callDropped                       // has no effect; the outcome is unknown to the caller
	callDelayed                       // may take effect later; the outcome is unknown to the caller
	callRefused                       // has no effect; the caller gets an error
	callOutcomes
)

// completeCall ends the call in flight of p with the given outcome.
func (w *world) completeCall(p *process, outcome callOutcome) error {
	call := *p.call
	p.call = nil
	var e StoreEvent
	switch {
	case outcome == callDone:
		e = w.store.do(call)
	case outcome == callRefused || call.Method == MethodGet:
		e.Err = platform.ErrUnavailable
	default:
		e.Err = platform.ErrIndeterminate
		if outcome == callAnswerLost {
			w.store.do(call)
		}
		if outcome == callDelayed {
			w.delayed = append(w.delayed, call)
		}
	}
	return w.step(p, e)
}

// finish runs the processes without faults until everything is settled.
func (w *world) finish() error {
	for range 2000 {
		busy := false
		for _, p := range w.processes {
			w.now += time.Millisecond
			var err error
			if p.call != nil {
				err = w.completeCall(p, callDone)
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
	return errors.New("claims are still unsettled after 2000 rounds without faults")
}

// TestPartitionClaimsAtMostOnce makes several processes claim a few keys while answers
// are lost, writes are delayed, processes pause or are replaced, and several processes
// seal segments concurrently. No key may be claimed twice, and without further faults
// everything becomes settled.
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
				outcome := callOutcome(max(0, rapid.IntRange(-4, int(callOutcomes)-1).Draw(t, "outcome")))
				check(w.completeCall(p, outcome))
			case action == 7 && len(p.held) > 0:
				check(w.recordOutcome(p, rapid.IntRange(0, 3).Draw(t, "ran") == 0))
			case action == 8 && len(w.delayed) > 0:
				w.store.do(w.delayed[0])
				w.delayed = w.delayed[1:]
			case action == 9 && rapid.IntRange(0, 9).Draw(t, "crash") == 0:
				w.startProcess(i)
			default:
				w.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond
				check(w.step(p, TickEvent{}))
			}
		}
		for _, p := range w.processes {
			for len(p.held) > 0 {
				check(w.recordOutcome(p, false))
			}
		}
		check(w.finish())
		for _, call := range w.delayed {
			w.store.do(call)
		}
		w.startProcess(0)
		for k := range keys {
			check(w.claim(w.processes[0], KeyHash{byte(k + 1)}, time.Minute))
		}
		check(w.finish())
		assert.Equal(t, len(w.processes[0].open), 0)
		assertSameView(t, w.processes, w.now)
	})
}

// assertSameView checks that all up-to-date processes have the same view of the claims.
// The partition clock, which determines when the window ends, must not run ahead of
// real time.
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

// TestAbandonedClaimIsReleased checks that a claim that is abandoned while the outcome of
// its write is unknown is never run, and that it is released once the write turns out to
// have taken effect, even if that happens later.
func TestAbandonedClaimIsReleased(t *testing.T) {
	for _, outcome := range []callOutcome{callAnswerLost, callDropped, callDelayed} {
		w := newWorld(2)
		a, b, key := w.processes[0], w.processes[1], KeyHash{1}
		assert.NilError(t, w.claim(a, key, 50*time.Millisecond))
		assert.NilError(t, w.completeCall(a, callDone))
		w.now += 20 * time.Millisecond
		assert.NilError(t, w.step(a, TickEvent{}))
		assert.NilError(t, w.completeCall(a, outcome))
		w.now += 40 * time.Millisecond
		assert.NilError(t, w.step(a, TickEvent{}))
		assert.Equal(t, len(a.open), 0, "the claim is answered at its deadline")
		assert.Equal(t, a.Unsettled(), 1, "and is not settled, since the outcome of its write is unknown")
		for _, call := range w.delayed {
			w.store.do(call)
		}
		assert.NilError(t, w.finish())
		assert.NilError(t, w.claim(b, key, time.Minute))
		assert.NilError(t, w.finish())
		assert.Equal(t, len(a.held), 0)
		assert.Equal(t, len(b.held), 1, "the key is free again")
	}
}

// TestKeyExpiresAfterWindow checks that a key is remembered for at least the window, and
// that its segments are removed afterwards.
func TestKeyExpiresAfterWindow(t *testing.T) {
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
	w.claimed = make(map[KeyHash]bool)
	assert.Equal(t, run(b, 1), 1, "the window has passed")
	assert.Equal(t, run(a, 1), 0)
	assert.Assert(t, len(w.store.objects) <= 3, "expired segments were not removed: %d objects", len(w.store.objects))
}
