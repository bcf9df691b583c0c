package main

import (
	"encoding/json"
	"errors"
	"reflect"
	"sync"
	"time"
)

func init() { cases["late"] = playLate }

const (
	lateTime  = 90 * time.Second // in which the disruptions are tried again
	lateEvery = 11 * time.Second
	lateDark  = 3500 * time.Millisecond // for_s of node_kill with power
	// Orders that get no answer are carried out minLate to maxLate later.
	minLate, maxLate = 2 * time.Second, 12 * time.Second
)

// lateOrders are orders that the ranks leave unanswered and carry out late.
type lateOrders struct {
	mu sync.Mutex
	// open is true while the next prepare order to each rank is left unanswered.
	open bool
	// pending contains these orders by rank.
	pending map[int]*pendingOrder
	// taken is called when all ranks have one.
	taken func()
}

type pendingOrder struct {
	orderBody

	at time.Time
}

// leaves reports whether a rank leaves an order unanswered.
func (l *lateOrders) leaves(r *rank, body []byte) bool {
	var o orderBody
	if l == nil || json.Unmarshal(body, &o) != nil || o.Operation != "prepare" {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open || l.pending[r.index] != nil {
		return false
	}
	r.g.w.logf("rank %d: order prepare, version %d, map %v: no answer, carried out late", r.index, o.Version, o.Mapping)
	l.pending[r.index] = &pendingOrder{orderBody: o, at: time.Now()}
	if len(l.pending) == len(r.g.all) {
		l.open = false
		go l.taken()
	}
	time.AfterFunc(maxLate, func() {
		r.g.mu.Lock()
		defer r.g.mu.Unlock()
		l.carryOut(r, o.Version)
	})
	return true
}

// before is called before an order is carried out; the group's lock is held. A late order may be
// carried out just then. At one rank it is, if the new order has the late one's version and another
// map with the same experts for that rank.
func (l *lateOrders) before(r *rank, o *orderBody) {
	if l == nil || o.Operation != "prepare" {
		return
	}
	l.mu.Lock()
	p := l.pending[r.index]
	carry := p != nil && p.Version == o.Version && time.Since(p.at) >= minLate && len(l.pending) == len(r.g.all) &&
		!reflect.DeepEqual(p.Mapping, o.Mapping) && reflect.DeepEqual(r.rows(p.Mapping), r.rows(o.Mapping))
	if p != nil && p.Version == o.Version {
		r.g.w.logf("rank %d: version %d comes again, %d ms later, with map %v; the late one is carried out first: %t",
			r.index, o.Version, time.Since(p.at).Milliseconds(), o.Mapping, carry)
	}
	l.mu.Unlock()
	if carry {
		l.carryOut(r, p.Version)
	}
}

// carryOut carries out a late order.
func (l *lateOrders) carryOut(r *rank, version int64) {
	l.mu.Lock()
	p := l.pending[r.index]
	if p == nil || p.Version != version {
		l.mu.Unlock()
		return
	}
	delete(l.pending, r.index)
	l.mu.Unlock()
	r.carryOut(&p.orderBody)
}

// playLate plays the case of a version that is used twice: ranks carry out orders late, and the
// machine of the leader is without power meanwhile.
func playLate(w *world) (bool, error) {
	w.store.put("config", "main", groupConfig(talaanShape))
	g, err := newGroup(w, talaanShape)
	if err != nil {
		return false, err
	}
	_, processes, err := startOrphan(w, g)
	if err != nil {
		return false, err
	}
	t := newTraffic(w, processes[:2], orphanRate, groupRequest)
	time.Sleep(4 * time.Second)
	for end := time.Now().Add(lateTime); time.Now().Before(end) && g.mixedPasses() == 0; {
		begin := time.Now()
		if w.trouble() {
			if err := disruptLate(w, g, processes[2]); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(begin.Add(lateEvery)))
	}
	t.end()
	mixed := g.mixedPasses()
	w.logf("passes that began while two ranks had different maps: %d", mixed)
	return mixed > 0, nil
}

func (g *group) mixedPasses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixed
}

// disruptLate lets the next prepare order to each rank be carried out late, and takes the power from
// the machine that has given them.
func disruptLate(w *world, g *group, leader *process) error {
	taken := make(chan struct{})
	g.mu.Lock()
	g.late = &lateOrders{open: true, pending: map[int]*pendingOrder{}, taken: sync.OnceFunc(func() { close(taken) })}
	g.mu.Unlock()
	select {
	case <-taken:
	case <-time.After(lateEvery):
		w.logf("the leader has given no orders")
		return nil
	}
	w.logf("the machine of the leader loses power")
	leader.kill()
	time.Sleep(lateDark)
	if err := leader.run(); err != nil {
		return errors.Join(errors.New("the leader can't start"), err)
	}
	return nil
}
