package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/standin/objectstore"
)

func TestKeepersUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m := objectstore.New()
		a := NewKeeper(m, "leases/g", Config{}, "a", 1)
		b := NewKeeper(m, "leases/g", Config{}, "b", 2)
		valid := func(k *Keeper) uint64 {
			synctest.Wait()
			fence, ok := k.Valid()
			if !ok {
				return 0
			}
			return fence
		}
		go a.Run(ctx)
		assert.Equal(t, valid(a), uint64(1))
		go b.Run(ctx)

		for range 20 { // the answers to two writes in a row are lost
			m.ChangeFaults(func(f *objectstore.Faults) { f.LoseNext = 2 })
			time.Sleep(5 * time.Second)
			assert.Equal(t, valid(a), uint64(1))
			assert.Equal(t, valid(b), uint64(0))
		}

		m.SetFaults(objectstore.Faults{Down: true})
		time.Sleep(8 * time.Second)
		assert.Equal(t, valid(a)+valid(b), uint64(0), "an outage ends the lease within its term")
		m.SetFaults(objectstore.Faults{})
		time.Sleep(25 * time.Second)
		assert.Equal(t, valid(a)+valid(b), uint64(2), "one of them holds the lease with the next fence")

		holder, other := a, b
		if valid(b) != 0 {
			holder, other = b, a
		}
		holder.Release(ctx)
		assert.Equal(t, valid(holder), uint64(0))
		time.Sleep(Config{}.WithDefaults().PollInterval)
		assert.Equal(t, valid(other), uint64(3), "a released lease can be taken over before its term ends")
		cancel()
	})
}
