package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// watchTimeout is how long a watch call waits. The store allows up to 30 s, and a
	// waiting watch counts as one call.
	watchTimeout = 29 * time.Second
	// minRetryPause and maxRetryPause bound the pause after a failed call, without jitter.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 1200 * time.Millisecond
	// registerPause is the pause between a gateway's registration and its listing of the
	// other gateways: the instances of a deployment start within a few hundred
	// milliseconds of each other.
	registerPause = time.Second
	// watchPause is the pause between two watches of a topic, so that changes in quick
	// succession need one call. It is far below the bounds for acting on a change.
	watchPause = 500 * time.Millisecond
)

// Event is the result of one call of a Follower to the store.
type Event struct {
	Topic Topic
	// Complete is true if the batch is the topic's complete content.
	Complete bool
	Batch    Batch
	// Err is set if the call failed; the batch is empty then.
	Err error
}

// Follower lists the topics of a Source and watches them for changes.
type Follower struct {
	Source Source
	// Self is this gateway's own entry in the store.
	Self Gateway
	// OnEvent is called with each event, from several goroutines.
	OnEvent func(Event)

	backoff outageBackoff
}

// Run starts a goroutine for each topic; they end with ctx.
func (f *Follower) Run(ctx context.Context) {
	for t := Topic(0); t < TopicGateways; t++ {
		go f.follow(ctx, t)
	}
	go f.announce(ctx)
}

// announce registers this gateway and lists the other gateways once. Gateways that start
// later find this one in the store and contact it.
func (f *Follower) announce(ctx context.Context) {
	f.retry(ctx, TopicGateways, func() error { return f.Source.Register(ctx, f.Self) })
	sleep(ctx, registerPause) // gateways that start together find each other
	f.retry(ctx, TopicGateways, func() error {
		batch, err := f.Source.List(ctx, TopicGateways)
		if err == nil {
			f.OnEvent(Event{Topic: TopicGateways, Complete: true, Batch: batch})
		}
		return err
	})
}

func (f *Follower) follow(ctx context.Context, topic Topic) {
	for ctx.Err() == nil {
		var revision int64
		f.retry(ctx, topic, func() error {
			batch, err := f.Source.List(ctx, topic)
			if err != nil {
				return err
			}
			revision = batch.Revision
			f.OnEvent(Event{Topic: topic, Complete: true, Batch: batch})
			return nil
		})
		f.watch(ctx, topic, revision)
	}
}

// watch follows the changes after revision until the store no longer has the history.
func (f *Follower) watch(ctx context.Context, topic Topic, revision int64) {
	historyGone := false
	for ctx.Err() == nil && !historyGone {
		f.retry(ctx, topic, func() error {
			batch, err := f.Source.Watch(ctx, topic, revision, watchTimeout)
			if errors.Is(err, ErrHistoryGone) {
				historyGone = true
				return nil
			}
			if err != nil {
				return err
			}
			revision = max(revision, batch.Revision)
			f.OnEvent(Event{Topic: topic, Batch: batch})
			return nil
		})
		sleep(ctx, watchPause)
	}
}

// retry repeats call until it succeeds, with growing jittered pauses.
func (f *Follower) retry(ctx context.Context, topic Topic, call func() error) {
	pause := minRetryPause
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			f.backoff.recordSuccess(time.Now())
			return
		}
		f.OnEvent(Event{Topic: topic, Err: err})
		f.backoff.wait(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxRetryPause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
