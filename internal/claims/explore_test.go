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
	fate    fate
}

type choiceKind int

const (
	chooseDeliver choiceKind = iota // the store call ends with the fate
	chooseWake                      // time passes until the process has something to do
	chooseGiveUp                    // the caller gives its claim up
	chooseLate                      // the oldest late write takes effect
	chooseRelease                   // the process reports that its claimed request did not run
)

// costs reports whether c is a fault.
func (c choice) costs() int {
	if c.kind == chooseGiveUp || c.kind == chooseDeliver && c.fate != fateDone {
		return 1
	}
	return 0
}

// choices returns the steps that w can take with the faults that are left.
func (w *world) choices(faults int) []choice {
	var list []choice
	for i, p := range w.processes {
		wake, wakes := p.NextWake()
		switch {
		case p.call != nil && p.call.Method == MethodGet:
			list = append(list, choice{i, chooseDeliver, fateDone}, choice{i, chooseDeliver, fateRefused})
		case p.call != nil:
			for f := range fates {
				list = append(list, choice{i, chooseDeliver, f})
			}
		case wakes && wake < w.now+time.Minute:
			list = append(list, choice{process: i, kind: chooseWake})
		}
		if len(p.open) > 0 {
			list = append(list, choice{process: i, kind: chooseGiveUp})
		}
		if len(p.held) > 0 {
			list = append(list, choice{process: i, kind: chooseRelease})
		}
	}
	if len(w.late) > 0 {
		list = append(list, choice{kind: chooseLate})
	}
	allowed := list[:0]
	for _, c := range list {
		if c.costs() <= faults {
			allowed = append(allowed, c)
		}
	}
	return allowed
}

// take carries out c.
func (w *world) take(c choice) error {
	p := w.processes[c.process]
	switch c.kind {
	case chooseDeliver:
		return w.deliver(p, c.fate)
	case chooseWake:
		wake, _ := p.NextWake()
		w.now = max(w.now, wake)
		return w.step(p, TickEvent{})
	case chooseGiveUp:
		for id := range p.open {
			return w.step(p, CancelEvent{ID: id})
		}
		return errors.New("nothing to give up")
	case chooseLate:
		w.store.do(w.late[0])
		w.late = w.late[1:]
		return nil
	default:
		return w.settle(p, false)
	}
}

// explorer walks through all schedules of bounded length by replaying each from the start.
type explorer struct {
	depth     int
	schedules int
	holders   int
}

// walk explores all continuations of path with faults left.
func (x *explorer) walk(path []choice, faults int) error {
	w := newWorld(2)
	for _, p := range w.processes {
		if err := w.claim(p, KeyHash{1}, time.Hour); err != nil {
			return err
		}
	}
	for _, c := range path {
		if err := w.take(c); err != nil {
			return err
		}
	}
	next := w.choices(faults)
	if len(path) == x.depth || len(next) == 0 {
		return x.end(w)
	}
	for _, c := range next {
		if err := x.walk(append(path[:len(path):len(path)], c), faults-c.costs()); err != nil {
			return err
		}
	}
	return nil
}

// end finishes a schedule: late writes land and everything settles. A key that nobody
// holds must then be free, whatever was given up.
func (x *explorer) end(w *world) error {
	x.schedules++
	for _, call := range w.late {
		w.store.do(call)
	}
	w.late = nil
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

// checkFree checks that another process can claim the key exactly if nobody holds it.
func (w *world) checkFree(free bool) error {
	w.processes = append(w.processes, nil)
	w.start(2)
	p := w.processes[2]
	if err := w.claim(p, KeyHash{1}, time.Minute); err != nil {
		return err
	}
	if err := w.finish(); err != nil {
		return err
	}
	if claimed := len(p.held) == 1; claimed != free {
		return fmt.Errorf("free %t, claimed %t", free, claimed)
	}
	return nil
}

// All schedules of two processes that claim one key, up to a depth, with up to two
// faults: a call refused, an answer lost, a write dropped or late, a claim given up.
func TestExploreTwoClaimers(t *testing.T) {
	x := explorer{depth: 8}
	assert.NilError(t, x.walk(nil, 2))
	t.Logf("%d schedules, %d holders at their ends", x.schedules, x.holders)
	assert.Assert(t, x.schedules > 10000 && x.holders > x.schedules/2)
}
