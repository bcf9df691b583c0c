package experiment

import (
	"math"
	"slices"
	"time"
)

// engineSpec describes the targets of a pool.
type engineSpec struct {
	// limit and coldLimit are the configured limits of concurrent requests of a warm and
	// a cold target.
	limit, coldLimit int
	// warmCapacity and coldCapacity are the highest numbers of concurrent requests at which
	// a warm and a cold engine do not crash.
	warmCapacity, coldCapacity float64
	// warmAfter is the number of completed requests after which an engine is warm.
	warmAfter float64
	// coldSlowdown is the factor on the service time of a cold engine.
	coldSlowdown float64
	// prefillMiss and prefillHit are the times to the first token at an idle engine that
	// has not cached the prompt prefix, and that has.
	prefillMiss, prefillHit time.Duration
	// cachedPrefixes is the number of prompt prefixes that the engine caches.
	cachedPrefixes int
	// restart is the time that an engine is down after a crash.
	restart time.Duration
}

// engineRun is one request inside an engine.
type engineRun struct {
	done  func(engineResult)
	ended bool
	// startedBeforeCold is true if the run started before the engine turned cold. Such a
	// run continues and does not count against the capacity.
	startedBeforeCold bool
	// startSlowdown is the engine's slowdown when the run started.
	startSlowdown float64
}

// engineResult is the result of a run.
type engineResult struct {
	ok      bool
	service time.Duration
}

// engine is a fake model engine. It crashes when it runs more requests than its capacity.
type engine struct {
	spec      engineSpec
	clock     *clock
	startID   uint64
	completed float64
	down      bool
	runs      []*engineRun
	prefixes  []uint64
	crashes   int
	// prefillTime is the sum of the idle prefill times of all started runs and prefills
	// the number of these runs.
	prefillTime time.Duration
	prefills    int
}

// capacity returns the highest number of concurrent requests at which the engine does
// not crash in its current state.
func (e *engine) capacity() float64 { return e.spec.capacity(e.warmth()) }

// warmth returns how far the engine has warmed up, from 0 (cold) to 1 (warm).
func (e *engine) warmth() float64 { return min(1, e.completed/e.spec.warmAfter) }

func (s engineSpec) capacity(warmth float64) float64 {
	return s.coldCapacity + (s.warmCapacity-s.coldCapacity)*warmth
}

const (
	// batchSlowdown is the slowdown caused by batching at full utilisation.
	batchSlowdown = 0.5
	// overloadThreshold is the utilisation above which an engine slows down sharply.
	overloadThreshold = 0.8
	// overloadSlowdown is the additional slowdown per unit of utilisation above
	// overloadThreshold.
	overloadSlowdown = 5.0
)

// slowdown returns the factor on all times of an engine while the given number of
// requests are running.
func (s engineSpec) slowdown(running, warmth float64) float64 {
	utilisation := running / s.capacity(warmth)
	batch := 1 + batchSlowdown*utilisation + overloadSlowdown*max(0, utilisation-overloadThreshold)
	return batch * (1 + (s.coldSlowdown-1)*(1-warmth))
}

// start starts a request that takes the given decode time at an idle engine. It returns
// the run and the time to its first token, or false if the engine is down. It crashes the
// engine if the request exceeds the capacity.
func (e *engine) start(decode time.Duration, prefix uint64, done func(engineResult)) (*engineRun, time.Duration, bool) {
	if e.down {
		return nil, 0, false
	}
	run := &engineRun{done: done}
	e.runs = append(e.runs, run)
	if float64(e.countedRuns()) > e.capacity() {
		e.crash()
		return run, 0, true
	}
	factor := e.spec.slowdown(float64(len(e.runs)), e.warmth())
	run.startSlowdown = factor
	first := scale(e.prefill(prefix), factor)
	service := first + scale(decode, factor)
	e.clock.after(service, func() { e.complete(run, service) })
	return run, first, true
}

func (e *engine) complete(run *engineRun, service time.Duration) {
	if run.ended {
		return
	}
	e.cancel(run)
	e.completed++
	run.done(engineResult{ok: true, service: service})
}

// cancel ends a run without a result.
func (e *engine) cancel(run *engineRun) {
	run.ended = true
	e.runs = slices.DeleteFunc(e.runs, func(r *engineRun) bool { return r == run })
}

// crash fails all running requests and restarts the engine cold.
func (e *engine) crash() {
	e.crashes++
	e.down = true
	runs := e.runs
	e.runs = nil
	e.clock.after(0, func() {
		for _, run := range runs {
			if !run.ended {
				run.ended = true
				run.done(engineResult{})
			}
		}
	})
	e.clock.after(e.spec.restart, e.startCold)
}

// countedRuns returns the number of runs that count against the engine's capacity.
func (e *engine) countedRuns() int {
	n := 0
	for _, run := range e.runs {
		if !run.startedBeforeCold {
			n++
		}
	}
	return n
}

// turnCold makes a warm engine cold without a restart. Running requests continue.
func (e *engine) turnCold() {
	e.completed = 0
	e.prefixes = nil
	for _, run := range e.runs {
		run.startedBeforeCold = true
	}
}

// slowdownSinceStart returns the current slowdown relative to the slowdown at the start
// of run.
func (e *engine) slowdownSinceStart(run *engineRun) float64 {
	return e.spec.slowdown(float64(len(e.runs)), e.warmth()) / run.startSlowdown
}

// startCold puts the engine into its state after a start: up, cold and with an empty
// cache.
func (e *engine) startCold() {
	e.down = false
	e.startID++
	e.completed = 0
	e.prefixes = nil
}

// prefill returns the time to the first token at an idle engine and caches the prefix.
// The cache evicts the least recently used prefix.
func (e *engine) prefill(prefix uint64) time.Duration {
	i := slices.Index(e.prefixes, prefix)
	hit := i >= 0
	if hit {
		e.prefixes = slices.Delete(e.prefixes, i, i+1)
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > e.spec.cachedPrefixes {
		e.prefixes = slices.Delete(e.prefixes, 0, 1)
	}
	d := e.spec.prefillMiss
	if hit {
		d = e.spec.prefillHit
	}
	e.prefills++
	e.prefillTime += d
	return d
}

// scale returns d multiplied by factor, rounded to nanoseconds.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(math.Round(float64(d) * factor))
}
