package experiment

import (
	"math"
	"slices"
	"time"
)

// engineSpec describes the targets of a pool.
type engineSpec struct {
	// limit and coldLimit are the pool's settings.
	limit, coldLimit int
	// warmBears and coldBears are the most requests that a warm and a cold engine survive.
	warmBears, coldBears float64
	// warmAfter is the number of completions that warm an engine.
	warmAfter float64
	// coldSlowdown multiplies the service time of a cold engine.
	coldSlowdown float64
	// prefillMiss and prefillHit are the times to the first token at an idle engine.
	prefillMiss, prefillHit time.Duration
	// cachedPrefixes is the number of prompt prefixes that the engine remembers.
	cachedPrefixes int
	// restart is how long an engine that fell over stays down.
	restart time.Duration
}

// engineRun is one request inside an engine.
type engineRun struct {
	done  func(engineResult)
	ended bool
	// resident marks a run from before the engine turned cold; it keeps its place.
	resident bool
	// factor is the slowdown at the start.
	factor float64
}

// engineResult is the end of a run.
type engineResult struct {
	ok      bool
	service time.Duration
}

// engine is a fake model engine. It falls over when it runs more than it bears.
type engine struct {
	spec      engineSpec
	clock     *clock
	startID   uint64
	completed float64
	down      bool
	runs      []*engineRun
	prefixes  []uint64
	falls     int
	// prefilled and starts give the mean prefill at an idle engine.
	prefilled time.Duration
	starts    int
}

// bears returns the most requests that the engine survives now.
func (e *engine) bears() float64 { return e.spec.bears(e.warmth()) }

func (e *engine) warmth() float64 { return min(1, e.completed/e.spec.warmAfter) }

func (s engineSpec) bears(warmth float64) float64 {
	return s.coldBears + (s.warmBears-s.coldBears)*warmth
}

const (
	// batchCost is the slowdown by batching at full use.
	batchCost = 0.5
	// strainFrom is the use from which an engine slows down sharply.
	strainFrom = 0.8
	// strainCost is the slope of that slowdown.
	strainCost = 5.0
)

// slowdown returns the factor on all times at running requests.
func (s engineSpec) slowdown(running, warmth float64) float64 {
	use := running / s.bears(warmth)
	batch := 1 + batchCost*use + strainCost*max(0, use-strainFrom)
	return batch * (1 + (s.coldSlowdown-1)*(1-warmth))
}

// start runs a request of decode time at an idle engine. It returns the time to
// the first token and false if the engine is down.
func (e *engine) start(decode time.Duration, prefix uint64, done func(engineResult)) (*engineRun, time.Duration, bool) {
	if e.down {
		return nil, 0, false
	}
	run := &engineRun{done: done}
	e.runs = append(e.runs, run)
	if float64(e.fresh()) > e.bears() {
		e.fall()
		return run, 0, true
	}
	factor := e.spec.slowdown(float64(len(e.runs)), e.warmth())
	run.factor = factor
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

// fall fails everything in flight and restarts cold.
func (e *engine) fall() {
	e.falls++
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
	e.clock.after(e.spec.restart, e.cold)
}

// fresh returns the number of runs that count against what the engine bears.
func (e *engine) fresh() int {
	n := 0
	for _, run := range e.runs {
		if !run.resident {
			n++
		}
	}
	return n
}

// turnCold makes a warm engine cold without a restart. What runs already goes on.
func (e *engine) turnCold() {
	e.completed = 0
	e.prefixes = nil
	for _, run := range e.runs {
		run.resident = true
	}
}

// strain returns the present slowdown against that at the start of run.
func (e *engine) strain(run *engineRun) float64 {
	return e.spec.slowdown(float64(len(e.runs)), e.warmth()) / run.factor
}

// cold puts the engine into the state after a start.
func (e *engine) cold() {
	e.down = false
	e.startID++
	e.completed = 0
	e.prefixes = nil
}

// prefill returns the time to the first token at an idle engine and remembers the prefix.
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
	e.starts++
	e.prefilled += d
	return d
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(math.Round(float64(d) * factor))
}
