package experiment

import (
	"container/heap"
	"time"
)

// boundStep is the step of the capacity integral.
const boundStep = 100 * time.Millisecond

// capacityCurve is the number of mean-sized requests that a pool can have
// completed by each step, if it is kept as busy as its engines bear.
type capacityCurve []float64

// capacityCurve integrates a pool's ideal rate over the run. A returned target
// is cold and is warmed by the ideal load.
func (w *world) capacityCurve(p poolSpec) capacityCurve {
	steps := int((w.scenario.Phases.End+p.timeout)/boundStep) + 1
	curve := make(capacityCurve, steps+1)
	stay, leave := 0, 0
	for z, n := range p.targets {
		if z == w.scenario.DrainedZone && !w.scenario.KeepZone {
			leave += n
		} else {
			stay += n
		}
	}
	warmed := p.engine.warmAfter
	for i := range steps {
		now := time.Duration(i) * boundStep
		rate := float64(stay) * p.targetRate()
		switch {
		case now < w.scenario.Phases.Drained:
			rate += float64(leave) * p.targetRate()
		case now >= w.scenario.Phases.Returned:
			if now < w.scenario.Phases.Returned+boundStep {
				warmed = 0
			}
			one := p.idealRate(min(1, warmed/p.engine.warmAfter))
			warmed += one * boundStep.Seconds()
			rate += float64(leave) * one
		}
		curve[i+1] = curve[i] + rate*boundStep.Seconds()
	}
	return curve
}

// idealRate returns the highest rate of one target at a warmth: all the
// requests that run before the strain sets in, up to the pool's limit.
func (p poolSpec) idealRate(warmth float64) float64 {
	running := min(float64(p.engine.limit), strainFrom*p.engine.bears(warmth))
	service := (p.meanDecode + p.engine.prefillHit).Seconds() * p.engine.slowdown(running, warmth)
	return running / service
}

// at returns the completions possible by t.
func (c capacityCurve) at(t time.Duration) float64 {
	i := min(int(t/boundStep), len(c)-2)
	part := float64(t-time.Duration(i)*boundStep) / float64(boundStep)
	return c[i] + part*(c[i+1]-c[i])
}

// when returns the first step at which n completions are possible.
func (c capacityCurve) when(n float64) time.Duration {
	low, high := 0, len(c)-1
	for low < high {
		mid := (low + high) / 2
		if c[mid] >= n {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return time.Duration(low) * boundStep
}

// accepted is a request that a perfect scheduler plans to serve.
type accepted struct {
	req  *request
	work float64
}

// bySize is a heap with the largest request on top.
type bySize []accepted

func (h bySize) Len() int           { return len(h) }
func (h bySize) Less(i, j int) bool { return h[i].work > h[j].work }
func (h bySize) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *bySize) Push(x any)        { *h = append(*h, x.(accepted)) }

func (h *bySize) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	*h = (*h)[:last]
	return a
}

// plan is the fluid schedule of a pool: one server that has every prefix cached
// and needs no time to decide.
type plan struct {
	pool  poolSpec
	curve capacityCurve
	// position is the work, in mean requests, that is planned so far.
	position float64
}

func (w *world) newPlan(p poolSpec) *plan { return &plan{pool: p, curve: w.capacityCurve(p)} }

// idle moves the plan on to now and reports whether everything planned is done.
func (p *plan) idle(now time.Duration) bool {
	if floor := p.curve.at(now); p.position <= floor {
		p.position = floor
		return true
	}
	return false
}

// work returns the size of r in mean requests.
func (p *plan) work(r *request) float64 {
	mean := p.pool.meanDecode + p.pool.engine.prefillHit
	return float64(r.decode+p.pool.engine.prefillHit) / float64(mean)
}

// service returns the time that r spends in a busy engine.
func (p *plan) service(r *request) time.Duration {
	return scale(r.decode+p.pool.engine.prefillHit, p.pool.engine.slowdown(float64(p.pool.engine.limit), 1))
}

// losses are the requests that a scheduler fails.
type losses map[*request]bool

// sizedBound returns the losses of a scheduler that knows every request's size
// and the capacity of every instant ahead. It drops the largest requests first,
// which is optimal for the number of late ones (Moore, 1968).
func (w *world) sizedBound(p poolSpec) losses {
	pl := w.newPlan(p)
	lost := make(losses)
	var kept bySize
	for _, r := range w.requests {
		if r.pool != p.name {
			continue
		}
		if pl.idle(r.arrived) {
			kept = kept[:0]
		}
		heap.Push(&kept, accepted{r, pl.work(r)})
		pl.position += pl.work(r)
		if pl.curve.when(pl.position-pl.work(r))+pl.service(r) > r.deadline {
			largest := heap.Pop(&kept).(accepted)
			pl.position -= largest.work
			lost[largest.req] = true
		}
	}
	return lost
}

// blindBound returns the losses of a scheduler that knows the capacity of every
// instant ahead but learns a request's size only by serving it, as an engine
// does. It refuses what would wait longer than a limit; the best limit in
// hindsight is taken.
func (w *world) blindBound(p poolSpec) losses {
	var best losses
	for wait := time.Duration(0); wait < p.timeout; wait += p.timeout / 24 {
		lost := w.blindLosses(p, wait)
		if best == nil || len(lost) < len(best) {
			best = lost
		}
	}
	return best
}

func (w *world) blindLosses(p poolSpec, maxWait time.Duration) losses {
	pl := w.newPlan(p)
	lost := make(losses)
	for _, r := range w.requests {
		if r.pool != p.name {
			continue
		}
		pl.idle(r.arrived)
		start := pl.curve.when(pl.position)
		if start > r.arrived+maxWait+boundStep {
			lost[r] = true
			continue
		}
		pl.position += pl.work(r)
		if start+pl.service(r) > r.deadline {
			lost[r] = true
		}
	}
	return lost
}
