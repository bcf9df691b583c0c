package fleet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// In an availability zone with many gateways, only some of them watch the store. They pass the
// changes on to the others, which call the store only if they have missed one: otherwise each
// change would cost the store a call from every gateway.
const (
	// RelayMinMembers is the number of live gateways in a zone from which changes are passed on.
	RelayMinMembers = 8
	// relayWatchers is the number of gateways of a zone that watch the store.
	relayWatchers = 2
	// relayTimeout is the time without a message after which a gateway of the zone does not count
	// as live.
	relayTimeout = 1200 * time.Millisecond
	// relayGrace is the time for which a gateway waits for changes that another has read before it
	// reads them in the store.
	relayGrace = 250 * time.Millisecond
	// relayCheckInterval is the interval at which a gateway checks whether it has missed changes.
	relayCheckInterval = 100 * time.Millisecond
	// maxPendingRelays bounds the relayed changes of a topic that wait to be applied.
	maxPendingRelays = 16
	// failureTellTime is how long a gateway tells the others of a failed call to the store.
	failureTellTime = 5 * time.Second
)

// errRelayedFailure reports that a call of another gateway to the store has failed.
var errRelayedFailure = errors.New("a call to the store has failed at the gateway that passes on its changes")

// RelayState tells the other gateways of a zone what one of them has read in the store.
type RelayState struct {
	// Watching is true if the gateway watches all topics and the store answers it.
	Watching bool
	// Last contains for each watched topic the position up to which the store was read when the last
	// change was read.
	Last []Position
	// Failed is true if a call to the store has failed recently, and FailedAgo the time since the
	// last of these calls began.
	Failed    bool
	FailedAgo time.Duration
}

// RelayedChanges are the changes of a topic between two positions.
type RelayedChanges struct {
	// From is the name of the gateway that has read the changes.
	From      string
	Topic     Topic
	After, To Position
	Changes   []Change
}

// relayMember is another gateway of the zone.
type relayMember struct {
	state   RelayState
	heardAt time.Time
}

// relayTracker decides whether this gateway watches the store, and keeps the changes that others
// pass on until they are applied.
type relayTracker struct {
	name string

	mu      sync.Mutex
	members map[string]relayMember
	pending [TopicGateways][]RelayedChanges
	arrived [TopicGateways]chan struct{}
	// last is the own RelayState.Last, and watched is true for the topics that this gateway watches.
	last    [TopicGateways]Position
	watched [TopicGateways]bool
	// failedAt is the time at which the last failed call of this gateway began, and
	// relayedFailureAt that of another gateway.
	failedAt, relayedFailureAt time.Time
}

func newRelayTracker(name string) *relayTracker {
	r := &relayTracker{name: name, members: make(map[string]relayMember)}
	for t := range r.arrived {
		r.arrived[t] = make(chan struct{}, 1)
	}
	return r
}

// relayOrder orders the gateways of a zone; the first ones watch.
func relayOrder(name string) uint64 { return xxhash.Sum64String(name) }

// mustWatch reports whether this gateway has to watch the store itself.
func (r *relayTracker) mustWatch(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	live, before, watching := 1, 0, false
	for name, m := range r.members {
		if now.Sub(m.heardAt) > relayTimeout {
			continue
		}
		live++
		if relayOrder(name) < relayOrder(r.name) {
			before++
		}
		watching = watching || r.usable(&m)
	}
	return live < RelayMinMembers || before < relayWatchers || !watching
}

// usable reports whether another gateway watches the store and has read it in the era that this one
// knows, or in a later one.
func (r *relayTracker) usable(m *relayMember) bool {
	if !m.state.Watching || len(m.state.Last) != len(r.last) {
		return false
	}
	for t, last := range m.state.Last {
		if last.Era < r.last[t].Era {
			return false
		}
	}
	return true
}

// observe records the state of another gateway of the zone. It returns whether a call of that
// gateway to the store has failed since the last failure that was observed.
func (r *relayTracker) observe(now time.Time, name string, s RelayState) (newFailure bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members[name] = relayMember{state: s, heardAt: now}
	if !s.Failed || !s.Watching {
		return false
	}
	at := now.Add(-s.FailedAgo)
	if at.Sub(r.relayedFailureAt) < relayGrace {
		return false
	}
	r.relayedFailureAt = at
	return true
}

// receive adds changes that another gateway passes on.
func (r *relayTracker) receive(c RelayedChanges) {
	if c.Topic >= TopicGateways {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := append(r.pending[c.Topic], c)
	r.pending[c.Topic] = p[max(0, len(p)-maxPendingRelays):]
	notify(r.arrived[c.Topic])
}

// take returns pending changes that continue a position, and removes those that are outdated.
func (r *relayTracker) take(topic Topic, after Position) (RelayedChanges, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[topic] = slices.DeleteFunc(r.pending[topic], func(c RelayedChanges) bool {
		return c.To.Compare(after) <= 0
	})
	for _, c := range r.pending[topic] {
		if c.After.Era == after.Era && c.To.Era == after.Era && c.After.Compare(after) <= 0 {
			return c, true
		}
	}
	return RelayedChanges{}, false
}

// behind reports whether a gateway that watches the store has read changes after a position.
func (r *relayTracker) behind(now time.Time, topic Topic, after Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		if now.Sub(m.heardAt) > relayTimeout || !r.usable(&m) {
			continue
		}
		if last := m.state.Last[topic]; last.Era == after.Era && last.Compare(after) > 0 {
			return true
		}
	}
	return false
}

// relayOutcome is the end of a wait for relayed changes.
type relayOutcome uint8

const (
	// relayedBatch means that another gateway has passed on changes.
	relayedBatch relayOutcome = iota
	// relayMissed means that changes were missed.
	relayMissed
	// relayEnded means that this gateway must watch, or that the context has ended.
	relayEnded
)

// await waits for changes after a position that another gateway passes on.
func (r *relayTracker) await(ctx context.Context, topic Topic, after Position) (RelayedChanges, relayOutcome) {
	var behindSince time.Time
	timer := time.NewTicker(relayCheckInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		if c, ok := r.take(topic, after); ok {
			return c, relayedBatch
		}
		now := time.Now()
		switch {
		case r.mustWatch(now):
			return RelayedChanges{}, relayEnded
		case !r.behind(now, topic, after):
			behindSince = time.Time{}
		case behindSince.IsZero():
			behindSince = now
		case now.Sub(behindSince) >= relayGrace:
			return RelayedChanges{}, relayMissed
		}
		select {
		case <-ctx.Done():
		case <-r.arrived[topic]:
		case <-timer.C:
		}
	}
	return RelayedChanges{}, relayEnded
}

// recordRead records that the store was read up to a position, which included a change. It returns
// the position of the last change before.
func (r *relayTracker) recordRead(topic Topic, to Position) (before Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.last[topic]
	if to.Compare(before) > 0 {
		r.last[topic] = to
	}
	return before
}

// setWatched records whether this gateway watches a topic itself, and reports whether that is new.
func (r *relayTracker) setWatched(topic Topic, watched bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.watched[topic] != watched
	r.watched[topic] = watched
	return changed
}

func (r *relayTracker) recordFailure(began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if began.After(r.failedAt) {
		r.failedAt = began
	}
}

// state returns the own state for the other gateways of the zone.
func (r *relayTracker) state(now time.Time, storeFails bool) RelayState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := RelayState{Watching: !storeFails, Last: slices.Clone(r.last[:])}
	for _, watched := range r.watched {
		s.Watching = s.Watching && watched
	}
	if ago := now.Sub(r.failedAt); ago < failureTellTime {
		s.Failed, s.FailedAgo = true, ago
	}
	return s
}

// liveMembers returns the number of live gateways of the zone, including this one.
func (r *relayTracker) liveMembers(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	live := 1
	for _, m := range r.members {
		if now.Sub(m.heardAt) <= relayTimeout {
			live++
		}
	}
	return live
}

// RelayState returns what this gateway has read, for the other gateways of its zone.
func (f *Follower) RelayState() RelayState { return f.relays.state(time.Now(), f.backoff.failing()) }

// ObserveRelay handles the RelayState of another gateway of the zone.
func (f *Follower) ObserveRelay(name string, s RelayState) {
	if f.relays.observe(time.Now(), name, s) {
		f.OnEvent(Event{Topic: TopicTargets, Err: errRelayedFailure, Took: s.FailedAgo})
	}
	f.observeEra(s.Last)
}

// ReceiveChanges handles changes that another gateway of the zone has read.
func (f *Follower) ReceiveChanges(c RelayedChanges) { f.relays.receive(c) }
