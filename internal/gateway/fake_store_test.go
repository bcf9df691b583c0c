package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
)

// fakeStore is a Source whose content is set by tests.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	content  map[fleet.Topic][]fleet.Change
	changes  map[fleet.Topic][]fleet.Change
	// err is the error of all calls, and pingErr that of pings.
	err, pingErr error
	// closedWatches counts the calls of closeWatches.
	closedWatches int
}

var (
	errStoreDown   = errors.New("store is down")
	errWatchClosed = errors.New("watch closed")
)

func (s *fakeStore) List(_ context.Context, topic fleet.Topic) (fleet.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fleet.Batch{Changes: s.content[topic], Position: fleet.Position{Revision: s.revision}}, s.err
}

// Watch returns once there is a change, the wait has passed or the watch is closed.
func (s *fakeStore) Watch(ctx context.Context, topic fleet.Topic, _ fleet.Position, wait time.Duration) (fleet.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	closed := s.closedWatches
	for end := time.Now().Add(wait); ; {
		switch {
		case s.err != nil:
			return fleet.Batch{}, s.err
		case s.closedWatches != closed:
			return fleet.Batch{}, errWatchClosed
		case ctx.Err() != nil:
			return fleet.Batch{}, ctx.Err()
		case len(s.changes[topic]) > 0 || !time.Now().Before(end):
			b := fleet.Batch{Changes: s.changes[topic], Position: fleet.Position{Revision: s.revision}}
			s.changes[topic] = nil
			return b, nil
		}
		s.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		s.mu.Lock()
	}
}

func (s *fakeStore) Register(context.Context, fleet.Gateway) (int64, error) { return 0, nil }

func (s *fakeStore) Ping(context.Context, fleet.Gateway) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	return s.pingErr
}

func (s *fakeStore) Era() int64 { return 0 }

// setErr sets the error of all further calls; nil ends the outage.
func (s *fakeStore) setErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// setPingErr sets the error of all further pings.
func (s *fakeStore) setPingErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pingErr = err
}

// closeWatches closes the watches that wait; the store stays available.
func (s *fakeStore) closeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closedWatches++
}

// change adds a change to the result of the next watch of the topic.
func (s *fakeStore) change(topic fleet.Topic, c fleet.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes[topic] = append(s.changes[topic], c)
}
