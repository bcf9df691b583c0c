// Package zonerouting decides which share of the requests of one service that arrive in an
// availability zone is sent to targets of other zones. It does no I/O, reads no clock and keeps no
// state: the caller passes in the previous plan and the random numbers.
package zonerouting

import (
	"slices"
	"time"
)

const (
	// startRatio is the ratio of the predicted time in another zone to the local one below which
	// sending there starts. It stops at a ratio of 1.
	startRatio = 0.9
	// levelSteps is the number of bisections for the predicted time at which the zones are balanced.
	levelSteps = 40
	// maxExcess bounds the predicted wait, in service times: a zone may report hardly any slots, and
	// the wait would overflow.
	maxExcess = 1000.0
)

// Zone is an availability zone as seen for one service.
type Zone struct {
	Name string
	// Slots is the number of requests that the zone's targets which accept work run at once, and
	// Load the number of requests at them.
	Slots, Load float64
	// Demand is the number of requests per second that reach gateways of the zone, whether they are
	// admitted or not.
	Demand float64
	// Excess is the number of requests beyond the slots at the zone's least loaded target, relative
	// to its slots.
	Excess float64
	// Delay is the time that a message takes between the zone and the own one.
	Delay time.Duration
}

// Input contains what a plan depends on.
type Input struct {
	// Own is the zone whose requests are planned. Others are zones with recent reports; those that
	// are not in it get nothing.
	Own    Zone
	Others []Zone
	// ServiceTime is the mean time that a request occupies a slot; zero if it is not known.
	ServiceTime time.Duration
	// Cost is the additional time that operators would accept to keep a request in its zone.
	Cost time.Duration
	// Previous is the plan that is in force.
	Previous *Plan
}

// Share is the part of the requests of the own zone that is sent to another one.
type Share struct {
	Zone string
	// Fraction is between 0 and 1.
	Fraction float64
	// Time is the predicted time of a request in the zone: its wait, the way there and back, and
	// the cost.
	Time time.Duration
	// Sending is true if the zone is worth sending to; the fraction may still be 0.
	Sending bool
}

// Plan is the decision for one service.
type Plan struct {
	// Valid is false if nothing can be decided: no other zone has reported recently, none has
	// targets, or the service time is not known.
	Valid bool
	// OnlyRemote is true if the own zone has no targets.
	OnlyRemote bool
	// LocalTime is the predicted wait in the own zone; zero with OnlyRemote.
	LocalTime time.Duration
	// Shares contains an entry for each of the other zones, in the order of Input.Others.
	Shares []Share
}

// Pick returns the index in Shares of the zone that a request is sent to, or -1 for the own zone;
// point is a random number from a uniform distribution over [0, 1).
func (p *Plan) Pick(point float64) int {
	for i := range p.Shares {
		point -= p.Shares[i].Fraction
		if point < 0 {
			return i
		}
	}
	if p.OnlyRemote { // the fractions sum up to 1 except for rounding
		return len(p.Shares) - 1
	}
	return -1
}

// sending reports whether requests were sent to a zone so far.
func (p *Plan) sending(zone string) bool {
	return p != nil && slices.ContainsFunc(p.Shares, func(s Share) bool { return s.Zone == zone && s.Sending })
}

// NetworkTime returns the time that a request to another zone takes in addition to its wait: the
// way there and back, and the cost.
func NetworkTime(delay, cost time.Duration) time.Duration { return 2*delay + cost }

// Compute returns the plan for an input.
func Compute(in *Input) Plan {
	if in.Own.Slots <= 0 {
		return onlyRemote(in)
	}
	if in.ServiceTime <= 0 || len(in.Others) == 0 {
		return Plan{}
	}
	plan := Plan{Valid: true, LocalTime: in.wait(&in.Own)}
	for i := range in.Others {
		plan.Shares = append(plan.Shares, in.decide(&in.Others[i], plan.LocalTime))
	}
	in.distribute(&plan)
	return plan
}

// work returns the number of slots that a zone's own demand needs.
func (in *Input) work(z *Zone) float64 {
	if in.ServiceTime <= 0 {
		return z.Load
	}
	return z.Demand * in.ServiceTime.Seconds()
}

// wait returns the predicted wait of a request in a zone if no zone sends anything to another: the
// one at its least loaded target, or the one that its demand leads to, whichever is longer. With
// the first alone, sending would stop once it has shortened the local wait.
func (in *Input) wait(z *Zone) time.Duration {
	excess := min(max(0, z.Excess, in.work(z)/z.Slots-1), maxExcess)
	return time.Duration(excess * float64(in.ServiceTime))
}

// decide returns whether a zone is worth sending to. The demand of two zones relative to their
// slots does not depend on what they send, so at most one of them sends to the other.
func (in *Input) decide(z *Zone, localTime time.Duration) Share {
	s := Share{Zone: z.Name, Time: NetworkTime(z.Delay, in.Cost)}
	if z.Slots <= 0 {
		return s
	}
	s.Time += in.wait(z)
	limit := float64(localTime)
	if !in.Previous.sending(z.Name) {
		limit *= startRatio
	}
	s.Sending = float64(s.Time) < limit && in.work(&in.Own)/in.Own.Slots > in.work(z)/z.Slots
	return s
}

// distribute sets the fractions of the zones that are sent to, so that the predicted times of a
// request in the own zone and in these are equal (fluid balance).
func (in *Input) distribute(plan *Plan) {
	demand := in.work(&in.Own)
	low, high := 0.0, max(0, demand/in.Own.Slots-1) // the local wait, in service times
	if high == 0 {
		return
	}
	for range levelSteps {
		level := (low + high) / 2
		if in.Own.Slots*(1+level)+in.spareCapacity(plan, level, nil) >= demand {
			high = level
		} else {
			low = level
		}
	}
	spare := make([]float64, len(plan.Shares))
	total := in.spareCapacity(plan, high, spare)
	sent := demand - in.Own.Slots*(1+high)
	if total <= 0 || sent <= 0 {
		return
	}
	for i := range plan.Shares {
		plan.Shares[i].Fraction = sent / demand * spare[i] / total
	}
}

// spareCapacity returns the work that the zones which are sent to can take from the own one when
// the local wait is level service times. If spare is not nil, it is set to each zone's part.
func (in *Input) spareCapacity(plan *Plan, level float64, spare []float64) float64 {
	total := 0.0
	for i := range plan.Shares {
		z, network := &in.Others[i], float64(NetworkTime(in.Others[i].Delay, in.Cost))/float64(in.ServiceTime)
		if !plan.Shares[i].Sending || level < network {
			continue
		}
		n := in.part(z) * max(0, z.Slots*(1+level-network)-in.work(z))
		if total += n; spare != nil {
			spare[i] = n
		}
	}
	return total
}

// part returns the own zone's part of the spare capacity of a zone: all zones with more demand than
// slots may send there, in proportion to what they have too much.
func (in *Input) part(z *Zone) float64 {
	own := max(0, in.work(&in.Own)-in.Own.Slots)
	total := own
	for i := range in.Others {
		if o := &in.Others[i]; o.Name != z.Name {
			total += max(0, in.work(o)-o.Slots)
		}
	}
	if total <= 0 {
		return 1
	}
	return own / total
}

// onlyRemote returns the plan of a zone without targets: all requests go to other zones, by their
// spare capacity, or by their slots if none has any.
func onlyRemote(in *Input) Plan {
	plan := Plan{OnlyRemote: true}
	spare, slots := 0.0, 0.0
	for i := range in.Others {
		z := &in.Others[i]
		spare += max(0, z.Slots-in.work(z))
		slots += max(0, z.Slots)
	}
	if slots <= 0 {
		return Plan{}
	}
	plan.Valid = true
	for i := range in.Others {
		z := &in.Others[i]
		s := Share{Zone: z.Name, Time: NetworkTime(z.Delay, in.Cost)}
		if s.Fraction = max(0, z.Slots) / slots; spare > 0 {
			s.Fraction = max(0, z.Slots-in.work(z)) / spare
		}
		if s.Sending = s.Fraction > 0; z.Slots > 0 {
			s.Time += in.wait(z)
		}
		plan.Shares = append(plan.Shares, s)
	}
	return plan
}
