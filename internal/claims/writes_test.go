package claims

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/standin/objectstore"
)

// workload describes the requests of one measurement.
type workload struct {
	partitions, agents int
	// rate is the number of keyed requests per second.
	rate int
	// partitionAffinity sends all requests of a partition to the same agent.
	partitionAffinity bool
}

// measurement contains a workload's store calls per second and claim latencies.
type measurement struct {
	writes, reads, kilobytes float64
	p50, p99                 time.Duration
	refused                  int
}

const (
	measureTime = 10 * time.Second
	runTime     = 300 * time.Millisecond
)

// measure runs w with Poisson arrivals on a store that answers in 3 ms.
func measure(t *testing.T, w workload) measurement {
	var out measurement
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m := objectstore.New()
		m.SetFaults(objectstore.Faults{LatencyMS: 3})
		var agents []*Service
		for range w.agents {
			s := NewService(m, Config{Partitions: w.partitions}, NewOwner())
			go s.Run(ctx)
			agents = append(agents, s)
		}
		var mu sync.Mutex
		var latencies []time.Duration
		var requests sync.WaitGroup
		random := rand.New(rand.NewPCG(1, 1))
		begin := time.Now()
		for n := 0; time.Since(begin) < measureTime; n++ {
			key := Key{Organisation: "o", Service: "s", IdempotencyKey: fmt.Sprint(n)}
			agent := agents[random.IntN(w.agents)]
			if w.partitionAffinity {
				agent = agents[int(key.Partition(w.partitions))%w.agents]
			}
			requests.Go(func() {
				arrived := time.Now()
				r, err := agent.Claim(ctx, key, Digest{})
				mu.Lock()
				latencies = append(latencies, time.Since(arrived))
				if err != nil {
					out.refused++
				}
				mu.Unlock()
				if err == nil {
					time.Sleep(runTime)
					agent.Record(r.Token, Outcome{Ran: true, Answer: &Answer{Status: 200, Body: make([]byte, 300)}})
				}
			})
			time.Sleep(time.Duration(random.ExpFloat64() / float64(w.rate) * float64(time.Second)))
		}
		requests.Wait()
		for _, a := range agents {
			_ = a.Flush(ctx)
		}
		seconds := time.Since(begin).Seconds()
		c := m.Counters()
		out.writes, out.reads = float64(c.Writes())/seconds, float64(c.Get)/seconds
		out.kilobytes = float64(c.BytesWritten) / 1000 / seconds
		sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
		out.p50, out.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
		cancel()
		synctest.Wait()
	})
	return out
}

// wholeTable adds the workloads of the table in docs/design/claims.md that take long:
// go test -run Writes -v ./internal/claims -args -table
var wholeTable = flag.Bool("table", false, "also measure the workloads that take long")

// TestWritesPerSecond checks that the number of writes grows with the partitions, not
// with the requests, and stays within the write budget of each partition.
func TestWritesPerSecond(t *testing.T) {
	workloads := []workload{
		{4, 3, 1, true},
		{4, 3, 10, true},
		{4, 3, 100, true},
		{4, 3, 1000, true},
		{4, 3, 100, false},
	}
	if *wholeTable {
		workloads = append(
			workloads,
			workload{1, 1, 10, true}, workload{1, 1, 100, true}, workload{1, 1, 1000, true},
			workload{16, 8, 100, true}, workload{16, 8, 1000, true}, workload{16, 8, 4900, true},
			workload{4, 3, 10, false}, workload{4, 3, 1000, false},
		)
	}
	for _, w := range workloads {
		got := measure(t, w)
		t.Logf("partitions=%d agents=%d affinity=%t rate=%d/s writes=%.1f/s reads=%.1f/s written=%.0fkB/s p50=%v p99=%v refused=%d",
			w.partitions, w.agents, w.partitionAffinity, w.rate, got.writes, got.reads, got.kilobytes,
			got.p50.Round(time.Millisecond), got.p99.Round(time.Millisecond), got.refused)
		cfg := Config{}.WithDefaults()
		writers := w.partitions
		if !w.partitionAffinity {
			writers *= w.agents
		}
		heads := float64(writers) * (cfg.WriteRate + cfg.WriteBurst/measureTime.Seconds())
		const answerBytes = 500 // upper bound of the two records of a claim
		seals := (float64(w.rate)*answerBytes/float64(cfg.SealBytes) + 1) * float64(writers/w.partitions)
		assert.Assert(t, got.writes <= min(heads, 3*float64(w.rate)+1)+seals, "%+v: %+v", w, got)
		assert.Equal(t, got.refused, 0, "%+v", w)
	}
}

// TestFirstReadOfPartition checks that a process that loads a partition for the first
// time reads summaries instead of most segments, and then has the state of every claim.
func TestFirstReadOfPartition(t *testing.T) {
	const claims = 20000
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m := objectstore.New()
		m.SetFaults(objectstore.Faults{LatencyMS: 3})
		start := func() *Service {
			s := NewService(m, Config{Partitions: 1}, NewOwner())
			go s.Run(ctx)
			return s
		}
		key := func(n int) Key { return Key{Organisation: "o", Service: "s", IdempotencyKey: fmt.Sprint(n)} }
		var requests sync.WaitGroup
		first := start()
		for n := range claims {
			requests.Go(func() {
				r, err := first.Claim(ctx, key(n), Digest{})
				assert.Check(t, err)
				first.Record(r.Token, Outcome{Ran: true, Answer: &Answer{Status: 200, Body: make([]byte, 300)}})
			})
			time.Sleep(2 * time.Millisecond)
		}
		requests.Wait()
		assert.NilError(t, first.Flush(ctx))
		stats, err := first.Stats(ctx)
		assert.NilError(t, err)

		before, begin := m.Counters().Get, time.Now()
		second := start()
		r, err := second.Claim(ctx, key(0), Digest{})
		assert.NilError(t, err)
		assert.Equal(t, r.Status, AnswerNotKept)
		reads := m.Counters().Get - before
		segments := stats.Partitions[0].Segments
		t.Logf("claims=%d segments=%d reads=%d time=%v", claims, segments, reads, time.Since(begin))
		assert.Assert(t, int(reads) <= segments/32+32+1, "%d reads for %d segments", reads, segments)
		stats, err = second.Stats(ctx)
		assert.NilError(t, err)
		assert.Equal(t, stats.Partitions[0].Claims, claims)
		r, err = second.Claim(ctx, key(claims-1), Digest{})
		assert.NilError(t, err)
		assert.Equal(t, r.Status, Answered)
		cancel()
		synctest.Wait()
	})
}
