package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// watchWait is how long a watch waits; the store allows 30 s, and a waiting watch is one call.
	watchWait = 29 * time.Second
	// minRetry and maxRetry bound the pause after a failed call.
	minRetry = 200 * time.Millisecond
	maxRetry = 1200 * time.Millisecond
	// registerPause is kept between a gateway's registration and its look at the others:
	// the instances of a deployment start within a few hundred milliseconds.
	registerPause = time.Second
	// watchPause is kept between two watches of a topic, so that changes that come close
	// together cost one call. It is far below the bounds for acting on a change.
	watchPause = 500 * time.Millisecond
)

// Event is what a Follower learnt.
type Event struct {
	Topic Topic
	// Listed tells that the batch is the topic's whole content.
	Listed bool
	Batch  Batch
	// Err is set if the call failed; the batch is empty then.
	Err error
}

// Follower reads the topics from a Source and keeps watching them.
type Follower struct {
	Source Source
	// Self is what this gateway is announced as.
	Self Gateway
	// Post receives each event.
	Post func(Event)

	outage outage
}

// Run starts a goroutine for each topic; they end with ctx.
func (f *Follower) Run(ctx context.Context) {
	for t := Topic(0); t < TopicGateways; t++ {
		go f.follow(ctx, t)
	}
	go f.announce(ctx)
}

// announce registers this gateway and reads once who else is there. Those that come
// later find this one in the store and make themselves known.
func (f *Follower) announce(ctx context.Context) {
	f.retry(ctx, TopicGateways, func() error { return f.Source.Register(ctx, f.Self) })
	sleep(ctx, registerPause) // those that start together find each other
	f.retry(ctx, TopicGateways, func() error {
		batch, err := f.Source.List(ctx, TopicGateways)
		if err == nil {
			f.Post(Event{Topic: TopicGateways, Listed: true, Batch: batch})
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
			f.Post(Event{Topic: topic, Listed: true, Batch: batch})
			return nil
		})
		f.watch(ctx, topic, revision)
	}
}

// watch follows the changes after revision until the history is gone or a watch
// brings what can't be trusted.
func (f *Follower) watch(ctx context.Context, topic Topic, revision int64) {
	gone := false
	for ctx.Err() == nil && !gone {
		f.retry(ctx, topic, func() error {
			batch, err := f.Source.Watch(ctx, topic, revision, watchWait)
			if errors.Is(err, ErrHistoryGone) {
				gone = true
				return nil
			}
			if err != nil {
				return err
			}
			revision = max(revision, batch.Revision)
			f.Post(Event{Topic: topic, Batch: batch})
			return nil
		})
		sleep(ctx, watchPause)
	}
}

// retry repeats call until it succeeds, with growing jittered pauses.
func (f *Follower) retry(ctx context.Context, topic Topic, call func() error) {
	pause := minRetry
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			f.outage.worked(time.Now())
			return
		}
		f.Post(Event{Topic: topic, Err: err})
		f.outage.wait(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxRetry)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
