package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/priority"
)

// levelFleet simulates gateways before one service with three levels. It needs no network.
type levelFleet struct {
	rng      *rand.Rand
	gateways []*Balancer
	// interval is that of the messages between gateways.
	interval time.Duration
	messages map[time.Duration][]levelMessage
	ends     map[time.Duration][]levelEnd
	load     int
	// starts contains the number of requests started in each tick.
	starts map[time.Duration]int
	// arrived and served count requests by level.
	arrived, served [3]float64
	// excess is the largest load above the limit that requests started within messageDelay do
	// not explain.
	excess int
}

type levelMessage struct {
	from, to int
	sent     time.Duration
	work     map[uint32]int
	demand   []priority.Report
}

type levelEnd struct {
	gateway int
	target  string
}

const (
	levelTick = 10 * time.Millisecond
	// levelServiceTime is the time that each request takes.
	levelServiceTime = 2 * time.Second
	levelTargets     = 72
	levelSlots       = 10
	// levelLimit is the work limit of the service.
	levelLimit = levelTargets * levelSlots * (1 + queueShare)
	// levelLatency is the time that a message takes, and levelLateness that of a delayed one.
	levelLatency  = 10 * time.Millisecond
	levelLateness = 300 * time.Millisecond
)

func newLevelFleet(gateways int) *levelFleet {
	f := &levelFleet{
		rng: rand.New(rand.NewPCG(11, uint64(gateways))), interval: 100 * time.Millisecond * time.Duration(max(1, gateways/fastPeers)),
		messages: map[time.Duration][]levelMessage{}, ends: map[time.Duration][]levelEnd{}, starts: map[time.Duration]int{},
	}
	targets := engineTargets(levelTargets, levelSlots)
	var names []string
	for i := range targets {
		targets[i].Lockstep = false
	}
	for i := range gateways {
		names = append(names, fmt.Sprint("g", i))
	}
	for i := range gateways {
		b := New(names[i], "a", rand.New(rand.NewPCG(f.rng.Uint64(), 1)))
		b.SetTargets(0, targets)
		b.SetLevels(map[string]bool{"s": true})
		b.AddMembers(0, names)
		f.gateways = append(f.gateways, b)
	}
	return f
}

// run offers requests at the given rates of the levels, per second.
func (f *levelFleet) run(now, end time.Duration, rates [3]float64) {
	for ; now < end; now += levelTick {
		for _, e := range f.ends[now] {
			f.gateways[e.gateway].RecordResult(now, e.target, Answered)
			f.load--
		}
		delete(f.ends, now)
		f.deliver(now)
		for i := range f.gateways {
			if (now/levelTick+time.Duration(i))%(f.interval/levelTick) == 0 {
				f.tell(now, i)
			}
		}
		total := rates[0] + rates[1] + rates[2]
		for n := f.poisson(total * levelTick.Seconds()); n > 0; n-- {
			level, point := 0, f.rng.Float64()*total
			for ; level < 2 && point >= rates[level]; level++ {
				point -= rates[level]
			}
			f.offer(now, level)
		}
		f.checkLoad(now)
	}
}

func (f *levelFleet) poisson(mean float64) int {
	n := 0
	for p := f.rng.Float64(); p > math.Exp(-mean); p *= f.rng.Float64() {
		n++
	}
	return n
}

func (f *levelFleet) offer(now time.Duration, level int) {
	g := f.rng.IntN(len(f.gateways))
	f.arrived[level]++
	f.gateways[g].RecordArrival(now, "s", level)
	c, refusal := f.gateways[g].Choose(now, Request{Service: "s", Priority: level})
	if refusal != NotRefused {
		return
	}
	f.served[level]++
	f.load++
	f.starts[now]++
	f.ends[now+levelServiceTime] = append(f.ends[now+levelServiceTime], levelEnd{gateway: g, target: c.Target.ID})
}

// checkLoad updates the excess. Gateways do not know of requests that others have started since
// their last message.
func (f *levelFleet) checkLoad(now time.Duration) {
	unseen := 0
	for at := now - f.interval - levelLatency; at <= now; at += levelTick {
		if len(f.gateways) > 1 {
			unseen += f.starts[at]
		}
	}
	f.excess = max(f.excess, f.load-levelLimit-unseen)
}

// tell sends a message to all others. A fifth of the messages is lost, duplicated or delayed.
func (f *levelFleet) tell(now time.Duration, from int) {
	m := levelMessage{from: from, sent: now + 1, work: f.gateways[from].WorkByTarget(), demand: f.gateways[from].DemandToTell(now)}
	for to := range f.gateways {
		if to == from {
			continue
		}
		m.to = to
		due := now + levelLatency
		switch f.rng.IntN(15) {
		case 0:
			continue
		case 1:
			f.messages[due+levelLateness] = append(f.messages[due+levelLateness], m)
		case 2:
			due += levelLateness
		}
		f.messages[due] = append(f.messages[due], m)
	}
}

func (f *levelFleet) deliver(now time.Duration) {
	for _, m := range f.messages[now] {
		b, name := f.gateways[m.to], f.gateways[m.from].name
		if !b.IsOutdated(now, name, m.sent) {
			b.HandlePeerReport(now, name, m.work)
			b.HandlePeerDemand(name, m.sent, m.demand)
		}
	}
	delete(f.messages, now)
}

// TestImportantLevelsAreServedFirst plays bursts of one level on a full service. It guards against
// refusals that do not depend on the priority, a level that is starved, and a load above the limit
// for another reason than the delay of messages.
func TestImportantLevelsAreServedFirst(t *testing.T) {
	base := [3]float64{110, 150, 190} // together the service's limit by its time for a request
	for name, burst := range map[string][3]float64{
		"least important": {110, 150, 2.5 * 190}, "most important": {1.8 * 110, 150, 190},
	} {
		for _, gateways := range []int{1, 7, 40, 149, 350} {
			if gateways > maxSimulatedGateways {
				continue
			}
			t.Run(fmt.Sprintf("%s,gateways=%d", name, gateways), func(t *testing.T) {
				f := newLevelFleet(gateways)
				f.run(0, 3*second, base)
				f.arrived, f.served = [3]float64{}, [3]float64{}
				f.run(3*second, 8*second, burst)
				var ratios [3]float64
				for level := range ratios {
					ratios[level] = f.served[level] / f.arrived[level]
				}
				mean := (f.served[0] + f.served[1] + f.served[2]) / (f.arrived[0] + f.arrived[1] + f.arrived[2])
				t.Logf("served: %.3f, mean %.3f, excess of load %d", ratios, mean, f.excess)
				assert.Assert(t, ratios[0] >= ratios[1] && ratios[1] >= ratios[2], "%.3f", ratios)
				assert.Assert(t, ratios[2] >= 0.3*mean, "%.3f of the least important requests, %.3f of all", ratios[2], mean)
				assert.Assert(t, f.excess <= 0, "%d requests above the limit", f.excess)
			})
		}
	}
}

// levelBalancer returns a balancer of one service with levels, whose work limit is 100.
func levelBalancer(members ...string) *Balancer {
	targets := engineTargets(10, 8)
	for i := range targets {
		targets[i].Lockstep = false
	}
	b := newBalancer(targets)
	b.SetLevels(map[string]bool{"s": true})
	b.AddMembers(0, append(members, "g"))
	return b
}

// fill sends requests of a level until one is refused, and returns the number of the others.
func fill(b *Balancer, now time.Duration, r Request) int {
	r.Service = "s"
	n := 0
	for {
		if _, refusal := b.Choose(now, r); refusal != NotRefused {
			return n
		}
		n++
	}
}

// Guards against a service without levels, or without traffic, that keeps a reserve.
func TestNoReserveWithoutTrafficOrLevels(t *testing.T) {
	b := levelBalancer()
	assert.Equal(t, fill(b, second, Request{Priority: 9}), 100)
	b = levelBalancer()
	b.SetLevels(nil)
	demand := []priority.Report{{Service: TargetKey("s"), Rates: priority.Rates{Arrivals: 100, Admissions: 100}}}
	b.HandlePeerReport(second, "p", nil)
	b.HandlePeerDemand("p", 1, demand)
	c, refusal := b.Choose(second, Request{Service: "s", Priority: 2})
	assert.Equal(t, refusal, NotRefused)
	assert.Assert(t, c.Level == nil)
	assert.Equal(t, fill(b, second, Request{Priority: 2}), 99)
}

// A gateway that has just started uses the demand of the others: more important levels add a reserve,
// less important ones headroom.
func TestReserveFollowsTheDemandOfOtherGateways(t *testing.T) {
	key := TargetKey("s")
	for _, tc := range []struct {
		name    string
		request Request
		want    int
	}{
		{"most important", Request{Priority: 0}, 100},
		{"next", Request{Priority: 1}, 100 - 25 + 5},
		{"least", Request{Priority: 2}, 100 - 25 - 15},
		{"not in the reports", Request{Priority: 5}, 100 - 25 - 15 - 5},
	} {
		b := levelBalancer("p")
		b.HandlePeerReport(0, "p", nil)
		b.HandlePeerDemand("p", 1, []priority.Report{
			{Service: key, Priority: 0, Rates: priority.Rates{Arrivals: 50, Admissions: 50}},
			{Service: key, Priority: 2, Rates: priority.Rates{Arrivals: 10, Admissions: 10}},
			{Service: key, Priority: 1, Rates: priority.Rates{Arrivals: 30, Admissions: 30}},
			{Service: key + 1, Priority: 0, Rates: priority.Rates{Arrivals: 500}},
		})
		assert.Equal(t, fill(b, second/2, tc.request), tc.want, tc.name)
	}
}

// Guards against a gateway that uses the whole limit although it hears none of the others, and one
// that remains restricted after it is heard again.
func TestCutOffGatewayKeepsWithinItsPart(t *testing.T) {
	b := levelBalancer("p1", "p2", "p3", "p4")
	b.HandlePeerReport(second, "p1", nil)
	assert.Equal(t, fill(b, second+contactTimeout, Request{}), 100/5)
	b.HandlePeerReport(second+contactTimeout, "p1", nil)
	assert.Equal(t, fill(b, second+contactTimeout, Request{}), 100-100/5)
}

// Guards against late and repeated messages that replace newer ones, and against a gateway that is
// ignored after its restart.
func TestOnlyTheNewestReportCounts(t *testing.T) {
	b := levelBalancer("p")
	report := func(now, sent time.Duration) bool {
		if b.IsOutdated(now, "p", sent) {
			return false
		}
		b.HandlePeerReport(now, "p", nil)
		b.HandlePeerDemand("p", sent, nil)
		return true
	}
	assert.Assert(t, report(10*second, 20*second))
	assert.Assert(t, !report(10*second, 20*second))
	assert.Assert(t, !report(10*second, 19*second))
	assert.Assert(t, report(10*second, 21*second))
	assert.Assert(t, report(10*second, 100*time.Millisecond))
	assert.Assert(t, report(12*second, 50*time.Millisecond)) // the last one is no longer used
}

// The demand of a gateway whose reports stop is no longer used, and the own demand stands for it.
func TestOutdatedDemandIsReplacedByTheOwn(t *testing.T) {
	b := levelBalancer("p")
	for now := time.Duration(0); now < 5*second; now += 20 * time.Millisecond {
		b.RecordArrival(now, "s", 0)
	}
	key := TargetKey("s")
	now := 5 * second
	b.HandlePeerReport(now, "p", nil)
	b.HandlePeerDemand("p", 1, []priority.Report{{Service: key, Rates: priority.Rates{Arrivals: 10}}, {Service: key, Rates: priority.Rates{Arrivals: math.NaN()}}})
	arrivals := func(now time.Duration) float64 { return b.demand(now, b.levels["s"])[0].Arrivals }
	assert.Assert(t, math.Abs(arrivals(now)-60) < 4, "%.1f", arrivals(now))
	later := now + b.peerReportMaxAge() + expiryCheckInterval
	own := 50 * math.Exp2(-(later - now).Seconds())
	assert.Assert(t, math.Abs(arrivals(later)-2*own) < 4, "%.1f", arrivals(later))
}
