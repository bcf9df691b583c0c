package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limitFleet simulates gateways that send requests to a service of two targets, t and u, of
// which t states a rate. It needs no network.
type limitFleet struct {
	rng      *rand.Rand
	now      time.Duration
	gateways []*limitGateway
	// rate is the rate that t states; negative if it states none.
	rate float64
	// told is how often, in ticks, each gateway sends a message to the others, of which a
	// share loss is lost.
	told    int
	loss    float64
	pending []limitAnswer
	// arrivals contains the times of the requests that reach t from gateways that are not
	// excused.
	arrivals []time.Duration
}

type limitGateway struct {
	b    *Balancer
	name string
	// started is when the process started, and excusedUntil when its last restart, freeze or
	// cut stops to excuse it.
	started, excusedUntil time.Duration
	cutUntil              time.Duration
}

// limitAnswer is an answer of t that is on its way.
type limitAnswer struct {
	at, sent time.Duration
	gateway  *limitGateway
	// began is the start of the process that gets it.
	began time.Duration
}

const (
	limitTick = 10 * time.Millisecond
	// recoveryTime is how long after the end of a restart, a freeze or a cut a gateway is excused.
	recoveryTime = 3 * time.Second
)

func newLimitFleet(n int, seed uint64) *limitFleet {
	// As in package gateway: a message every 100 ms, and less often with more than 40 others.
	f := &limitFleet{rng: rand.New(rand.NewPCG(seed, 3)), rate: -1, told: 10 * max(1, n/40)}
	for i := range n {
		g := &limitGateway{name: fmt.Sprint("g", i)}
		f.gateways = append(f.gateways, g)
		f.restart(g)
	}
	return f
}

// restart replaces the process of a gateway, which then knows nothing.
func (f *limitFleet) restart(g *limitGateway) {
	targets := engineTargets(2, 1000)
	targets[0].ID, targets[1].ID = "t", "u"
	for i := range targets {
		targets[i].Lockstep = false
	}
	g.b = New(g.name, "a", rand.New(rand.NewPCG(f.rng.Uint64(), 1)))
	g.b.SetTargets(0, targets)
	g.started, g.excusedUntil = f.now, f.now+recoveryTime
}

// clock returns the time since the start of the gateway's process.
func (f *limitFleet) clock(g *limitGateway) time.Duration { return f.now - g.started }

// run lets each gateway get requests at perSecond until d has passed.
func (f *limitFleet) run(d time.Duration, perSecond float64) {
	for end := f.now + d; f.now < end; f.now += limitTick {
		f.deliverAnswers()
		for i, g := range f.gateways {
			if f.rng.Float64() < perSecond*limitTick.Seconds() {
				f.request(g)
			}
			if (int(f.now/limitTick)+i)%f.told == 0 {
				f.tell(g)
			}
		}
	}
}

func (f *limitFleet) request(g *limitGateway) {
	c, refusal := g.b.Choose(f.clock(g), Request{Service: "s"})
	if refusal != NotRefused {
		return
	}
	if c.Target.ID == "u" {
		g.b.RecordResult(f.clock(g), "u", Answered)
		return
	}
	if f.now > g.excusedUntil {
		f.arrivals = append(f.arrivals, f.now)
	}
	took := time.Duration(20+f.rng.IntN(300)) * time.Millisecond
	f.pending = append(f.pending, limitAnswer{at: f.now + took, sent: f.clock(g), gateway: g, began: g.started})
}

func (f *limitFleet) deliverAnswers() {
	waiting := f.pending[:0]
	for _, a := range f.pending {
		switch {
		case a.at > f.now:
			waiting = append(waiting, a)
		case a.began == a.gateway.started:
			limit := RateLimit{Limited: f.rate >= 0, Rate: max(0, f.rate)}
			now := f.clock(a.gateway)
			a.gateway.b.HandleRateLimit(now, "t", limit, a.sent)
			a.gateway.b.RecordResult(now, "t", Answered)
		}
	}
	f.pending = waiting
}

func (f *limitFleet) tell(from *limitGateway) {
	limits := from.b.LimitsToTell(f.clock(from))
	for _, to := range f.gateways {
		cut := f.now < from.cutUntil || f.now < to.cutUntil
		if to == from || cut || f.rng.Float64() < f.loss {
			continue
		}
		to.b.HandlePeerReport(f.clock(to), from.name, nil)
		to.b.HandlePeerLimits(f.clock(to), limits)
	}
}

// disturb restarts or cuts off a few gateways.
func (f *limitFleet) disturb() {
	for range 1 + len(f.gateways)/10 {
		g := f.gateways[f.rng.IntN(len(f.gateways))]
		if f.rng.IntN(2) == 0 {
			f.restart(g)
			continue
		}
		g.cutUntil = f.now + time.Duration(f.rng.IntN(4000))*time.Millisecond
		g.excusedUntil = g.cutUntil + recoveryTime
	}
}

// mostWithin returns the highest number of arrivals in any span after a time.
func (f *limitFleet) mostWithin(after, span time.Duration) int {
	most, first := 0, 0
	for i, at := range f.arrivals {
		for f.arrivals[first] < after || at-f.arrivals[first] >= span {
			if first == i {
				break
			}
			first++
		}
		if at >= after {
			most = max(most, i-first+1)
		}
	}
	return most
}

// countSince returns the number of arrivals since a time.
func (f *limitFleet) countSince(t time.Duration) int {
	n := 0
	for _, at := range f.arrivals {
		if at >= t {
			n++
		}
	}
	return n
}

const (
	// stateTime is the time after the first statement of a limit from which on it must be kept.
	stateTime = 3 * time.Second
	// judgedSpan is the span in which arrivals are counted.
	judgedSpan = 4 * time.Second
)

// judgedBound is the highest allowed number of arrivals in judgedSpan.
func judgedBound(rate float64) int { return int(1.5*rate*judgedSpan.Seconds()) + 5 }

var limitFleets = []struct {
	gateways int
	rate     float64
	// demand is the rate of requests at each gateway, per second.
	demand float64
	seeds  uint64
}{
	{gateways: 1, rate: 2, demand: 20, seeds: 3},
	{gateways: 7, rate: 2.4, demand: 12, seeds: 3},
	{gateways: 9, rate: 1, demand: 10, seeds: 3},
	{gateways: 43, rate: 1.3, demand: 8, seeds: 2},
	{gateways: 350, rate: 2, demand: 2, seeds: 1},
	{gateways: 350, rate: 0.2, demand: 2, seeds: 1},
	{gateways: 350, rate: 90, demand: 2, seeds: 1},
}

// Guards against a fleet that sends a target in need more than the rate that it states: each
// gateway knows only a part of what the others send, some restart or are cut off, and messages
// are lost. At least half of the stated rate is used, and the usual rate returns once it is withdrawn.
func TestFleetKeepsTheRateThatATargetStates(t *testing.T) {
	for _, tc := range limitFleets {
		for seed := range tc.seeds {
			t.Run(fmt.Sprintf("gateways=%d,rate=%g,seed=%d", tc.gateways, tc.rate, seed), func(t *testing.T) {
				f := newLimitFleet(tc.gateways, seed)
				f.loss = 0.2
				f.run(6*time.Second, tc.demand)
				usual := tc.demand * float64(tc.gateways) / 2
				stated := f.now
				f.rate = tc.rate
				for range 4 {
					f.run(5*time.Second, tc.demand)
					f.disturb()
				}
				kept := f.now - stated - stateTime
				got := f.mostWithin(stated+stateTime, judgedSpan)
				assert.Check(t, got <= judgedBound(tc.rate), "%d arrivals in %v, %d are allowed", got, judgedSpan, judgedBound(tc.rate))
				if used := float64(f.countSince(stated+stateTime)) / kept.Seconds(); tc.gateways > 1 && tc.rate < usual {
					assert.Check(t, used >= 0.5*tc.rate, "%.2f of %g a second are used", used, tc.rate)
				}
				f.rate = -1
				const measured = 6 * time.Second
				f.run(8*time.Second+measured, tc.demand) // no gateway is excused for 8 s
				after := float64(f.countSince(f.now-measured)) / measured.Seconds()
				assert.Check(t, after >= 0.7*usual, "%.1f a second after the limit was withdrawn, usually %.1f", after, usual)
			})
		}
	}
}

func TestLimitIsNotRaisedByAnAnswerThatWasOnItsWay(t *testing.T) {
	b := newBalancer(engineTargets(1, 4))
	limit := RateLimit{Limited: true, Rate: 2}
	assert.Assert(t, b.HandleRateLimit(10*second, "t0", limit, 9*second))
	assert.Assert(t, !b.HandleRateLimit(11*second, "t0", RateLimit{}, 9*second))
	assert.Equal(t, b.TargetLimit(11*second, "t0"), limit)
	lower := RateLimit{Limited: true, Rate: 1}
	assert.Assert(t, b.HandleRateLimit(12*second, "t0", lower, 9*second))
	assert.Assert(t, b.HandleRateLimit(13*second, "t0", RateLimit{}, 12500*time.Millisecond))
	assert.Equal(t, b.TargetLimit(13*second, "t0"), RateLimit{})
}

// A rate of zero is a statement too; it holds until it is withdrawn or not repeated for
// limitMemory.
func TestTargetThatTakesNothingGetsNothing(t *testing.T) {
	b := newBalancer(engineTargets(1, 4))
	b.HandleRateLimit(10*second, "t0", RateLimit{Limited: true}, 9*second)
	_, refusal := b.Choose(10*second+limitMemory, Request{Service: "s"})
	assert.Equal(t, refusal, Full)
	_, refusal = b.Choose(11*second+limitMemory, Request{Service: "s"})
	assert.Equal(t, refusal, NotRefused)
}

// Limits of other gateways may be nonsense, or older than what is known.
func TestInvalidAndOlderLimitsOfOthersAreIgnored(t *testing.T) {
	b := newBalancer(engineTargets(1, 4))
	limit := RateLimit{Limited: true, Rate: 2}
	b.HandleRateLimit(10*second, "t0", limit, 9*second)
	key := TargetKey("t0")
	nan := 0.0
	nan /= nan
	for _, p := range []PeerLimit{
		{Key: key, Age: 2 * second},
		{Key: key, Age: -second},
		{Key: key, RateLimit: RateLimit{Limited: true, Rate: nan}},
		{Key: key, RateLimit: RateLimit{Limited: true, Rate: -2}},
		{Key: key + 1},
	} {
		assert.Equal(t, len(b.HandlePeerLimits(11*second, []PeerLimit{p})), 0)
	}
	assert.Equal(t, b.TargetLimit(11*second, "t0"), limit)
	assert.DeepEqual(t, b.HandlePeerLimits(11*second, []PeerLimit{{Key: key, Age: second / 2}}), []string{"t0"})
}

// Guards against messages that grow while a limit holds: a gateway tells it when it changes and
// rarely after that, also if the others read it as often.
func TestLimitThatHoldsIsToldRarely(t *testing.T) {
	const (
		span     = 60 * second
		interval = 100 * time.Millisecond
	)
	a, b := newBalancer(engineTargets(1, 4)), newBalancer(engineTargets(1, 4))
	limit := RateLimit{Limited: true, Rate: 2}
	told := 0
	for now := second; now < second+span; now += interval {
		for _, g := range []*Balancer{a, b} {
			g.HandleRateLimit(now, "t0", limit, now-interval)
		}
		if limits := a.LimitsToTell(now); len(limits) > 0 {
			told++
			b.HandlePeerLimits(now+interval/2, limits)
		}
		a.HandlePeerLimits(now+interval/2, b.LimitsToTell(now+interval/4))
	}
	retold := int(span/limitRetellInterval) * int(limitRetellTime/interval)
	assert.Assert(t, told <= int(limitTellTime/interval)+retold, "told in %d of %d messages", told, int(span/interval))
}
