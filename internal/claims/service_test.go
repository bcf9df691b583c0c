package claims

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/standin/objectstore"
)

// claimer is the implementation under test: a Service or a naive version.
type claimer interface {
	// claim claims key; the caller may run its request if the result is Claimed.
	claim(ctx context.Context, key string) (Result, error)
	record(r Result, ran bool)
}

type serviceClaimer struct{ *Service }

func (c serviceClaimer) claim(ctx context.Context, key string) (Result, error) {
	return c.Claim(ctx, Key{Organisation: "o", Service: "s", IdempotencyKey: key}, DigestOf([]byte(key)))
}

func (c serviceClaimer) record(r Result, ran bool) { c.Record(r.Token, Outcome{Ran: ran}) }

// unconditionalClaimer reads the key and then writes it unconditionally.
type unconditionalClaimer struct{ platform.Store }

func (c unconditionalClaimer) claim(ctx context.Context, key string) (Result, error) {
	if _, err := c.Get(ctx, key); !errors.Is(err, platform.ErrNotFound) {
		return Result{Status: InProgress}, err
	}
	_, err := c.Put(ctx, key, nil, platform.AnyVersion)
	return Result{Status: Claimed}, err
}

func (unconditionalClaimer) record(Result, bool) {}

// blindRetryClaimer creates the key conditionally, but retries an indeterminate write
// unconditionally.
type blindRetryClaimer struct{ platform.Store }

func (c blindRetryClaimer) claim(ctx context.Context, key string) (Result, error) {
	_, err := c.Put(ctx, key, nil, 0)
	for errors.Is(err, platform.ErrIndeterminate) && ctx.Err() == nil {
		_, err = c.Put(ctx, key, nil, platform.AnyVersion)
	}
	if errors.Is(err, platform.ErrConflict) {
		return Result{Status: InProgress}, nil
	}
	return Result{Status: Claimed}, err
}

func (blindRetryClaimer) record(Result, bool) {}

const (
	trialClaimers = 6
	trialKeys     = 20
	trialTries    = 60
)

// op is one operation in the history of a trial.
type op struct {
	key    string
	record bool // true for Record, false for Claim
	ran    bool // the outcome of a Record
}

// trial is the history of one test run and the number of runs per key.
type trial struct {
	mu      sync.Mutex
	clock   int64
	history []porcupine.Operation
	runs    map[string]int
}

func (tr *trial) nextTimestamp() int64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.clock++
	return tr.clock
}

func (tr *trial) addOperation(client int, in op, out Status, call int64) {
	end := tr.nextTimestamp()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.history = append(tr.history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end})
}

// trialKey returns a random key or, in two of three cases, the key of the current
// second, which other claimers claim at the same time.
func trialKey(random *rand.Rand) string {
	n := time.Now().Unix()
	if random.IntN(3) == 0 {
		n = random.Int64N(trialKeys)
	}
	return fmt.Sprintf("key-%d", n%trialKeys)
}

// runClaimer makes one claimer try keys, with a pause after each try. A claimed request
// can take hours.
func (tr *trial) runClaimer(client int, c claimer, random *rand.Rand) {
	for range trialTries {
		key := trialKey(random)
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(3000))*time.Millisecond)
		call := tr.nextTimestamp()
		result, err := c.claim(ctx, key)
		cancel()
		if err == nil {
			tr.addOperation(client, op{key: key}, result.Status, call)
		}
		if err == nil && result.Status == Claimed {
			tr.runRequest(client, c, key, result, random)
		}
		pause(random)
	}
}

// pause sleeps for a random time, or until the next full second, when all claimers try
// the same key at once.
func pause(random *rand.Rand) {
	d := time.Duration(random.IntN(400)) * time.Millisecond
	if random.IntN(2) == 0 {
		now := time.Now()
		d = now.Truncate(time.Second).Add(time.Second).Sub(now)
	}
	time.Sleep(d)
}

func (tr *trial) runRequest(client int, c claimer, key string, r Result, random *rand.Rand) {
	if random.IntN(4) == 0 {
		time.Sleep(time.Duration(random.IntN(10)) * time.Hour)
	}
	ran := random.IntN(3) > 0
	if ran {
		tr.mu.Lock()
		tr.runs[key]++
		tr.mu.Unlock()
	}
	call := tr.nextTimestamp()
	c.record(r, ran)
	tr.addOperation(client, op{key: key, record: true, ran: ran}, 0, call)
}

// injectFaults changes the faults of the store until ctx ends.
func injectFaults(ctx context.Context, m *objectstore.Memory, random *rand.Rand) {
	for ctx.Err() == nil {
		f := objectstore.Faults{LatencyMS: 3}
		switch random.IntN(7) {
		case 0:
			f.Down = true
		case 1:
			f.LatencyMS = random.IntN(4000)
		case 2:
			f.LoseAnswers = 0.5
		case 3:
			f.DropNext = 2
		case 4:
			f.DelayNext, f.DelayMS = 3, random.IntN(5000)
		case 5:
			f.LoseNext, f.LatencyMS = 3, 100
		}
		m.SetFaults(f)
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	m.SetFaults(objectstore.Faults{})
}

// runTrial runs trialClaimers claimers, created by start, under faults and returns the
// history.
func runTrial(t *testing.T, seed uint64, start func(context.Context, platform.Store) claimer) *trial {
	tr := &trial{runs: make(map[string]int)}
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m := objectstore.NewSeeded(seed)
		var workers, faults sync.WaitGroup
		faultCtx, stopFaults := context.WithCancel(ctx)
		faults.Go(func() { injectFaults(faultCtx, m, rand.New(rand.NewPCG(seed, 99))) })
		for i := range trialClaimers {
			c := start(ctx, m)
			workers.Go(func() { tr.runClaimer(i, c, rand.New(rand.NewPCG(seed, uint64(i)))) })
		}
		workers.Wait()
		stopFaults()
		faults.Wait()
		cancel()
		synctest.Wait()
	})
	return tr
}

func startService(ctx context.Context, s platform.Store) claimer {
	service := NewService(s, Config{Partitions: 2, SealRecords: 4, SummarySegments: 2, CallTimeout: 700 * time.Millisecond}, NewOwner())
	go service.Run(ctx)
	return serviceClaimer{service}
}

// keyState is the state of a key in the sequential model.
type keyState int

const (
	keyFree keyState = iota
	keyHeld
	keyRan
)

// model is the sequential specification: a claim succeeds only if the key is free, and a
// request is reported to have run only if it ran. InProgress is always allowed, since it
// guarantees nothing.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			key := o.Input.(op).key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyFree },
	Step: func(state, input, output any) (bool, any) {
		in, out, s := input.(op), output.(Status), state.(keyState)
		switch {
		case in.record && in.ran:
			return s == keyHeld, keyRan
		case in.record:
			return s == keyHeld, keyFree
		case out == Claimed:
			return s == keyFree, keyHeld
		case out == InProgress:
			return true, s
		default:
			return s == keyRan, s
		}
	},
}

// TestServiceAtMostOnce checks that the history of concurrent claimers under faults is
// linearizable and that no key runs twice. The naive versions of
// TestNaiveClaimersRunTwice run keys twice under the same faults.
func TestServiceAtMostOnce(t *testing.T) {
	claimed := 0
	for seed := range uint64(8) {
		tr := runTrial(t, seed, startService)
		for key, n := range tr.runs {
			assert.Assert(t, n <= 1, "seed %d: %s ran %d times", seed, key, n)
		}
		assert.Assert(t, porcupine.CheckOperations(model, tr.history), "seed %d", seed)
		claimed += len(tr.runs)
	}
	assert.Assert(t, claimed > 4*trialKeys, "only %d keys ran", claimed)
}

func TestNaiveClaimersRunTwice(t *testing.T) {
	naive := map[string]func(context.Context, platform.Store) claimer{
		"get then put": func(_ context.Context, s platform.Store) claimer { return unconditionalClaimer{s} },
		"blind retry":  func(_ context.Context, s platform.Store) claimer { return blindRetryClaimer{s} },
	}
	for name, start := range naive {
		doubled := 0
		for seed := range uint64(8) {
			tr := runTrial(t, seed, start)
			for _, n := range tr.runs {
				if n > 1 {
					doubled++
				}
			}
		}
		t.Logf("%s: %d keys ran more than once", name, doubled)
		assert.Assert(t, doubled > 0, name)
	}
}
