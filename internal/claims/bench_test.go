package claims

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"
)

// BenchmarkClaim measures one claim and its outcome, in batches of 16, in a partition
// that reads and writes a model store. It also reports the heap that each claim retains.
func BenchmarkClaim(b *testing.B) {
	w := newWorld(1)
	p := w.processes[0]
	p.Partition = NewPartition(Config{WriteRate: 1e6}, "s/0", Owner{1}, 1)
	before := heap()
	b.ReportAllocs()
	for n := uint64(1); b.Loop(); n++ {
		var key KeyHash
		binary.BigEndian.PutUint64(key[:], n)
		_ = w.claim(p, key, time.Hour)
		if n%16 != 0 {
			continue
		}
		for p.Unsettled() > 0 || p.call != nil {
			if p.call != nil {
				_ = w.completeCall(p, callDone)
				continue
			}
			for len(p.held) > 0 {
				_ = w.recordOutcome(p, true)
			}
			w.now += 100 * time.Millisecond
			_ = w.step(p, TickEvent{})
		}
	}
	b.StopTimer()
	w.store.objects, w.claimed = nil, nil
	b.ReportMetric(float64(heap()-before)/float64(len(p.log.index.claims)), "heap-B/claim")
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
