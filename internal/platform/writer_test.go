package platform_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/standin/objectstore"
)

// increment appends one byte to the value under key with w and repeats on conflicts.
func increment(ctx context.Context, w *platform.Writer, key string) error {
	for {
		stamped, err := w.Read(ctx, key)
		if err != nil {
			return err
		}
		_, err = w.Put(ctx, stamped, append(stamped.Payload, 1))
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
}

// naiveIncrement appends one byte and repeats the write on any error, also if the write
// may have taken effect.
func naiveIncrement(ctx context.Context, s platform.Store, key string) {
	for {
		object, _ := s.Get(ctx, key)
		_, err := s.Put(ctx, key, append(object.Value, 1), object.Version)
		if err == nil {
			return
		}
	}
}

// TestWriterResolvesIndeterminateWrites loses responses, drops writes and delays their
// effect. Each increment must count exactly once; the naive version counts it twice.
func TestWriterResolvesIndeterminateWrites(t *testing.T) {
	faults := []objectstore.Faults{
		{LoseNext: 1},
		{DropNext: 1},
		{DelayNext: 1, DelayMS: 10},
		{DelayNext: 2, DelayMS: 120},
		{LoseNext: 2, DropNext: 1},
	}
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m := objectstore.New()
		a, b := platform.NewWriter(m, "a"), platform.NewWriter(m, "b")
		done := make(chan error)
		for i := range 40 {
			m.SetFaults(faults[i%len(faults)])
			go func() { done <- increment(ctx, a, "k") }()
			go func() { done <- increment(ctx, b, "k") }()
			assert.NilError(t, errors.Join(<-done, <-done))
			time.Sleep(time.Second)
		}
		stamped, err := a.Read(ctx, "k")
		assert.NilError(t, err)
		assert.Equal(t, len(stamped.Payload), 80)

		for range 40 {
			m.SetFaults(objectstore.Faults{LoseNext: 1})
			naiveIncrement(ctx, m, "naive")
		}
		object, err := m.Get(ctx, "naive")
		assert.NilError(t, err)
		assert.Equal(t, len(object.Value), 80, "the naive version counts each increment twice")
	})
}
