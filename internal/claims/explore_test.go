package claims

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// choice is one step of an exhaustive exploration.
type choice struct {
	process int
	kind    choiceKind
	outcome callOutcome
}

type choiceKind int

const (
	chooseCompleteCall choiceKind = iota // the store call ends with the chosen outcome
	chooseTick                           // time passes until the process needs a TickEvent
	chooseCancel                         // the caller cancels its claim
	chooseApplyDelayed                   // the oldest delayed write takes effect
	chooseRelease                        // the process reports that its claimed request did not run
)

// cost returns the number of faults that c uses: 1 if c is a fault, else 0.
func (c choice) cost() int {
	if c.kind == chooseCancel || c.kind == chooseCompleteCall && c.outcome != callDone {
		return 1
	}
	return 0
}

// choices returns the steps that w can take with the remaining faults.
func (w *world) choices(faults int) []choice {
	var list []choice
	for i, p := range w.processes {
		wake, wakes := p.NextWake()
		switch {
		case p.call != nil && p.call.Method == MethodGet:
			list = append(list, choice{i, chooseCompleteCall, callDone}, choice{i, chooseCompleteCall, callRefused})
		case p.call != nil:
			for o := range callOutcomes {
				list = append(list, choice{i, chooseCompleteCall, o})
			}
		case wakes && wake < w.now+time.Minute:
			list = append(list, choice{process: i, kind: chooseTick})
		}
		if len(p.open) > 0 {
			list = append(list, choice{process: i, kind: chooseCancel})
		}
		if len(p.held) > 0 {
			list = append(list, choice{process: i, kind: chooseRelease})
		}
	}
	if len(w.delayed) > 0 {
		list = append(list, choice{kind: chooseApplyDelayed})
	}
	allowed := list[:0]
	for _, c := range list {
		if c.cost() <= faults {
			allowed = append(allowed, c)
		}
	}
	return allowed
}

// perform executes c.
func (w *world) perform(c choice) error {
	p := w.processes[c.process]
	switch c.kind {
	case chooseCompleteCall:
		return w.completeCall(p, c.outcome)
	case chooseTick:
		wake, _ := p.NextWake()
		w.now = max(w.now, wake)
		return w.step(p, TickEvent{})
	case chooseCancel:
		for id := range p.open {
			return w.step(p, CancelEvent{ID: id})
		}
		return errors.New("no open claim to cancel")
	case chooseApplyDelayed:
		w.store.do(w.delayed[0])
		w.delayed = w.delayed[1:]
		return nil
	default:
		return w.recordOutcome(p, false)
	}
}

// explorer enumerates all schedules up to a depth, replaying each one from the start.
type explorer struct {
	depth     int
	schedules int
	holders   int
}

// explore runs all continuations of path with the remaining faults.
func (x *explorer) explore(path []choice, faults int) error {
	w := newWorld(2)
	for _, p := range w.processes {
		if err := w.claim(p, KeyHash{1}, time.Hour); err != nil {
			return err
		}
	}
	for _, c := range path {
		if err := w.perform(c); err != nil {
			return err
		}
	}
	next := w.choices(faults)
	if len(path) == x.depth || len(next) == 0 {
		return x.finish(w)
	}
	for _, c := range next {
		if err := x.explore(append(path[:len(path):len(path)], c), faults-c.cost()); err != nil {
			return err
		}
	}
	return nil
}

// finish ends a schedule: delayed writes take effect and all claims and outcomes become
// settled. If no process holds the key, it must then be free, whatever was cancelled.
func (x *explorer) finish(w *world) error {
	x.schedules++
	for _, call := range w.delayed {
		w.store.do(call)
	}
	w.delayed = nil
	if err := w.finish(); err != nil {
		return err
	}
	held := 0
	for _, p := range w.processes {
		held += len(p.held)
	}
	x.holders += held
	return w.checkFree(held == 0)
}

// checkFree checks that another process can claim the key if and only if free is true.
func (w *world) checkFree(free bool) error {
	w.processes = append(w.processes, nil)
	w.startProcess(2)
	p := w.processes[2]
	if err := w.claim(p, KeyHash{1}, time.Minute); err != nil {
		return err
	}
	if err := w.finish(); err != nil {
		return err
	}
	if claimed := len(p.held) == 1; claimed != free {
		return fmt.Errorf("key is free: %t, new process claimed it: %t", free, claimed)
	}
	return nil
}

// TestExploreTwoClaimers runs all schedules, up to a depth, of two processes that claim
// one key, with up to two faults: a refused call, a lost answer, a dropped or delayed
// write, a cancelled claim.
func TestExploreTwoClaimers(t *testing.T) {
	x := explorer{depth: 8}
	assert.NilError(t, x.explore(nil, 2))
	t.Logf("%d schedules, %d holders at their ends", x.schedules, x.holders)
	assert.Assert(t, x.schedules > 10000 && x.holders > x.schedules/2)
}
