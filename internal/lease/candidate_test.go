package lease

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// schedules is the number of random schedules per test, each with its own fixed seed.
const schedules = 1000

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// between returns a random number from low to high.
func between(random *rand.Rand, low, high int) int { return low + random.IntN(high-low+1) }

// stateMachine is the implementation under test: Candidate or a naive version.
type stateMachine interface {
	Step(now time.Duration, e Event) []Effect
	Valid(now time.Duration) (uint64, bool)
	NextWake() (time.Duration, bool)
}

// call is a store call in flight.
type call struct {
	// write is the requested write, or nil for a read.
	write *WriteEffect
	// answer is the result of the call; it is set once completed is true.
	answer    Event
	completed bool
}

// node is one process with its own clock.
type node struct {
	stateMachine
	offset time.Duration
	// rate is the speed of the clock in thousandths of real time.
	rate int64
	call *call
	mode mode
}

// clock returns the node's clock at real time t.
func (n *node) clock(t time.Duration) time.Duration {
	return n.offset + t*time.Duration(n.rate)/1000
}

// world drives several nodes on one lease object.
type world struct {
	nodes   []*node
	object  platform.Object
	delayed []WriteEffect
	// reliable makes every call succeed.
	reliable bool
	now      time.Duration
	// holder is the state machine that was last valid.
	holder   stateMachine
	holders  uint64
	maxFence uint64
}

func (w *world) apply(e WriteEffect) WriteEvent {
	if e.IfVersion != w.object.Version {
		return WriteEvent{Err: platform.ErrConflict}
	}
	w.object = platform.Object{Value: e.Value, Version: w.object.Version + 1}
	return WriteEvent{Version: w.object.Version}
}

var errTwoHolders = errors.New("two holders at once")

// check returns an error if two nodes are valid at once, or if the fence of a new holder
// is not higher than all earlier ones.
func (w *world) check() error {
	var valid *node
	for _, n := range w.nodes {
		fence, ok := n.Valid(n.clock(w.now))
		if !ok {
			continue
		}
		if valid != nil {
			return errTwoHolders
		}
		valid = n
		if n.stateMachine != w.holder && fence <= w.maxFence {
			return fmt.Errorf("new holder has fence %d, want more than %d", fence, w.maxFence)
		}
		if n.stateMachine != w.holder {
			w.holders++
		}
		w.holder, w.maxFence = n.stateMachine, max(w.maxFence, fence)
	}
	return nil
}

func (w *world) step(n *node, e Event) error {
	for _, effect := range n.Step(n.clock(w.now), e) {
		switch effect := effect.(type) {
		case ReadEffect:
			n.call = &call{}
		case WriteEffect:
			n.call = &call{write: &effect}
		}
	}
	return w.check()
}

// execute executes c on the store and returns its answer.
func (w *world) execute(c *call) Event {
	switch {
	case c.write != nil:
		return w.apply(*c.write)
	case w.object.Version == 0:
		return ReadEvent{Err: platform.ErrNotFound}
	default:
		return ReadEvent{Object: w.object}
	}
}

// completeCall decides the result of n's call. With a reliable store or an outcome of at
// most 0, the call is executed. Otherwise a read fails; a write is refused (1), takes
// effect without an answer (2), or may take effect later (3).
func (w *world) completeCall(n *node, outcome int) {
	c := n.call
	c.completed = true
	switch {
	case outcome <= 0 || w.reliable:
		c.answer = w.execute(c)
	case c.write == nil:
		c.answer = ReadEvent{Err: platform.ErrUnavailable}
	case outcome == 1:
		c.answer = WriteEvent{Err: platform.ErrUnavailable}
	case outcome == 2:
		w.apply(*c.write)
		c.answer = WriteEvent{Err: platform.ErrIndeterminate}
	default:
		w.delayed = append(w.delayed, *c.write)
		c.answer = WriteEvent{Err: platform.ErrIndeterminate}
	}
}

// mode is the current behaviour of a node.
type mode int

const (
	modePrompt      mode = iota // acts and receives its answers immediately
	modeAnswersHeld             // its calls take effect, but their answers do not arrive
	modePaused                  // does nothing
	modes
)

// runNode lets n act according to its mode.
func (w *world) runNode(random *rand.Rand, n *node) error {
	for range 4 {
		var err error
		switch wake, ok := n.NextWake(); {
		case n.mode == modePaused:
			return nil
		case n.call != nil && !n.call.completed:
			w.completeCall(n, max(0, between(random, -12, 3)))
		case n.call != nil && n.mode == modeAnswersHeld:
			return nil
		case n.call != nil:
			answer := n.call.answer
			n.call = nil
			err = w.step(n, answer)
		case ok && wake <= n.clock(w.now):
			err = w.step(n, TickEvent{})
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// restart replaces n with a new incarnation; a write in flight may take effect later.
func (w *world) restart(n *node, m stateMachine) {
	if n.call != nil && !n.call.completed && n.call.write != nil {
		w.delayed = append(w.delayed, *n.call.write)
	}
	n.stateMachine, n.call, n.mode = m, nil, modePrompt
}

// explore runs a random schedule on the state machines that newMachine returns, and
// returns the number of holders.
func explore(random *rand.Rand, newMachine func(i int) stateMachine) (uint64, error) {
	w := &world{}
	for i := range 3 {
		w.nodes = append(w.nodes, &node{
			stateMachine: newMachine(-i),
			offset:       time.Duration(between(random, 0, 100)) * time.Second,
			rate:         int64(between(random, 950, 1050)),
		})
	}
	for step := range between(random, 100, 400) {
		w.now += time.Duration(between(random, 0, 1500)) * time.Millisecond
		chosen := w.nodes[between(random, 0, len(w.nodes)-1)]
		switch between(random, 0, 40) {
		case 0, 1, 2, 3, 4, 5:
			chosen.mode = mode(max(0, between(random, -2, int(modes)-1)))
		case 6, 7, 8:
			if len(w.delayed) > 0 {
				w.apply(w.delayed[0])
				w.delayed = w.delayed[1:]
			}
		case 9:
			w.restart(chosen, newMachine(step+1))
		case 10:
			if err := w.step(chosen, ReleaseEvent{}); err != nil {
				return 0, err
			}
		}
		for _, n := range w.nodes {
			if err := errors.Join(w.runNode(random, n), w.check()); err != nil {
				return 0, err
			}
		}
	}
	return w.holders, nil
}

// TestOneHolderAtATime checks that two holders are never valid at once, and that each
// holder has a higher fence than the one before, under clocks that differ, paused
// processes, lost answers, delayed writes and failed calls.
func TestOneHolderAtATime(t *testing.T) {
	changes := uint64(0)
	for seed := range uint64(schedules) {
		holders, err := explore(seeded(seed), func(i int) stateMachine {
			return NewCandidate(Config{}, fmt.Sprint(i), uint64(i+10))
		})
		assert.NilError(t, err, "seed %d", seed)
		changes += holders
	}
	assert.Assert(t, changes > 2000, "only %d holders in all schedules together", changes)
}

// termFromAnswer is a Candidate that measures the term from the answer of the renewing
// call, instead of from before the call.
type termFromAnswer struct{ *Candidate }

func (a termFromAnswer) Step(now time.Duration, e Event) []Effect {
	effects := a.Candidate.Step(now, e)
	for _, effect := range effects {
		if _, ok := effect.(GrantEffect); ok {
			a.expiry = now + a.cfg.Term - a.cfg.Margin
		}
	}
	return effects
}

// wallClockCandidate writes the expiry by its own clock into the object, in the field
// Term, and takes over the lease when its own clock has passed the expiry that it reads.
type wallClockCandidate struct {
	id      string
	calling bool
	nextAt  time.Duration
	sentAt  time.Duration
	until   time.Duration
}

func (c *wallClockCandidate) Valid(now time.Duration) (uint64, bool) {
	return uint64(now), now < c.until
}
func (c *wallClockCandidate) NextWake() (time.Duration, bool) { return c.nextAt, !c.calling }
func (c *wallClockCandidate) Step(now time.Duration, e Event) []Effect {
	cfg := Config{}.WithDefaults()
	switch e := e.(type) {
	case ReadEvent:
		var o object
		_ = cbor.Unmarshal(e.Object.Value, &o)
		if o.Holder == "" || o.Holder == c.id || now > o.Term {
			c.sentAt = now
			o := object{Holder: c.id, Term: now + cfg.Term}
			return []Effect{WriteEffect{Value: o.encode(), IfVersion: e.Object.Version}}
		}
	case WriteEvent:
		if e.Err == nil {
			c.until = c.sentAt + cfg.Term - cfg.Margin
		}
	case TickEvent:
		c.calling = true
		return []Effect{ReadEffect{}}
	}
	c.calling, c.nextAt = false, now+cfg.RenewInterval
	return nil
}

// TestWallClockLeaseHasTwoHolders checks that comparing clocks between processes gives
// two holders at once under the same schedules.
func TestWallClockLeaseHasTwoHolders(t *testing.T) {
	failures := 0
	for seed := range uint64(schedules) {
		_, err := explore(seeded(seed), func(i int) stateMachine { return &wallClockCandidate{id: fmt.Sprint(i)} })
		if errors.Is(err, errTwoHolders) {
			failures++
		}
	}
	assert.Assert(t, failures > schedules/4, "only %d of %d schedules", failures, schedules)
}

// TestSlowRenewalThenPause makes the renewal of a holder take effect long before its
// answer arrives, and then pauses the holder. It must no longer be valid when the next
// candidate takes over. A term that is measured from the answer gives two holders.
func TestSlowRenewalThenPause(t *testing.T) {
	schedule := func(holder stateMachine) error {
		w := &world{reliable: true}
		for _, m := range []stateMachine{holder, NewCandidate(Config{}, "b", 2)} {
			w.nodes = append(w.nodes, &node{stateMachine: m, rate: 1000})
		}
		a, b := w.nodes[0], w.nodes[1]
		random := seeded(1)
		for elapsed := range 300 { // tenths of a second
			w.now = time.Duration(elapsed) * time.Second / 10
			switch elapsed {
			case 34: // the first renewal has been sent and takes effect
				a.mode = modeAnswersHeld
			case 84: // its answer arrives
				answer := a.call.answer
				a.call, a.mode = nil, modePaused
				if err := w.step(a, answer); err != nil {
					return err
				}
			}
			b.mode = modePaused
			if elapsed >= 35 {
				b.mode = modePrompt
			}
			if err := errors.Join(w.runNode(random, a), w.runNode(random, b), w.check()); err != nil {
				return err
			}
		}
		if w.holders != 2 {
			return fmt.Errorf("got %d holders, want 2", w.holders)
		}
		return nil
	}
	assert.NilError(t, schedule(NewCandidate(Config{}, "a", 1)))
	assert.ErrorIs(t, schedule(termFromAnswer{NewCandidate(Config{}, "a", 1)}), errTwoHolders)
}
