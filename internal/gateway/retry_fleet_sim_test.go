package gateway

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/observe"
	"github.com/gentiantrail/gentiantrail/internal/settings"
)

const (
	// fleetStep is the time step of retryFleet.
	fleetStep = 20 * time.Millisecond
	// failuresFrom is when targets begin to fail. By then the first processes are as old as on a
	// deployment that gets its first requests.
	failuresFrom = 14 * time.Second
	// maxHeard bounds the gateways that a gateway hears from in a round of messages.
	maxHeard = 16
)

// retryFleet simulates the retry budgets of gateways whose targets fail, without a network. A slot is
// an instance on which one process of a gateway runs after the other.
type retryFleet struct {
	t      *testing.T
	rng    *rand.Rand
	start  time.Time
	limits settings.GatewayLimits
	// failing is the fraction of attempts that fail, from failuresFrom on.
	failing float64
	// rate is the number of requests per second of all callers.
	rate  float64
	slots []*fleetSlot
	// registered contains the gateways that the store lists.
	registered map[int]bool
	// events are what processes do later.
	events []fleetEvent
	// sent and arrived are the times at which callers sent requests, and at which repeats reached a
	// target.
	sent, arrived []time.Duration
}

// fleetSlot is an instance; c is nil while no process runs on it.
type fleetSlot struct {
	id int
	c  *control
	// frozenUntil is the end of a pause of the process, and frozenFor its length.
	frozenUntil, frozenFor time.Duration
	// cutUntil is the end of a partition from the other gateways.
	cutUntil time.Duration
	// unread counts requests that wait for the process to run.
	unread int
}

// fleetEvent is something that a process does later. It is lost if the process ends.
type fleetEvent struct {
	at   time.Duration
	slot *fleetSlot
	c    *control
	do   func()
}

func newRetryFleet(t *testing.T, gateways int, rate float64, slack int, seed uint64) *retryFleet {
	f := &retryFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), limits: settings.DefaultGatewayLimits(),
		failing: 0.9, rate: rate, registered: map[int]bool{},
	}
	f.limits.RetryRatio, f.limits.RetrySlack = 0.2, slack
	for i := range gateways {
		f.slots = append(f.slots, &fleetSlot{id: i})
		f.startProcess(f.slots[i])
	}
	return f
}

func (f *retryFleet) now() time.Duration { return time.Since(f.start) }

// startProcess starts a gateway in a slot; it knows those that the store lists.
func (f *retryFleet) startProcess(s *fleetSlot) {
	g := New(Options{
		Settings: &settings.Gateway{Name: fmt.Sprint("g", s.id), AvailabilityZone: "z", Limits: f.limits},
		Logger:   observe.NewLogger(io.Discard, "error", "test", "g"), Metrics: tally.NoopScope,
	})
	s.c, s.unread = newControl(g), 0
	f.registered[s.id] = true
	for id := range f.registered {
		s.c.peers.add(fmt.Sprint("g", id), &net.UDPAddr{})
	}
	f.share(s)
}

// share applies a process's part of the limits as publish does.
func (f *retryFleet) share(s *fleetSlot) {
	g := s.c.g
	v := &view{shares: s.c.shares()}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.budgets {
		b.SetLimits(g.now(), v.shares.retries)
	}
	g.view.Store(v)
}

// tellPeers makes the processes that run known to each other, apart from lost messages.
func (f *retryFleet) tellPeers() {
	now := f.now()
	for _, to := range f.slots {
		if to.c == nil || now < to.frozenUntil || now < to.cutUntil {
			continue
		}
		found := false
		for range min(maxHeard, len(f.slots)) {
			from := f.slots[f.rng.IntN(len(f.slots))]
			if from.c != nil && now >= from.frozenUntil && now >= from.cutUntil && f.rng.Float64() < 0.8 {
				found = to.c.peers.add(fmt.Sprint("g", from.id), &net.UDPAddr{}) || found
			}
		}
		if found {
			f.share(to)
		}
	}
}

func (f *retryFleet) kill(s *fleetSlot) { s.c = nil }

// freeze makes the process in a slot stand still for d.
func (f *retryFleet) freeze(s *fleetSlot, d time.Duration) {
	s.frozenUntil, s.frozenFor = f.now()+d, d
}

// after runs do in the process of a slot after about d, unless the process ends before that.
func (f *retryFleet) after(s *fleetSlot, d time.Duration, do func()) {
	f.events = append(f.events, fleetEvent{at: f.now() + time.Duration(f.rng.Float64()*float64(2*d)), slot: s, c: s.c, do: do})
}

// step advances the simulation.
func (f *retryFleet) step() {
	time.Sleep(fleetStep)
	now := f.now()
	due := f.events
	f.events = nil
	for _, e := range due {
		switch {
		case e.slot.c != e.c: // the process has ended
		case now < e.at || now < e.slot.frozenUntil:
			f.events = append(f.events, e)
		default:
			e.do()
		}
	}
	for _, s := range f.slots {
		if s.c == nil {
			continue
		}
		for n := f.poisson(f.rate * fleetStep.Seconds() / float64(len(f.slots))); n > 0; n-- {
			f.sent = append(f.sent, now)
			s.unread++
		}
		if now < s.frozenUntil {
			continue
		}
		s.c.g.recordBeat()
		for ; s.unread > 0; s.unread-- {
			f.receive(s)
		}
	}
	if int(now/fleetStep)%5 == 0 {
		f.tellPeers()
	}
}

// receive handles a request in a process. After a pause, some requests arrive late, as the first
// packets were lost.
func (f *retryFleet) receive(s *fleetSlot) {
	if sincePause := f.now() - s.frozenUntil; sincePause < fleetStep && f.rng.IntN(4) == 0 {
		f.after(s, s.frozenFor/2, func() { f.serve(s) })
		return
	}
	f.serve(s)
}

// serve sends a request to a target, and once more if that fails and the budget allows it.
func (f *retryFleet) serve(s *fleetSlot) {
	g, x := s.c.g, &exchange{service: "s", firstByte: time.Now()}
	g.countRequest(x)
	if f.now() < failuresFrom || f.rng.Float64() > f.failing {
		return
	}
	f.after(s, 20*time.Millisecond, func() {
		if g.takeRepeat(x) {
			f.after(s, 10*time.Millisecond, func() {
				f.arrived = append(f.arrived, f.now())
				(&attempt{g: g, x: x, repeat: x.unsentRepeat}).recordRepeatSent(time.Now())
			})
		}
	})
}

func (f *retryFleet) poisson(mean float64) int {
	n, p := 0, f.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= f.rng.Float64()
	}
	return n
}

// runUntil advances the simulation to a time.
func (f *retryFleet) runUntil(end time.Duration) {
	for f.now() < end {
		f.step()
	}
}

// countIn returns the number of times in [from, to); times are in their order.
func countIn(times []time.Duration, from, to time.Duration) int {
	first := sort.Search(len(times), func(i int) bool { return times[i] >= from })
	return sort.Search(len(times), func(i int) bool { return times[i] >= to }) - first
}

// check compares the repeats in each window that begins or ends at one with what the fleet may send:
// the requests are those of the same window, the one before or the one half a window before.
func (f *retryFleet) check(name string) {
	f.t.Helper()
	slices.Sort(f.arrived)
	span := f.limits.RetryWindow
	for _, at := range f.arrived {
		for _, from := range []time.Duration{at, at - span + 1} {
			requests := 0
			for _, before := range []time.Duration{0, span / 2, span} {
				requests = max(requests, countIn(f.sent, from-before, from-before+span))
			}
			allowed := f.limits.RetryRatio*float64(requests) + float64(f.limits.RetrySlack)
			if repeats := countIn(f.arrived, from, from+span); float64(repeats) > allowed {
				f.t.Fatalf("%s: %d repeats in %v from %v, for %d requests: allowed %.0f", name, repeats, span, from, requests, allowed)
			}
		}
	}
}

// checkUse fails if the fleet, while most attempts fail, does not use most of what the ratio allows.
func (f *retryFleet) checkUse(from, to time.Duration) {
	f.t.Helper()
	repeats, requests := countIn(f.arrived, from, to), countIn(f.sent, from, to)
	assert.Assert(f.t, float64(repeats) >= 0.8*f.limits.RetryRatio*float64(requests), "%d repeats for %d requests", repeats, requests)
}
