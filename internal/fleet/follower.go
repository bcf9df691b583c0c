package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// catchUpTimeout is how long the first watch after a closed one waits. The store
	// answers it at once, so it shows whether the store is available and returns the
	// changes that were missed.
	catchUpTimeout = time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call, without jitter.
	// With jitter the longest is below outageSpacing, so that some topic is always ready
	// to try when that has passed.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// relistPause is the pause before a topic is listed again, so that a store which refuses
	// each watch is not called in a tight loop.
	relistPause = 50 * time.Millisecond
)

// Event is the result of one call of a Follower to the store.
type Event struct {
	Topic Topic
	// Complete is true if the batch is the topic's complete content.
	Complete bool
	// Resumed is true if the batch answers the first watch after a closed one.
	Resumed bool
	// RelayedBy is the name of the gateway that has passed on the changes; empty if they were read
	// in the store.
	RelayedBy string
	// After is the position whose later changes the batch contains, unless it is complete.
	After Position
	Batch Batch
	// Err is set if the call failed; the batch is empty then.
	Err error
	// Took is the duration of a failed call.
	Took time.Duration
	// Regained is true if the store has answered a call of the topic after failed ones. The
	// batch is empty then.
	Regained bool
	// WatchClosed is true if the failed call was a waiting watch. The store may close one
	// at any time, and the follower ends one to call it again, so this says nothing about the
	// store's availability.
	WatchClosed bool
}

// Follower lists the topics of a Source and watches them for changes.
type Follower struct {
	Source Source
	// Self is this gateway's own entry in the store.
	Self Gateway
	// OnEvent is called with each event, from several goroutines.
	OnEvent func(Event)
	// DrainTimeout is the time within which a gateway must act on a change. SetDrainTimeout changes it once the
	// follower runs.
	DrainTimeout time.Duration
	// History is the time for which the store keeps the changes; zero if that is not known.
	History time.Duration
	// OnChanges is called with the changes that a watch of this gateway has read, for the other
	// gateways of the zone. If it is nil, changes are not passed on.
	OnChanges func(RelayedChanges)
	// OnWatchRole, if set, is called when this gateway begins or ceases to watch a topic itself.
	OnWatchRole func(topic Topic, watches bool)
	// LivePeers returns the number of other gateways that currently pass on their Positions. If it
	// is nil, there are none.
	LivePeers func() int

	drainTimeout atomic.Int64
	backoff      outageBackoff
	watches      openWatches
	eras         *eraTracker
	relays       *relayTracker
	// watchOpened triggers a ping soon after the call of a watch, and laterEra one at once.
	watchOpened, laterEra chan struct{}
}

// Run starts a goroutine for each topic; they end with ctx.
func (f *Follower) Run(ctx context.Context) {
	f.eras, f.relays = newEraTracker(ctx), newRelayTracker(f.Self.Name)
	f.watchOpened, f.laterEra = make(chan struct{}, 1), make(chan struct{}, 1)
	f.SetDrainTimeout(f.DrainTimeout)
	for t := Topic(0); t < TopicGateways; t++ {
		go f.follow(ctx, t)
	}
	go f.announce(ctx)
	go f.ping(ctx)
}

// SetDrainTimeout changes the time within which a gateway must act on a change.
func (f *Follower) SetDrainTimeout(d time.Duration) { f.drainTimeout.Store(int64(d)) }

// CurrentDrainTimeout returns the time within which a gateway must act on a change.
func (f *Follower) CurrentDrainTimeout() time.Duration { return time.Duration(f.drainTimeout.Load()) }

// Positions returns the position of the newest change of each watched topic that this gateway
// has read, for the other gateways; nil if there is no recent one.
func (f *Follower) Positions() []Position { return f.watches.positions(time.Now()) }

// ObservePeer handles the Positions of another gateway.
func (f *Follower) ObservePeer(positions []Position) {
	f.watches.observePeer(time.Now(), positions)
	f.observeEra(positions)
}

// observeEra calls the store if another gateway has read it in a later era.
func (f *Follower) observeEra(positions []Position) {
	era, _ := f.eras.current()
	for _, p := range positions {
		if p.Era > era {
			notify(f.laterEra)
			return
		}
	}
}

// notify makes a value available on a channel with a capacity of one.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // there is one already
	}
}

// announce registers this gateway and lists the other gateways, once in each era of the
// store. Of two gateways, the one that registers later finds the other in the store and contacts
// it.
func (f *Follower) announce(ctx context.Context) {
	for ctx.Err() == nil {
		registered := f.announceOnce(ctx)
		if era, scope := f.eras.current(); era <= registered {
			<-scope.Done()
		}
	}
}

// announceOnce returns the era in which this gateway is registered.
func (f *Follower) announceOnce(ctx context.Context) (era int64) {
	f.retry(ctx, TopicGateways, func() (err error) {
		era, err = f.Source.Register(ctx, f.Self)
		return err
	})
	f.retry(ctx, TopicGateways, func() error {
		batch, err := f.Source.List(ctx, TopicGateways)
		if err == nil {
			f.OnEvent(Event{Topic: TopicGateways, Complete: true, Batch: batch})
		}
		return err
	})
	return era
}

func (f *Follower) follow(ctx context.Context, topic Topic) {
	for ctx.Err() == nil {
		position := f.list(ctx, topic)
		if era, scope := f.eras.current(); era == position.Era {
			f.watch(scope, topic, position)
		}
		sleep(ctx, relistPause)
	}
}

// list reads the complete content of a topic and returns its position.
func (f *Follower) list(ctx context.Context, topic Topic) Position {
	var position Position
	f.retry(ctx, topic, func() error {
		batch, err := f.Source.List(ctx, topic)
		if err != nil {
			return err
		}
		f.eras.observe(f.Source.Era())
		if era, _ := f.eras.current(); batch.Position.Era < era {
			return ErrOlderEra
		}
		position = batch.Position
		f.relays.recordRead(topic, position)
		f.watches.recordRead(time.Now(), topic, batch.Changes)
		f.OnEvent(Event{Topic: topic, Complete: true, Batch: batch})
		return nil
	})
	return position
}

// watch follows the changes after a position until the store does not have the history, for
// instance since it was restored from a copy, or until ctx ends with the position's era.
func (f *Follower) watch(ctx context.Context, topic Topic, after Position) {
	defer func() { _ = f.relays.setWatched(topic, false) }()
	pause := time.Duration(0)
	for ctx.Err() == nil {
		mustWatch := f.relays.mustWatch(time.Now())
		f.setWatched(topic, mustWatch)
		if !mustWatch {
			position, err := f.followRelay(ctx, topic, after)
			if err != nil {
				return
			}
			after = position
			continue
		}
		began := time.Now()
		batch, resumed, err := f.watchOnce(ctx, topic, after)
		if errors.Is(err, ErrHistoryGone) || ctx.Err() != nil {
			return
		}
		f.apply(topic, after, batch, resumed)
		f.passOn(topic, batch)
		after.Revision = max(after.Revision, batch.Position.Revision)
		pause = nextWatchPause(pause, time.Since(began), f.CurrentDrainTimeout())
		sleep(ctx, pause)
	}
}

// setWatched records whether this gateway watches a topic itself.
func (f *Follower) setWatched(topic Topic, watched bool) {
	if f.relays.setWatched(topic, watched) && f.OnWatchRole != nil {
		f.OnWatchRole(topic, watched)
	}
}

// followRelay waits for changes after a position that another gateway of the zone passes on, and
// reads them in the store if they were missed. It returns the new position.
func (f *Follower) followRelay(ctx context.Context, topic Topic, after Position) (Position, error) {
	c, outcome := f.relays.await(ctx, topic, after)
	switch outcome {
	case relayedBatch:
		f.watches.recordRead(time.Now(), topic, c.Changes)
		f.OnEvent(Event{Topic: topic, RelayedBy: c.From, After: after, Batch: Batch{Position: c.To, Changes: c.Changes}})
		f.relays.recordRead(topic, c.To)
		return c.To, nil
	case relayMissed:
		batch, err := f.catchUp(ctx, topic, after)
		if err != nil {
			return after, err
		}
		f.apply(topic, after, batch, true)
		after.Revision = max(after.Revision, batch.Position.Revision)
		f.relays.recordRead(topic, after)
		return after, nil
	default:
		return after, ctx.Err()
	}
}

// apply reports the changes after a position.
func (f *Follower) apply(topic Topic, after Position, batch Batch, resumed bool) {
	f.watches.recordRead(time.Now(), topic, batch.Changes)
	f.OnEvent(Event{Topic: topic, Resumed: resumed, After: after, Batch: batch})
}

// passOn passes the changes that a watch has read on to the other gateways of the zone.
func (f *Follower) passOn(topic Topic, batch Batch) {
	if len(batch.Changes) == 0 {
		return
	}
	before := f.relays.recordRead(topic, batch.Position)
	if f.OnChanges != nil {
		f.OnChanges(RelayedChanges{From: f.Self.Name, Topic: topic, After: before, To: batch.Position, Changes: batch.Changes})
	}
}

// watchOnce returns the next changes after a position, and whether the watch was closed or
// called again in the meantime. The error is ErrHistoryGone or that of ctx.
func (f *Follower) watchOnce(ctx context.Context, topic Topic, after Position) (batch Batch, resumed bool, err error) {
	for {
		began := time.Now()
		batch, err = f.openWatch(ctx, topic, after)
		if err == nil || errors.Is(err, ErrHistoryGone) {
			f.recordSuccess()
			return batch, resumed, err
		}
		if ctx.Err() != nil {
			return Batch{}, false, ctx.Err()
		}
		f.OnEvent(Event{Topic: topic, Err: err, Took: time.Since(began), WatchClosed: true})
		if isRenewal(err) {
			resumed = true
			continue
		}
		f.backoff.wait(ctx, time.Now(), jittered(minRetryPause))
		batch, err = f.catchUp(ctx, topic, after)
		return batch, true, err
	}
}

// openWatch waits for changes after a position. The error is a renewal if the watch may never
// be answered and should be called again.
func (f *Follower) openWatch(ctx context.Context, topic Topic, after Position) (Batch, error) {
	watch, end := f.watches.begin(ctx, topic)
	defer end()
	notify(f.watchOpened)
	batch, err := f.watchSource(watch, topic, after, f.watchTimeout())
	if cause := context.Cause(watch); err != nil && isRenewal(cause) {
		return Batch{}, cause
	}
	return batch, err
}

// recordSuccess records that the store answered a call.
func (f *Follower) recordSuccess() {
	now := time.Now()
	f.backoff.recordSuccess(now)
	f.watches.recordSuccess(now)
}

// catchUp returns the changes after a position, if any, without waiting for one: after a
// closed watch, only an answer shows that the store is available again.
func (f *Follower) catchUp(ctx context.Context, topic Topic, after Position) (batch Batch, err error) {
	historyGone := false
	f.retry(ctx, topic, func() error {
		batch, err = f.watchSource(ctx, topic, after, catchUpTimeout)
		historyGone = errors.Is(err, ErrHistoryGone)
		if historyGone {
			return nil
		}
		return err
	})
	if historyGone {
		return Batch{}, ErrHistoryGone
	}
	return batch, ctx.Err()
}

// watchSource calls Watch. The history after a position ends with its era: an answer of
// another era does not continue it, also if the store has the position's revision again.
func (f *Follower) watchSource(ctx context.Context, topic Topic, after Position, wait time.Duration) (Batch, error) {
	batch, err := f.Source.Watch(ctx, topic, after, wait)
	f.eras.observe(f.Source.Era())
	if err != nil {
		return Batch{}, err
	}
	if batch.Position.Era != after.Era {
		return Batch{}, ErrHistoryGone
	}
	return batch, nil
}

// retry repeats call, which the store answers at once, until it succeeds, with growing
// jittered pauses.
func (f *Follower) retry(ctx context.Context, topic Topic, call func() error) {
	pause, failed := minRetryPause, false
	for ctx.Err() == nil {
		began := time.Now()
		err := call()
		f.eras.observe(f.Source.Era())
		if err == nil {
			f.recordSuccess()
			if failed {
				f.OnEvent(Event{Topic: topic, Regained: true})
			}
			return
		}
		failed = true
		f.watches.recordFailure()
		f.relays.recordFailure(began)
		f.OnEvent(Event{Topic: topic, Err: err, Took: time.Since(began)})
		f.backoff.wait(ctx, began, jittered(pause))
		pause = min(2*pause, maxRetryPause)
	}
}

// jittered returns a random duration between half of pause and one and a half times pause.
func jittered(pause time.Duration) time.Duration { return pause/2 + rand.N(pause) }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
