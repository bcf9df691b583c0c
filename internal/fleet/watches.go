package fleet

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// renewSpacing is the least time between two renewals of a process's watches, so that a
	// store that fails now and then is not called for all topics each time.
	renewSpacing = 800 * time.Millisecond
	// answerTime is the time within which the store answers a watch if there is a change.
	answerTime = 300 * time.Millisecond
	// lagRenewSpacing is the least time between two renewals of a watch that other gateways
	// are ahead of.
	lagRenewSpacing = 2 * time.Second
	// readTellTime is how long a gateway tells the others of a change that it has read.
	readTellTime = 3 * time.Second
)

// The causes of ending a watch that may never be answered, to call it again.
var (
	errWatchUnconfirmed = errors.New("a call to the store failed while the watch was open")
	errWatchLags        = errors.New("another gateway has read a later change")
)

// isRenewal reports whether err is a cause of calling a watch again.
func isRenewal(err error) bool {
	return errors.Is(err, errWatchUnconfirmed) || errors.Is(err, errWatchLags)
}

// openWatches contains the watches that wait for an answer of the store. The store can lose the
// call or the answer of a watch, for instance while it is silent, and keep its connection open;
// such a watch can't be told from one without changes. A watch is therefore ended and called
// again
//   - once the store answers after any call to it has failed,
//   - if another gateway has read a change that the watch should have been answered with.
type openWatches struct {
	mu     sync.Mutex
	topics [TopicGateways]topicWatch
	// suspect is true if a call has failed since the last renewal.
	suspect     bool
	lastRenewal time.Time
}

// topicWatch is the state of the watch of a topic.
type topicWatch struct {
	// cancel ends the open watch, which began at time since; nil if none is open.
	cancel context.CancelCauseFunc
	since  time.Time
	// read is the position of the newest change that was read, at time readAt.
	read   Position
	readAt time.Time
	// told is the position of the newest change that another gateway has read. A renewal for it
	// is due answerTime after toldAt.
	told   Position
	toldAt time.Time
}

// begin returns the context of a topic's watch. It is cancelled with the cause if the watch is
// to be called again. end must be called when the watch has ended.
func (o *openWatches) begin(ctx context.Context, topic Topic) (watch context.Context, end func()) {
	watch, cancel := context.WithCancelCause(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	w := &o.topics[topic]
	w.cancel, w.since = cancel, time.Now()
	return watch, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		w.cancel = nil
		cancel(nil)
	}
}

// renew ends the watch, if one is open.
func (w *topicWatch) renew(cause error) {
	if w.cancel != nil {
		w.cancel(cause)
	}
}

// recordFailure records that a call to the store failed. Closed watches are not recorded, since
// the store may close one at any time.
func (o *openWatches) recordFailure() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.suspect = true
}

// recordSuccess records that the store answered a call. It renews the open watches if a call
// has failed before.
func (o *openWatches) recordSuccess(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.suspect || now.Sub(o.lastRenewal) < renewSpacing {
		return
	}
	o.suspect, o.lastRenewal = false, now
	for t := range o.topics {
		o.topics[t].renew(errWatchUnconfirmed)
	}
}

// recordRead records the changes of a watched topic that were read. Removals are left out, since
// a removed object has the position of its last change.
func (o *openWatches) recordRead(now time.Time, topic Topic, changes []Change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := &o.topics[topic]
	for i := range changes {
		if c := &changes[i]; !c.Removed && c.Written.Compare(w.read) > 0 {
			w.read, w.readAt = c.Written, now
		}
	}
}

// positions returns the position of the newest change of each topic that was read, or nil if
// none was read within readTellTime.
func (o *openWatches) positions(now time.Time) []Position {
	o.mu.Lock()
	defer o.mu.Unlock()
	var positions []Position
	recent := false
	for t := range o.topics {
		positions = append(positions, o.topics[t].read)
		recent = recent || now.Sub(o.topics[t].readAt) < readTellTime
	}
	if !recent {
		return nil
	}
	return positions
}

// observePeer compares the positions that another gateway has read with those of this one. It
// renews each watch that has been open for answerTime since a later change was first told.
// Positions of other eras are ignored.
func (o *openWatches) observePeer(now time.Time, positions []Position) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for t := range min(len(positions), len(o.topics)) {
		w, p := &o.topics[t], positions[t]
		switch {
		case p.Era != w.read.Era || p.Revision <= w.read.Revision:
		case p.Compare(w.told) > 0:
			w.told, w.toldAt = p, now
		case now.Sub(w.toldAt) >= answerTime && now.Sub(w.since) >= answerTime:
			w.renew(errWatchLags)
			w.toldAt = now.Add(lagRenewSpacing)
		}
	}
}
