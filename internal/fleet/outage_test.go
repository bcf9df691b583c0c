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
	return Batch{Position: Position{Revision: 1}}, nil
}

func (s *failingSource) Watch(ctx context.Context, _ Topic, _ Position, wait time.Duration) (Batch, error) {
	if err := s.call(); err != nil {
		return Batch{}, err
	}
	sleep(ctx, wait)
	return Batch{Position: Position{Revision: 1}}, nil
}

func (s *failingSource) Register(context.Context, Gateway) (int64, error) { return 0, s.call() }

func (s *failingSource) Ping(context.Context, Gateway) error { return s.call() }

func (s *failingSource) Era() int64 { return 0 }

// TestTopicsShareRetriesWhileTheStoreIsUnavailable starts a follower while the store is
// unavailable for ten seconds: the calls of all topics together must keep outageSpacing
// apart, and after recovery every topic must be read.
func TestTopicsShareRetriesWhileTheStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &failingSource{down: true, lists: map[Topic]int{}}
		ctx, cancel := context.WithCancel(t.Context())
		f := &Follower{Source: source, OnEvent: func(Event) {}, DrainTimeout: drainTimeout}
		f.Run(ctx)
		const outage = 10 * time.Second
		time.Sleep(outage)
		source.mu.Lock()
		assert.Assert(t, source.calls <= int(TopicCount)+int(outage/outageSpacing)+1, "%d calls", source.calls)
		source.down = false
		source.mu.Unlock()
		time.Sleep(outageSpacing + 200*time.Millisecond)
		source.mu.Lock()
		for topic := range TopicCount {
			assert.Equal(t, source.lists[topic], 1, topic.String())
		}
		source.mu.Unlock()
		cancel()
		synctest.Wait()
	})
}

// cutSource is a store that a gateway can't reach while cut is true: each call fails after
// hang. Watches of a reachable store wait for their full time.
type cutSource struct {
	mu   sync.Mutex
	cut  bool
	hang time.Duration
	// closeWatches is closed when the gateway is cut off.
	closeWatches chan struct{}
	// answered contains the time of the first call of each topic that reached the store
	// since the cut ended.
	answered map[Topic]time.Time
}

func newCutSource(hang time.Duration) *cutSource {
	return &cutSource{hang: hang, closeWatches: make(chan struct{}), answered: map[Topic]time.Time{}}
}

func (s *cutSource) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
	s.answered = map[Topic]time.Time{}
	if cut {
		close(s.closeWatches)
		s.closeWatches = make(chan struct{})
	}
}

// reach returns a channel that is closed with the next cut, or an error if the store is
// out of reach.
func (s *cutSource) reach(ctx context.Context, topic Topic) (<-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut {
		s.mu.Unlock()
		sleep(ctx, s.hang)
		s.mu.Lock()
		return nil, errors.New("store is out of reach")
	}
	if _, ok := s.answered[topic]; !ok {
		s.answered[topic] = time.Now()
	}
	return s.closeWatches, nil
}

func (s *cutSource) List(ctx context.Context, topic Topic) (Batch, error) {
	_, err := s.reach(ctx, topic)
	return Batch{Position: Position{Revision: 1}}, err
}

func (s *cutSource) Watch(ctx context.Context, topic Topic, _ Position, wait time.Duration) (Batch, error) {
	closed, err := s.reach(ctx, topic)
	if err != nil {
		return Batch{}, err
	}
	select {
	case <-ctx.Done():
	case <-closed:
		return Batch{}, errors.New("watch closed")
	case <-time.After(wait):
	}
	return Batch{Position: Position{Revision: 1}}, nil
}

func (s *cutSource) Register(context.Context, Gateway) (int64, error) { return 0, nil }

func (s *cutSource) Ping(ctx context.Context, _ Gateway) error {
	_, err := s.reach(ctx, TopicGateways)
	return err
}

func (s *cutSource) Era() int64 { return 0 }

// Guards against a gateway that learns of a leaving target or an evacuation seconds after
// its path to the store is back, because one of its topics still waits before it tries
// again. leaveBound is the time within which a target that leaves gets no more requests.
func TestAllTopicsAreFollowedAgainSoonAfterAnOutage(t *testing.T) {
	const leaveBound = 2 * time.Second
	for _, hang := range []time.Duration{0, 600 * time.Millisecond, 1500 * time.Millisecond} {
		for run := range 50 {
			synctest.Test(t, func(t *testing.T) {
				source := newCutSource(hang)
				ctx, cancel := context.WithCancel(t.Context())
				f := &Follower{Source: source, OnEvent: func(Event) {}, DrainTimeout: drainTimeout}
				f.Run(ctx)
				time.Sleep(5 * time.Second)
				source.setCut(true)
				time.Sleep(8*time.Second + time.Duration(run)*30*time.Millisecond)
				source.setCut(false)
				healed := time.Now()
				time.Sleep(2 * leaveBound)
				source.mu.Lock()
				for _, topic := range []Topic{TopicConfig, TopicTargets, TopicEvacuations} {
					delay := source.answered[topic].Sub(healed)
					assert.Check(t, delay >= 0 && delay <= leaveBound, "%s after %v (hang %v, run %d)", topic, delay, hang, run)
				}
				source.mu.Unlock()
				cancel()
				synctest.Wait()
			})
		}
	}
}
