package fleet

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// failingSource is a store whose calls fail while down is true. Otherwise its watches
// wait for their full time without a change.
type failingSource struct {
	mu    sync.Mutex
	down  bool
	calls int
	lists map[Topic]int
}

func (s *failingSource) call() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return errors.New("store is down")
	}
	return nil
}

func (s *failingSource) List(_ context.Context, topic Topic) (Batch, error) {
	if err := s.call(); err != nil {
		return Batch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists[topic]++
	return Batch{Revision: 1}, nil
}

func (s *failingSource) Watch(ctx context.Context, _ Topic, _ int64, wait time.Duration) (Batch, error) {
	if err := s.call(); err != nil {
		return Batch{}, err
	}
	sleep(ctx, wait)
	return Batch{Revision: 1}, nil
}

func (s *failingSource) Register(context.Context, Gateway) error { return s.call() }

// TestTopicsShareRetriesWhileTheStoreIsUnavailable starts a follower while the store is
// unavailable for ten seconds: the calls of all topics together must keep outageSpacing
// apart, and after recovery every topic must be read.
func TestTopicsShareRetriesWhileTheStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &failingSource{down: true, lists: map[Topic]int{}}
		ctx, cancel := context.WithCancel(t.Context())
		f := &Follower{Source: source, OnEvent: func(Event) {}}
		f.Run(ctx)
		const outage = 10 * time.Second
		time.Sleep(outage)
		source.mu.Lock()
		assert.Assert(t, source.calls <= int(topicCount)+int(outage/outageSpacing)+1, "%d calls", source.calls)
		source.down = false
		source.mu.Unlock()
		time.Sleep(outageSpacing + 200*time.Millisecond + registerPause)
		source.mu.Lock()
		for topic := range topicCount {
			assert.Equal(t, source.lists[topic], 1, topic.String())
		}
		source.mu.Unlock()
		cancel()
		synctest.Wait()
	})
}
