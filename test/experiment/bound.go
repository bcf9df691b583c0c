package experiment

import (
	"container/heap"
	"time"
)

// capacityStep is the time step of the capacity integral.
const capacityStep = 100 * time.Millisecond

// capacityCurve is the number of requests of mean size that a pool can have completed
// by each step if its engines always work at their ideal load.
type capacityCurve []float64

// newCapacityCurve integrates the ideal throughput of a pool over the run. A target that
// returns is cold and becomes warm under the ideal load.
func (sim *simulation) newCapacityCurve(p poolSpec) capacityCurve {
	steps := int((sim.scenario.Phases.End+p.timeout)/capacityStep) + 1
	curve := make(capacityCurve, steps+1)
	staying, leaving := 0, 0
	for z, n := range p.targets {
		if z == sim.scenario.DrainedZone && !sim.scenario.NoDrain {
			leaving += n
		} else {
			staying += n
		}
	}
	completed := p.engine.warmAfter
	for i := range steps {
		now := time.Duration(i) * capacityStep
		rate := float64(staying) * p.targetThroughput()
		switch {
		case now < sim.scenario.Phases.Drained:
			rate += float64(leaving) * p.targetThroughput()
		case now >= sim.scenario.Phases.Returned:
			if now < sim.scenario.Phases.Returned+capacityStep {
				completed = 0
			}
			perTarget := p.idealThroughput(min(1, completed/p.engine.warmAfter))
			completed += perTarget * capacityStep.Seconds()
			rate += float64(leaving) * perTarget
		}
		curve[i+1] = curve[i] + rate*capacityStep.Seconds()
	}
	return curve
}

// idealThroughput returns the highest number of requests per second that one target
// completes at a warmth from 0 to 1. As many requests run as the overload threshold and
// the pool's limit allow.
func (p poolSpec) idealThroughput(warmth float64) float64 {
	running := min(float64(p.engine.limit), overloadThreshold*p.engine.capacity(warmth))
	service := (p.meanDecode + p.engine.prefillHit).Seconds() * p.engine.slowdown(running, warmth)
	return running / service
}

// completedBy returns the number of completions that are possible by t.
func (c capacityCurve) completedBy(t time.Duration) float64 {
	i := min(int(t/capacityStep), len(c)-2)
	fraction := float64(t-time.Duration(i)*capacityStep) / float64(capacityStep)
	return c[i] + fraction*(c[i+1]-c[i])
}

// timeToComplete returns the time of the first step by which n completions are possible.
func (c capacityCurve) timeToComplete(n float64) time.Duration {
	low, high := 0, len(c)-1
	for low < high {
		mid := (low + high) / 2
		if c[mid] >= n {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return time.Duration(low) * capacityStep
}

// plannedRequest is a request that an ideal scheduler plans to serve.
type plannedRequest struct {
	req  *request
	work float64 // size in mean requests
}

// largestFirst is a heap of requests with the largest on top.
type largestFirst []plannedRequest

func (h largestFirst) Len() int           { return len(h) }
func (h largestFirst) Less(i, j int) bool { return h[i].work > h[j].work }
func (h largestFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *largestFirst) Push(x any)        { *h = append(*h, x.(plannedRequest)) }

func (h *largestFirst) Pop() any {
	last := len(*h) - 1
	top := (*h)[last]
	*h = (*h)[:last]
	return top
}

// fluidSchedule is the schedule of a pool that is modelled as one server with divisible
// capacity. The server has every prefix cached and decides without delay.
type fluidSchedule struct {
	pool  poolSpec
	curve capacityCurve
	// plannedWork is the work planned since the start of the run, in mean requests. Idle
	// capacity counts as planned.
	plannedWork float64
}

func (sim *simulation) newSchedule(p poolSpec) *fluidSchedule {
	return &fluidSchedule{pool: p, curve: sim.newCapacityCurve(p)}
}

// advance moves the schedule to now and reports whether all planned work is done.
func (s *fluidSchedule) advance(now time.Duration) bool {
	if floor := s.curve.completedBy(now); s.plannedWork <= floor {
		s.plannedWork = floor
		return true
	}
	return false
}

// work returns the size of r as a multiple of the mean request.
func (s *fluidSchedule) work(r *request) float64 {
	mean := s.pool.meanDecode + s.pool.engine.prefillHit
	return float64(r.decode+s.pool.engine.prefillHit) / float64(mean)
}

// serviceTime returns the time that r takes in a warm engine at the pool's limit.
func (s *fluidSchedule) serviceTime(r *request) time.Duration {
	return scale(r.decode+s.pool.engine.prefillHit, s.pool.engine.slowdown(float64(s.pool.engine.limit), 1))
}

// losses is the set of requests that a scheduler does not complete by their deadline.
type losses map[*request]bool

// knownSizeBound returns the losses of a scheduler that knows the size of each request on
// arrival and the capacity at every future time. It drops the largest requests first,
// which minimises the number of late requests (Moore, 1968).
func (sim *simulation) knownSizeBound(p poolSpec) losses {
	schedule := sim.newSchedule(p)
	lost := make(losses)
	var kept largestFirst
	for _, r := range sim.requests {
		if r.pool != p.name {
			continue
		}
		if schedule.advance(r.arrived) {
			kept = kept[:0]
		}
		heap.Push(&kept, plannedRequest{r, schedule.work(r)})
		schedule.plannedWork += schedule.work(r)
		if schedule.curve.timeToComplete(schedule.plannedWork-schedule.work(r))+schedule.serviceTime(r) > r.deadline {
			largest := heap.Pop(&kept).(plannedRequest)
			schedule.plannedWork -= largest.work
			lost[largest.req] = true
		}
	}
	return lost
}

// unknownSizeBound returns the losses of a scheduler that knows the capacity at every
// future time but, like an engine, learns the size of a request only by serving it. It
// refuses requests that would wait longer than a limit. Of several limits, the one with
// the fewest losses in hindsight is used.
func (sim *simulation) unknownSizeBound(p poolSpec) losses {
	var best losses
	for wait := time.Duration(0); wait < p.timeout; wait += p.timeout / 24 {
		lost := sim.unknownSizeLosses(p, wait)
		if best == nil || len(lost) < len(best) {
			best = lost
		}
	}
	return best
}

// unknownSizeLosses returns the losses of the scheduler of unknownSizeBound with the limit
// maxWait.
func (sim *simulation) unknownSizeLosses(p poolSpec, maxWait time.Duration) losses {
	schedule := sim.newSchedule(p)
	lost := make(losses)
	for _, r := range sim.requests {
		if r.pool != p.name {
			continue
		}
		schedule.advance(r.arrived)
		start := schedule.curve.timeToComplete(schedule.plannedWork)
		if start > r.arrived+maxWait+capacityStep {
			lost[r] = true
			continue
		}
		schedule.plannedWork += schedule.work(r)
		if start+schedule.serviceTime(r) > r.deadline {
			lost[r] = true
		}
	}
	return lost
}
