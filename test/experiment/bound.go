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

// bound returns the requests that a perfect scheduler of a pool fails. It treats
// the pool as one fluid server, knows the capacity of every instant ahead, has
// every prefix cached and needs no time to decide. A blind one learns a
// request's size only by serving it, and refuses the request that would be late;
// one that knows sizes refuses the largest ones instead, which is optimal for the
// number of late requests (Moore and Hodgson, 1968).
func (w *world) bound(p poolSpec, knowsSizes bool) map[*request]bool {
	curve := w.capacityCurve(p)
	mean := (p.meanDecode + p.engine.prefillHit).Seconds()
	lost := make(map[*request]bool)
	var plan bySize
	position := 0.0
	for _, req := range w.requests {
		if req.pool != p.name {
			continue
		}
		if floor := curve.at(req.arrived); position <= floor {
			position, plan = floor, plan[:0]
		}
		work := (req.decode + p.engine.prefillHit).Seconds() / mean
		service := scale(req.decode+p.engine.prefillHit, p.engine.slowdown(float64(p.engine.limit), 1))
		late := curve.when(position)+service > req.deadline
		if !late {
			position += work
			heap.Push(&plan, accepted{req, work})
			continue
		}
		if !knowsSizes || len(plan) == 0 || plan[0].work <= work {
			lost[req] = true
			continue
		}
		lost[plan[0].req] = true
		position += work - plan[0].work
		plan[0] = accepted{req, work}
		heap.Fix(&plan, 0)
	}
	return lost
}
