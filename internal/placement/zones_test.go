package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	zoneTargets = 4
	zoneSlots   = 10
	// zoneService is the mean time of a request, so that a zone serves 100 requests/s.
	zoneService = 400 * time.Millisecond
	zoneRate    = 100.0
	// zoneStep is the step of the simulated time.
	zoneStep = 10 * time.Millisecond
	// zoneLoss is the share of messages that is lost.
	zoneLoss = 0.2
)

var zoneNames = []string{"a", "b", "c"}

// zoneFleet simulates the gateways and targets of a service in three availability zones.
type zoneFleet struct {
	rng       *rand.Rand
	gateways  []*Balancer
	byZone    map[string][]*Balancer
	targets   []Target
	freeAt    map[string][]time.Duration
	running   endings
	cut       string
	served    int
	refused   int
	remote    int
	sentTo    map[ZonePair]int
	failed    int
	remoteGap time.Duration
	now       time.Duration
}

// ending is the end of a request.
type ending struct {
	at      time.Duration
	gateway *Balancer
	target  string
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newZoneFleet returns a fleet of gateways with targets in the zones.
func newZoneFleet(seed uint64, gateways int, enabled bool, zones ...string) *zoneFleet {
	f := &zoneFleet{
		rng: rand.New(rand.NewPCG(seed, 5)), byZone: map[string][]*Balancer{}, freeAt: map[string][]time.Duration{},
		sentTo: map[ZonePair]int{}, remoteGap: 100 * time.Millisecond,
	}
	if gateways >= fastPeers {
		f.remoteGap = 900 * time.Millisecond
	}
	for _, zone := range zones {
		for i := range zoneTargets {
			t := Target{ID: fmt.Sprint(zone, i), Service: "s", AvailabilityZone: zone, Slots: zoneSlots, Accepting: true}
			f.targets, f.freeAt[t.ID] = append(f.targets, t), make([]time.Duration, zoneSlots)
		}
	}
	for i := range gateways {
		zone := zoneNames[i%len(zoneNames)]
		b := New(fmt.Sprint("g", i), zone, rand.New(rand.NewPCG(seed, uint64(100+i))))
		b.SetZoneSettings(ZoneSettings{Enabled: enabled, Cost: 2 * time.Millisecond})
		b.AddMembers(0, nil)
		b.SetTargets(0, f.targets)
		f.gateways, f.byZone[zone] = append(f.gateways, b), append(f.byZone[zone], b)
	}
	return f
}

// run simulates a time with the demand of each zone in requests per second.
func (f *zoneFleet) run(d time.Duration, demand func(zone int, now time.Duration) float64) {
	for end := f.now + d; f.now < end; f.now += zoneStep {
		for len(f.running) > 0 && f.running[0].at <= f.now {
			e := heap.Pop(&f.running).(ending)
			e.gateway.RecordResult(f.now, e.target, Answered)
		}
		if f.now%(100*time.Millisecond) == 0 {
			f.report()
		}
		for i, zone := range zoneNames {
			gateways := f.byZone[zone]
			for n := demand(i, f.now) * zoneStep.Seconds(); len(gateways) > 0 && n > 0; n-- {
				if f.rng.Float64() < n {
					f.request(gateways[f.rng.IntN(len(gateways))])
				}
			}
		}
	}
}

// report exchanges the messages between the gateways.
func (f *zoneFleet) report() {
	for _, from := range f.gateways {
		work, loads := from.WorkByTarget(), from.ZoneLoads(f.now)
		for _, to := range f.gateways {
			cut := from.zone != to.zone && (from.zone == f.cut || to.zone == f.cut)
			due := from.zone == to.zone || f.now%f.remoteGap == 0
			if from != to && due && !cut && f.rng.Float64() >= zoneLoss {
				to.HandlePeerReport(f.now, from.name, work)
				to.HandleZoneLoads(f.now, from.name, from.zone, loads)
			}
		}
	}
}

// request sends one request, again if no connection can be made.
func (f *zoneFleet) request(g *Balancer) {
	var tried []string
	for {
		c, refusal := g.Choose(f.now, Request{Service: "s", Tried: tried})
		if refusal != NotRefused {
			f.refused++
			return
		}
		to := c.Target.AvailabilityZone
		f.sentTo[ZonePair{From: g.zone, To: to}]++
		if to != g.zone && (to == f.cut || g.zone == f.cut) {
			f.failed++
			g.RecordResult(f.now, c.Target.ID, ConnectFailed)
			tried = append(tried, c.Target.ID)
			continue
		}
		f.served++
		if to != g.zone {
			f.remote++
		}
		free := f.freeAt[c.Target.ID]
		slot := 0
		for i := range free {
			if free[i] < free[slot] {
				slot = i
			}
		}
		free[slot] = max(free[slot], f.now) + time.Duration((0.75+0.5*f.rng.Float64())*float64(zoneService))
		heap.Push(&f.running, ending{at: free[slot], gateway: g, target: c.Target.ID})
		return
	}
}

// reset sets the counts to zero.
func (f *zoneFleet) reset() {
	f.served, f.refused, f.remote, f.failed, f.sentTo = 0, 0, 0, 0, map[ZonePair]int{}
}

// fraction returns the part of a zone's requests that its gateways' plans send to another zone.
func (f *zoneFleet) fraction(from, to string) float64 {
	sum := 0.0
	for _, b := range f.byZone[from] {
		for _, s := range b.ZoneStatus(f.now) {
			if s.Zone == to && !s.Own {
				sum += s.Fraction / float64(len(f.byZone[from]))
			}
		}
	}
	return sum
}

// wave is a demand of 0.8 of the capacity on average that varies by 0.55 within 15 s, out of phase.
func wave(zone int, now time.Duration) float64 {
	phase := now.Seconds()/15 + float64(zone)/3
	return 0.8 * zoneRate * (1 + 0.55*math.Sin(2*math.Pi*phase))
}

// Guards against requests that are refused although another zone has free slots, and against more
// traffic between zones than the demand beyond the own slots explains (and 0.05 of all requests for
// the age of what is known).
func TestDemandThatVariesByZoneIsServedWithLittleTrafficBetweenZones(t *testing.T) {
	excess, total := 0.0, 0.0
	for now := time.Duration(0); now < 15*time.Second; now += zoneStep {
		excess, total = excess+max(0, wave(0, now)-zoneRate), total+wave(0, now)
	}
	for _, gateways := range []int{7, 40} {
		for seed := range uint64(3) {
			before := newZoneFleet(seed, gateways, false, zoneNames...)
			before.run(45*time.Second, wave)
			f := newZoneFleet(seed, gateways, true, zoneNames...)
			f.run(45*time.Second, wave)
			all := float64(f.served + f.refused)
			t.Logf("%d gateways, seed %d: refused %d (without a plan %d) of %d, remote %.3f (without a plan %.3f, excess %.3f)",
				gateways, seed, f.refused, before.refused, f.served+f.refused, float64(f.remote)/all, float64(before.remote)/float64(before.served), excess/total)
			assert.Check(t, float64(f.refused) <= 0.01*all, "%d gateways, seed %d: refused %d", gateways, seed, f.refused)
			assert.Check(t, float64(f.remote)/all <= excess/total+0.05, "%d gateways, seed %d: remote %d of %.0f", gateways, seed, f.remote, all)
		}
	}
}

// A single gateway has no reports of other zones: it chooses targets as without the feature.
func TestSingleGatewayChoosesAsBefore(t *testing.T) {
	before, after := newZoneFleet(1, 1, false, zoneNames...), newZoneFleet(1, 1, true, zoneNames...)
	demand := func(int, time.Duration) float64 { return 2.2 * zoneRate }
	before.run(10*time.Second, demand)
	after.run(10*time.Second, demand)
	assert.Equal(t, after.refused, 0)
	assert.Check(t, math.Abs(float64(after.remote-before.remote)) < 0.05*float64(before.served), "%d, before %d", after.remote, before.remote)
}

// Guards against a zone without targets whose requests are refused or overload one other zone.
func TestZoneWithoutTargetsUsesTheOthers(t *testing.T) {
	for _, gateways := range []int{7, 40} {
		f := newZoneFleet(2, gateways, true, "b", "c")
		demand := func(zone int, _ time.Duration) float64 { return []float64{60, 70, 30}[zone] }
		f.run(5*time.Second, demand)
		f.reset()
		f.run(15*time.Second, demand)
		toB, toC := f.sentTo[ZonePair{From: "a", To: "b"}], f.sentTo[ZonePair{From: "a", To: "c"}]
		assert.Check(t, float64(f.refused) <= 0.01*float64(f.served), "%d gateways: refused %d", gateways, f.refused)
		part := float64(toB) / float64(toB+toC) // spare capacities of 30 and 70 requests/s
		assert.Check(t, part > 0.2 && part < 0.4, "%d gateways: %d to b, %d to c", gateways, toB, toC)
	}
}

// Guards against requests that are sent to a zone on account of reports from before a partition.
func TestPartitionEndsASpill(t *testing.T) {
	for _, gateways := range []int{7, 40} {
		f := newZoneFleet(3, gateways, true, zoneNames...)
		demand := func(zone int, _ time.Duration) float64 { return []float64{130, 40, 40}[zone] }
		f.run(10*time.Second, demand)
		assert.Check(t, f.fraction("a", "b") > 0 && f.fraction("a", "c") > 0, "%d gateways", gateways)
		f.cut = "c"
		f.run(zoneReportMaxAge+300*time.Millisecond, demand)
		assert.Check(t, f.fraction("a", "c") == 0 && f.fraction("a", "b") > 0, "%d gateways", gateways)
		f.reset()
		f.run(10*time.Second, demand)
		all := float64(f.served + f.refused)
		assert.Check(t, float64(f.refused) <= 0.01*all, "%d gateways: refused %d of %.0f", gateways, f.refused, all)
		assert.Check(t, float64(f.sentTo[ZonePair{From: "a", To: "c"}]) <= 0.01*all, "%d gateways: %v", gateways, f.sentTo)
		f.cut = ""
		f.run(3*time.Second, demand)
		assert.Check(t, f.fraction("a", "c") > 0, "%d gateways", gateways)
	}
}

// Guards against two overloaded zones that send to each other: once both are as busy, neither does.
func TestSpillInBothDirectionsEndsAsNone(t *testing.T) {
	f := newZoneFleet(4, 7, true, zoneNames...)
	f.run(5*time.Second, func(zone int, _ time.Duration) float64 { return []float64{140, 40, 90}[zone] })
	assert.Check(t, f.fraction("a", "b") > 0)
	f.run(5*time.Second, func(zone int, _ time.Duration) float64 { return []float64{40, 140, 90}[zone] })
	assert.Check(t, f.fraction("a", "b") == 0 && f.fraction("b", "a") > 0)
	f.run(5*time.Second, func(int, time.Duration) float64 { return 95 })
	for range 50 {
		f.run(100*time.Millisecond, func(int, time.Duration) float64 { return 95 })
		assert.Check(t, min(f.fraction("a", "b"), f.fraction("b", "a")) == 0, "at %v", f.now)
		assert.Check(t, f.fraction("a", "b")+f.fraction("b", "a") < 0.1, "at %v", f.now)
	}
}

// Guards against a request that is refused because its zone has no room although another one has.
func TestPreferredZoneNeverCausesARefusal(t *testing.T) {
	f := newZoneFleet(5, 7, true, zoneNames...)
	f.run(3*time.Second, func(int, time.Duration) float64 { return 30 })
	b := f.byZone["a"][0]
	assert.Assert(t, b.zones.services["s"].plan.Valid)
	for i := range 3 * zoneTargets * zoneSlots / 2 {
		_, refusal := b.Choose(f.now, Request{Service: "s"})
		assert.Equal(t, refusal, NotRefused, "request %d", i)
	}
}

// Guards against an uneven use of the ranks of a group that spans zones.
func TestRanksOfAGroupThatSpansZonesAreUsedEvenly(t *testing.T) {
	f := newZoneFleet(6, 7, true, zoneNames...)
	for _, b := range f.gateways {
		for _, target := range f.targets {
			b.SetGroup(target.ID, "x")
		}
	}
	demand := func(zone int, _ time.Duration) float64 { return []float64{120, 30, 30}[zone] }
	f.run(5*time.Second, demand)
	f.reset()
	f.run(10*time.Second, demand)
	served := map[string]int{}
	for pair, n := range f.sentTo {
		served[pair.To] += n
	}
	for _, zone := range zoneNames {
		assert.Check(t, math.Abs(float64(served[zone])/float64(f.served)-1.0/3) < 0.05, "%v", served)
	}
}

// Guards against reports that can't be true, or are too long, and against outdated ones.
func TestReportsOfZonesAreCheckedAndAged(t *testing.T) {
	b := New("g", "a", rand.New(rand.NewPCG(1, 2)))
	b.HandleZoneLoads(0, "h", "b", []ZoneLoad{{Service: TargetKey("s")}})
	assert.Assert(t, b.zones.reports == nil, "not enabled")
	assert.Assert(t, b.ZoneLoads(0) == nil)
	b.SetZoneSettings(ZoneSettings{Enabled: true})
	b.SetTargets(0, []Target{
		{ID: "x", Service: "s", AvailabilityZone: "a", Slots: 10, Accepting: true},
		{ID: "y", Service: "s", AvailabilityZone: "b", Slots: 10, Accepting: true},
	})
	valid := ZoneLoad{Service: TargetKey("s"), Slots: 8, Load: 9, Demand: 7}
	known := func(now time.Duration) bool {
		b.ZoneLoads(now)
		for _, s := range b.ZoneStatus(now) {
			if s.Zone == "b" {
				assert.Check(t, s.ReportAgeMs < 0 || s.Slots == 8 && s.Load == 9 && s.Demand == 7, "%+v", s)
				return s.ReportAgeMs >= 0
			}
		}
		return false
	}
	for i, bad := range []float64{-1, math.NaN(), math.Inf(1), 1e9} {
		now := time.Duration(i+1) * second
		for _, l := range []ZoneLoad{
			{Service: valid.Service, Slots: bad}, {Service: valid.Service, Load: bad}, {Service: valid.Service, Demand: bad},
		} {
			b.HandleZoneLoads(now, "h", "b", []ZoneLoad{l})
			assert.Check(t, !known(now), "%+v", l)
		}
	}
	now := 10 * second
	b.HandleZoneLoads(now, "h", "b", append(make([]ZoneLoad, maxZoneLoads), valid))
	assert.Check(t, !known(now), "an entry beyond the limit is used")
	now += second
	b.HandleZoneLoads(now, "h", "b", []ZoneLoad{valid})
	assert.Check(t, known(now))
	assert.Check(t, known(now+zoneReportMaxAge))
	assert.Check(t, !known(now+zoneReportMaxAge+zonePlanInterval))
}

// BenchmarkChooseZones is BenchmarkChoose with targets in three zones, with and without plans.
func BenchmarkChooseZones(b *testing.B) {
	for _, size := range []struct{ gateways, targets int }{{7, 16}, {350, 600}} {
		for _, enabled := range []bool{false, true} {
			b.Run(fmt.Sprintf("gateways=%d,targets=%d,enabled=%t", size.gateways, size.targets, enabled), func(b *testing.B) {
				balancer := largeBalancer(size.gateways, size.targets)
				balancer.SetZoneSettings(ZoneSettings{Enabled: enabled, Cost: 2 * time.Millisecond})
				targets := engineTargets(size.targets, 6)
				for i := range targets {
					targets[i].AvailabilityZone = zoneNames[i%3]
				}
				balancer.SetTargets(time.Second, targets)
				now, reported := time.Second, time.Duration(0)
				balancer.Choose(now, Request{Service: "s"}) // stays in progress, so that the service time is known
				for b.Loop() {
					now += 10 * time.Microsecond
					if now-reported > time.Second {
						reported = now
						for i := range size.gateways {
							balancer.HandleZoneLoads(now, fmt.Sprint("g", i), zoneNames[i%3], []ZoneLoad{{Service: TargetKey("s"), Slots: 1000, Demand: 10}})
						}
					}
					if c, refusal := balancer.Choose(now, Request{Service: "s"}); refusal == NotRefused {
						balancer.RecordResult(now, c.Target.ID, Answered)
					}
				}
				if enabled && !balancer.zones.services["s"].plan.Valid {
					b.Error("there is no plan")
				}
			})
		}
	}
}
