package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The simulated group. At a load of 0.82 of its slots a pass takes as long as the objective.
const (
	simRanks      = 72
	simSlots      = 10
	simObjective  = 120 * time.Millisecond
	simStep       = 30 * time.Millisecond
	simPerRequest = 11 * time.Millisecond
	// simPrefill is the time that each new prompt of the rank with the most of them adds to a pass.
	simPrefill = 2 * time.Millisecond
	// simCapacity is the number of streams per second at which the mean pass meets the objective.
	simCapacity = 270.0
	// A pass is held for simHold every simHoldInterval.
	simHold         = 260 * time.Millisecond
	simHoldInterval = 4 * time.Second
	// Each gateway reports its work every simReportInterval; reports take 100 to 500 ms, so that
	// what a gateway knows of another one is 100 to 900 ms old.
	simReportInterval = 400 * time.Millisecond
)

// simStream is a stream of the simulated group.
type simStream struct {
	gateway, rank, remaining int
	last                     time.Duration
}

// simEvent is an arrival, or a report of a gateway that reaches the others.
type simEvent struct {
	at      time.Duration
	gateway int
	// work is nil for an arrival, and empty for the time at which a gateway makes its report.
	work map[uint32]int
	make bool
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// passSim simulates gateways before one lock-step group. Each runs its own model.
type passSim struct {
	rng      *rand.Rand
	gateways []*Balancer
	events   simEvents
	rate     float64
	// running and waiting contain the streams of each rank.
	running, waiting [simRanks][]*simStream
	// objective is zero for a constant share.
	objective time.Duration

	now, nextHold, end, warmUp time.Duration
	passes, late, done         int
}

// newPassSim returns a simulation with a constant share, or with the models if that is zero.
func newPassSim(gateways int, demand, share float64) *passSim {
	s := &passSim{
		rng: rand.New(rand.NewPCG(11, uint64(gateways))), rate: demand * simCapacity, objective: simObjective,
		nextHold: simHoldInterval, end: 13 * time.Second, warmUp: 3 * time.Second,
	}
	targets := engineTargets(simRanks, simSlots)
	for i := range targets {
		targets[i].StepTime, targets[i].StepTimePerRequest = simStep, simPerRequest
	}
	for i := range gateways {
		b := New(fmt.Sprint("g", i), "a", rand.New(rand.NewPCG(12, uint64(i))))
		b.SetTargets(0, targets)
		for _, t := range targets {
			b.SetGroup(t.ID, "x")
		}
		if share > 0 {
			s.objective, b.groups["x"].model.reduction = 0, idleShare-share
		}
		s.gateways = append(s.gateways, b)
		heap.Push(&s.events, simEvent{at: time.Duration(s.rng.Int64N(int64(simReportInterval))), gateway: i, make: true})
	}
	s.scheduleArrival(0)
	return s
}

func (s *passSim) scheduleArrival(now time.Duration) {
	at := now + time.Duration(s.rng.ExpFloat64()/s.rate*float64(time.Second))
	heap.Push(&s.events, simEvent{at: at, gateway: s.rng.IntN(len(s.gateways))})
}

func (s *passSim) run() *passSim {
	for s.now < s.end {
		s.runPass()
	}
	return s
}

// runPass runs one pass and handles what arrives meanwhile.
func (s *passSim) runPass() {
	running, prompts := 0, 0
	for r := range simRanks {
		n := min(simSlots-len(s.running[r]), len(s.waiting[r]))
		s.running[r] = append(s.running[r], s.waiting[r][:n]...)
		s.waiting[r] = s.waiting[r][n:]
		running, prompts = running+len(s.running[r]), max(prompts, n)
	}
	length := simStep + simPerRequest*time.Duration(running)/simRanks + simPrefill*time.Duration(prompts)
	length = time.Duration(float64(length) * (0.98 + 0.04*s.rng.Float64()))
	if s.now >= s.nextHold {
		s.nextHold += simHoldInterval
		length = simHold
	}
	for end := s.now + length; len(s.events) > 0 && s.events[0].at < end; {
		s.handle(heap.Pop(&s.events).(simEvent))
	}
	s.now += length
	if s.now >= s.warmUp && running > 0 {
		s.passes++
		if length > simObjective {
			s.late++
		}
	}
	for r := range simRanks {
		s.running[r] = slices.DeleteFunc(s.running[r], s.sendEvent)
	}
}

// sendEvent sends an event of a stream to its gateway and reports whether the stream ends.
func (s *passSim) sendEvent(t *simStream) bool {
	b, id, now := s.gateways[t.gateway], fmt.Sprint("t", t.rank), s.now+time.Duration(s.rng.IntN(3))*time.Millisecond
	if t.last == 0 {
		b.AddActiveStreams(now, id, 1)
	} else {
		b.RecordEvent(now, id, now-t.last, s.objective)
	}
	t.last = now
	if t.remaining--; t.remaining > 0 {
		return false
	}
	b.AddActiveStreams(now, id, -1)
	b.RecordResult(now, id, Answered)
	if s.now >= s.warmUp {
		s.done++
	}
	return true
}

func (s *passSim) handle(e simEvent) {
	switch {
	case e.make:
		delay := 100*time.Millisecond + time.Duration(s.rng.Int64N(int64(400*time.Millisecond)))
		heap.Push(&s.events, simEvent{at: e.at + delay, gateway: e.gateway, work: s.gateways[e.gateway].WorkByTarget()})
		heap.Push(&s.events, simEvent{at: e.at + simReportInterval, gateway: e.gateway, make: true})
	case e.work != nil:
		for i, b := range s.gateways {
			if i != e.gateway {
				b.HandlePeerReport(e.at, fmt.Sprint("g", e.gateway), e.work)
			}
		}
	default:
		s.scheduleArrival(e.at)
		c, refusal := s.gateways[e.gateway].Choose(e.at, Request{Service: "s", EventGap: simObjective})
		if refusal != NotRefused {
			return
		}
		rank := 0
		_, _ = fmt.Sscanf(c.Target.ID, "t%d", &rank)
		s.waiting[rank] = append(s.waiting[rank], &simStream{gateway: e.gateway, rank: rank, remaining: 10 + s.rng.IntN(17)})
	}
}

func (s *passSim) lateShare() float64 { return float64(s.late) / float64(max(1, s.passes)) }

// Guards against models of several gateways that give a group too much work, or too little, because
// each learns late of what the others admit. At most 10 % of the passes after 3 s may be longer
// than the objective; the throughput is compared with that of the best constant share for which
// this holds.
func TestModelKeepsAGroupBusyWithinItsObjective(t *testing.T) {
	const maxLate, minThroughput = 0.1, 0.9
	for _, gateways := range []int{1, 7, 40} {
		if gateways > maxSimulatedGateways {
			continue
		}
		for _, demand := range []float64{0.9, 1.2, 2.5} {
			t.Run(fmt.Sprint(gateways, " gateways, demand ", demand), func(t *testing.T) {
				best := 0
				for _, share := range []float64{0.7, 0.75, 0.8, 0.85, 0.9, 1.1} {
					if s := newPassSim(gateways, demand, share).run(); s.lateShare() <= maxLate {
						best = max(best, s.done)
					}
				}
				s := newPassSim(gateways, demand, 0).run()
				t.Logf("%d streams, with the best constant share %d; %.3f of the passes late", s.done, best, s.lateShare())
				assert.Assert(t, s.lateShare() <= maxLate, "%.3f of the passes are late", s.lateShare())
				assert.Assert(t, float64(s.done) >= minThroughput*float64(best), "%d streams, with the best constant share %d", s.done, best)
			})
		}
	}
}
