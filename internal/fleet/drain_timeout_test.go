package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// changingSource is a store in which every watch finds a change at once.
type changingSource struct {
	failingSource
	watches atomic.Int64
}

func (s *changingSource) Watch(_ context.Context, _ Topic, after Position, _ time.Duration) (Batch, error) {
	after.Revision++
	s.watches.Add(1)
	return Batch{Position: after}, nil
}

// Guards against pauses between watches that are too long for a drain timeout that was lowered while the
// follower runs.
func TestChangedDrainTimeoutBoundsTheNextPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &changingSource{failingSource: failingSource{lists: map[Topic]int{}}}
		ctx, cancel := context.WithCancel(t.Context())
		f := &Follower{Source: source, OnEvent: func(Event) {}, DrainTimeout: time.Minute}
		f.Run(ctx)
		watchesIn := func(d time.Duration) int64 {
			before := source.watches.Load()
			time.Sleep(d)
			return source.watches.Load() - before
		}
		time.Sleep(5 * time.Minute) // the pauses have grown to their longest
		rare := watchesIn(5 * time.Minute)
		f.SetDrainTimeout(drainTimeout)
		time.Sleep(time.Minute) // the last long pauses end
		frequent := watchesIn(5 * time.Minute)
		// The longest pause is 58 s before and 0.5 s after the change.
		assert.Assert(t, frequent > 50*rare, "%d and %d watches in 5 minutes", rare, frequent)
		cancel()
		synctest.Wait()
	})
}
