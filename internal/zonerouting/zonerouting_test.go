package zonerouting

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// input returns an input with zones of 100 slots, a service time of 1 s, and 4 ms on the network.
func input(own float64, others ...float64) *Input {
	in := &Input{
		Own: Zone{Name: "a", Slots: 100, Demand: own}, ServiceTime: time.Second, Cost: 2 * time.Millisecond,
	}
	for i, demand := range others {
		in.Others = append(in.Others, Zone{Name: string(rune('b' + i)), Slots: 100, Demand: demand, Delay: time.Millisecond})
	}
	return in
}

func total(p Plan) float64 {
	sum := 0.0
	for _, s := range p.Shares {
		sum += s.Fraction
	}
	return sum
}

// Guards against requests that leave a zone whose own targets are sufficient, and against an amount
// that does not balance the zones.
func TestSharesBalanceThePredictedTimes(t *testing.T) {
	for _, c := range []struct {
		own    float64
		others []float64
		// sent is the expected number of requests per second to each zone.
		sent []float64
	}{
		{own: 60, others: []float64{60, 60}, sent: []float64{0, 0}},
		{own: 99, others: []float64{0, 0}, sent: []float64{0, 0}},
		{own: 150, others: []float64{50, 0}, sent: []float64{16.53, 33.07}}, // the local wait is 4 ms
		{own: 150, others: []float64{150, 0}, sent: []float64{0, 49.6}},     // the part is 50 of 100
		{own: 150, others: []float64{50}, sent: []float64{49.6}},
		{own: 200, others: []float64{100}, sent: []float64{49.8}}, // both wait for half a service time
		{own: 150, others: []float64{150}, sent: []float64{0}},
		{own: 150, others: []float64{200}, sent: []float64{0}},
	} {
		p := Compute(input(c.own, c.others...))
		assert.Assert(t, p.Valid)
		for i, s := range p.Shares {
			assert.Check(t, math.Abs(s.Fraction*c.own-c.sent[i]) < 0.1, "%+v: zone %s gets %.2f/s", c, s.Zone, s.Fraction*c.own)
		}
	}
}

// Guards against a decision that changes back and forth around the point of equal times.
func TestSendingStartsAtATenthAndStopsAtEqualTimes(t *testing.T) {
	in := input(0, 0)
	// Waits of 4.2 and 4.6 ms on the local side, 4 ms in the other zone.
	for _, step := range []struct {
		demand  float64
		sending bool
	}{{100.42, false}, {100.46, true}, {100.42, true}, {100.39, false}, {100.42, false}} {
		in.Own.Demand = step.demand
		p := Compute(in)
		assert.Equal(t, p.Shares[0].Sending, step.sending, "demand %v", step.demand)
		in.Previous = &p
	}
}

// Guards against two zones that send to each other, whatever they did before.
func TestTwoZonesNeverSendToEachOther(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	for range 2000 {
		x := Zone{Name: "a", Slots: 1 + 200*rng.Float64(), Demand: 300 * rng.Float64(), Excess: rng.Float64()}
		y := Zone{Name: "b", Slots: 1 + 200*rng.Float64(), Demand: 300 * rng.Float64(), Excess: rng.Float64()}
		both := func(own, other Zone) Plan {
			before := Plan{Valid: true, Shares: []Share{{Zone: other.Name, Fraction: 0.5, Sending: true}}}
			return Compute(&Input{Own: own, Others: []Zone{other}, ServiceTime: time.Second, Previous: &before})
		}
		p, q := both(x, y), both(y, x)
		assert.Assert(t, total(p) == 0 || total(q) == 0, "%+v %+v", x, y)
		for _, plan := range []Plan{p, q} {
			assert.Assert(t, total(plan) >= 0 && total(plan) <= 1, "%+v", plan)
		}
	}
}

// Guards against a zone without targets whose requests are refused, or all go to one zone.
func TestZoneWithoutTargetsSendsAllBySpareCapacity(t *testing.T) {
	in := input(50, 75, 25)
	in.Own.Slots = 0
	p := Compute(in)
	assert.Assert(t, p.OnlyRemote)
	assert.Equal(t, p.Shares[0].Fraction, 0.25)
	assert.Equal(t, p.Shares[1].Fraction, 0.75)
	assert.Equal(t, p.Pick(0.2), 0)
	assert.Equal(t, p.Pick(math.Nextafter(1, 0)), 1)
	in.Others[0].Demand, in.Others[1].Demand = 200, 200
	assert.Equal(t, Compute(in).Shares[0].Fraction, 0.5)
	in.Others[0].Slots = 1e-30 // must not overflow to a negative wait
	assert.Assert(t, Compute(in).Shares[0].Time > time.Second)
	in.Others = nil
	assert.Assert(t, !Compute(in).Valid)
}
