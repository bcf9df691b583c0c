package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleetRun simulates gateways that get requests of one kind.
type fleetRun struct {
	rng      *rand.Rand
	gateways []*Tracker
	// loss is the share of messages between gateways that are lost.
	loss float64
	// parts are the parts of the requests, and arrivals the mean time between two of them.
	parts    []string
	arrivals time.Duration
	// crash is true if targets crash as they begin an answer, and unbegun if they do so before that.
	crash, unbegun bool
	// running contains the requests at targets by the time at which their answers begin.
	running map[time.Duration][]fleetRequest
	// ends are the times at which targets have ended.
	ends []time.Duration
	// arrived and admitted count the requests.
	arrived, admitted int
}

type fleetRequest struct {
	gateway, attempt int
}

const (
	fleetStep = 10 * time.Millisecond
	// fleetInterval is the interval of the messages of each gateway in a fleet of up to
	// fullRateGateways; it grows with the gateways beyond them.
	fleetInterval    = 100 * time.Millisecond
	fullRateGateways = 40
	// fleetArrivals is the mean time between requests with the part.
	fleetArrivals = 250 * time.Millisecond
	// fleetPrefill is the longest time from the arrival of a request to its first event.
	fleetPrefill = 200 * time.Millisecond
	fleetTime    = 6 * time.Second
)

// newFleetRun returns gateways that remember an answer to each of the known parts.
func newFleetRun(seed uint64, gateways int, loss float64, known ...string) *fleetRun {
	f := &fleetRun{rng: rand.New(rand.NewPCG(seed, 0)), loss: loss, arrivals: fleetArrivals, running: map[time.Duration][]fleetRequest{}}
	for range gateways {
		g := New(f.rng)
		g.SetGateways(gateways)
		g.RecordAnswer(0, known)
		f.gateways = append(f.gateways, g)
	}
	return f
}

// run simulates the time from start to end.
func (f *fleetRun) run(start, end time.Duration) {
	interval := fleetInterval * time.Duration(max(1, len(f.gateways)/fullRateGateways))
	for now := start; now < end; now += fleetStep {
		for _, r := range f.running[now] {
			f.beginAnswer(now, r)
		}
		delete(f.running, now)
		for n := f.rng.Float64() * 2 * float64(fleetStep) / float64(f.arrivals); f.rng.Float64() < n; n-- {
			f.arrive(now, fleetRequest{gateway: f.rng.IntN(len(f.gateways))})
		}
		for i, g := range f.gateways {
			if g.TakeChanged() || now%interval == time.Duration(i)*fleetStep%interval {
				f.send(now, i)
			}
		}
	}
}

func (f *fleetRun) arrive(now time.Duration, r fleetRequest) {
	f.arrived++
	if v, _ := f.gateways[r.gateway].Admit(now, f.parts); v == Allowed || v == Trial {
		f.admitted++
		f.begin(now, r)
	}
}

func (f *fleetRun) begin(now time.Duration, r fleetRequest) {
	at := now + fleetStep*time.Duration(1+f.rng.IntN(int(fleetPrefill/fleetStep)))
	f.running[at] = append(f.running[at], r)
}

// beginAnswer is the moment at which a target answers a request or crashes on it.
func (f *fleetRun) beginAnswer(now time.Duration, r fleetRequest) {
	g := f.gateways[r.gateway]
	if refused(g, now, f.parts...) {
		return // cancelled before its answer began
	}
	if !f.crash {
		g.RecordAnswer(now, f.parts)
		return
	}
	f.ends = append(f.ends, now)
	g.RecordCrash(now, uint32(len(f.ends)), f.parts, !f.unbegun)
	if r.attempt++; r.attempt < 2 && !refused(g, now, f.parts...) {
		f.begin(now, r)
	}
}

// send sends the evidence of a gateway to all others.
func (f *fleetRun) send(now time.Duration, from int) {
	evidence := f.gateways[from].Evidence(now)
	if len(evidence) == 0 {
		return
	}
	for i, g := range f.gateways {
		if i != from && f.rng.Float64() >= f.loss {
			g.Merge(now, evidence)
		}
	}
}

// Guards against a fleet of gateways that each have to find out by themselves: five targets end
// in all, also if messages between the gateways are lost.
func TestFleetEndsFewTargets(t *testing.T) {
	const maxCrashed = 5
	for gateways, seeds := range map[int]uint64{9: 40, 30: 10, 100: 3, 350: 1} {
		for _, loss := range []float64{0, 0.1, 0.3} {
			t.Run(fmt.Sprintf("%d-gateways-loss-%.0f", gateways, 100*loss), func(t *testing.T) {
				most, sum := 0, 0
				for seed := range seeds {
					f := newFleetRun(seed, gateways, loss, "route", "doc")
					f.parts, f.crash = []string{"route", "doc", "x"}, true
					f.run(0, fleetTime)
					most, sum = max(most, len(f.ends)), sum+len(f.ends)
				}
				t.Logf("%d gateways, %.0f%% lost: %.1f targets end on average, %d at most", gateways, 100*loss, float64(sum)/float64(seeds), most)
				assert.Assert(t, most <= maxCrashed, "%d targets end", most)
			})
		}
	}
}

// Guards against one plain request that several gateways get at the same time: three targets end on it,
// and three more at most, also if messages between the gateways are lost.
func TestFleetEndsFewTargetsOnAPlainRequest(t *testing.T) {
	const maxCrashed = 3 + 3
	for gateways, seeds := range map[int]uint64{7: 40, 30: 10, 100: 3, 350: 1} {
		for _, loss := range []float64{0, 0.1, 0.3} {
			t.Run(fmt.Sprintf("%d-gateways-loss-%.0f", gateways, 100*loss), func(t *testing.T) {
				most := 0
				for seed := range seeds {
					f := newFleetRun(seed, gateways, loss)
					f.parts, f.crash, f.unbegun = []string{"request:x"}, true, true
					f.run(0, fleetTime)
					most = max(most, len(f.ends))
				}
				t.Logf("%d gateways, %.0f%% lost: %d targets end at most", gateways, 100*loss, most)
				assert.Assert(t, most <= maxCrashed, "%d targets end", most)
			})
		}
	}
}

// Guards against a part that most requests have, and that is refused for minutes because many
// targets with such requests ended at once: half of the requests or more are served again once
// stabilityWindow has passed.
func TestManyTargetsThatEndTogetherDoNotStopAPopularPart(t *testing.T) {
	const (
		targets         = 30
		stabilityWindow = 3 * time.Second
		crashAt         = time.Second
	)
	for gateways, seeds := range map[int]uint64{9: 4, 30: 1} {
		for seed := range seeds {
			f := newFleetRun(seed, gateways, 0.1, "route")
			f.parts, f.arrivals = []string{"route"}, 5*time.Millisecond
			f.run(0, crashAt)
			for target := range uint32(targets) {
				for range 10 {
					g := f.gateways[f.rng.IntN(gateways)]
					g.RecordCrash(crashAt, target, []string{"route", fmt.Sprint("doc", target)}, target%2 == 0)
				}
			}
			f.run(crashAt, crashAt+stabilityWindow)
			f.arrived, f.admitted = 0, 0
			f.run(crashAt+stabilityWindow, crashAt+2*stabilityWindow)
			assert.Check(t, 2*f.admitted >= f.arrived, "%d gateways: %d of %d requests admitted", gateways, f.admitted, f.arrived)
		}
	}
}

// Guards against a part that targets crash on only since a time after which it was answered:
// once five targets have ended and stabilityWindow has passed, at most three more requests
// reach targets.
func TestPartThatBeginsToCrashTargetsEndsFewTargets(t *testing.T) {
	const (
		stabilityWindow = 3 * time.Second
		maxLater        = 3
		runTime         = 100 * time.Second
	)
	for gateways, seeds := range map[int]uint64{9: 3, 30: 1} {
		for seed := range seeds {
			f := newFleetRun(seed, gateways, 0.1, "route", "x")
			f.parts, f.crash = []string{"route", "x"}, true
			f.run(0, runTime)
			later := 0
			for _, at := range f.ends {
				if len(f.ends) > 5 && at > f.ends[4]+stabilityWindow {
					later++
				}
			}
			t.Logf("%d gateways: targets end at %v", gateways, f.ends)
			assert.Check(t, later <= maxLater, "%d gateways: %d of %d targets end later", gateways, later, len(f.ends))
		}
	}
}
