package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/zonerouting"
)

const (
	// serviceTimeHalfLife is the time in which past requests lose half of their weight in the mean
	// service time, and minCompleted the number of them below which it is not known.
	serviceTimeHalfLife = 5 * time.Second
	minCompleted        = 3.0
	// maxPlanGap bounds the time since the last plan for which the requests in flight are counted
	// as busy: a process may have been suspended.
	maxPlanGap = time.Second
)

// decayingSum is an exponentially decayed sum.
type decayingSum struct {
	halfLife time.Duration
	sum      float64
	at       time.Duration
}

func (d *decayingSum) add(now time.Duration, v float64) { d.sum, d.at = d.value(now)+v, now }

func (d *decayingSum) value(now time.Duration) float64 {
	return d.sum * math.Exp2(-float64(max(0, now-d.at))/float64(d.halfLife))
}

// rate returns the sum per second.
func (d *decayingSum) rate(now time.Duration) float64 {
	return d.value(now) * math.Ln2 / d.halfLife.Seconds()
}

// updatePlan computes a service's plan if the last one is outdated.
func (b *Balancer) updatePlan(now time.Duration, service string, s *serviceZones) {
	if s.planned && now-s.plannedAt < zonePlanInterval {
		return
	}
	b.measureServiceTime(now, service, s)
	s.planned, s.plannedAt = true, now
	b.updateZones(now, service, s)
	b.addZoneReports(now, s)
	in := zonerouting.Input{Own: s.zones[0], ServiceTime: s.serviceTime, Cost: b.zones.Cost, Previous: &s.plan}
	s.shareZones = s.shareZones[:0]
	for i := 1; i < len(s.zones); i++ {
		if s.reportAges[i] >= 0 {
			in.Others, s.shareZones = append(in.Others, s.zones[i]), append(s.shareZones, int32(i))
		}
	}
	s.plan = zonerouting.Compute(&in)
	s.costs = s.costs[:0]
	for i := range s.zones {
		cost := remoteZoneCost
		if s.serviceTime > 0 {
			cost = float64(zonerouting.NetworkTime(s.zones[i].Delay, b.zones.Cost)) / float64(s.serviceTime)
		}
		s.costs = append(s.costs, cost)
	}
}

// measureServiceTime updates the mean time for which a request occupies a slot: the slots that this
// gateway's requests occupy, divided by the requests that end per second (Little's law).
func (b *Balancer) measureServiceTime(now time.Duration, service string, s *serviceZones) {
	occupied := 0.0
	for _, t := range b.services[service] {
		if t.inFlight > 0 {
			occupied += float64(t.inFlight) * min(1, float64(t.Slots)/float64(max(1, t.load(now, b))))
		}
	}
	if s.plannedAt > 0 {
		s.busy.add(now, occupied*min(now-s.plannedAt, maxPlanGap).Seconds())
	}
	s.serviceTime = 0
	if n := s.completed.value(now); n >= minCompleted {
		s.serviceTime = time.Duration(s.busy.value(now) / n * float64(time.Second))
	}
}

// updateZones sums up a service's targets by zone, as this gateway knows them. The own zone is the
// first one.
func (b *Balancer) updateZones(now time.Duration, service string, s *serviceZones) {
	s.zones = append(s.zones[:0], zonerouting.Zone{Name: b.zone, Excess: math.Inf(1)})
	s.spansZones = false
	groupZones := make(map[*group]int32)
	for _, t := range b.services[service] {
		t.zoneIndex = s.index(t.AvailabilityZone)
		z, g := &s.zones[t.zoneIndex], b.groupOf(t)
		cost := failureCost * t.failureRate(now)
		if g != nil {
			cost += g.slownessCost(now, s.eventGap)
			if zone, known := groupZones[g]; known && zone != t.zoneIndex {
				s.spansZones = true
			}
			groupZones[g] = t.zoneIndex
		}
		t.passedOver = cost > maxPassedOver
		if t.passedOver || !b.takesWork(now, t) {
			continue
		}
		slots, load := float64(max(1, t.Slots)), float64(t.load(now, b))
		if g != nil {
			slots *= min(1, b.workShare(now, t, g, false))
		}
		z.Slots += slots
		z.Load += load
		z.Excess = min(z.Excess, max(0, load-slots)/slots)
	}
	for i := range s.zones {
		z := &s.zones[i]
		z.Delay = b.zones.delay(b.zone, z.Name)
		if z.Slots == 0 {
			z.Excess = 0
		}
	}
}

// takesWork reports whether a target gets work while it is below its limits.
func (b *Balancer) takesWork(now time.Duration, t *targetState) bool {
	why := b.refusalFor(now, t, &Request{}, nil)
	return now >= t.pausedUntil && (why == NotRefused || why == Full)
}

// index returns the index of a zone, which is added if it is new.
func (s *serviceZones) index(zone string) int32 {
	for i := range s.zones {
		if s.zones[i].Name == zone {
			return int32(i)
		}
	}
	s.zones = append(s.zones, zonerouting.Zone{Name: zone, Excess: math.Inf(1)})
	return int32(len(s.zones) - 1)
}

// ZoneLoad is what a gateway reports of its own zone for one service.
type ZoneLoad struct {
	// Service is the TargetKey of the service's name.
	Service uint32
	// Slots is the number of slots of the zone's targets that accept work, and Load the number of
	// requests at them.
	Slots, Load float64
	// Demand is the number of requests per second that reach the reporting gateway.
	Demand float64
}

// valid reports whether a report from a message has values that can occur.
func (l *ZoneLoad) valid() bool {
	const maxZoneWork = 1e8                                                // far more than any zone has
	const maxDemand = 1e5                                                  // the highest rate that is accepted, as for the rates of priorities
	inRange := func(v, limit float64) bool { return v >= 0 && v <= limit } // false for NaN
	return inRange(l.Slots, maxZoneWork) && inRange(l.Load, maxZoneWork) && inRange(l.Demand, maxDemand)
}

// zoneReport is the last report of another gateway.
type zoneReport struct {
	zone       string
	receivedAt time.Duration
	loads      map[uint32]ZoneLoad
}

// maxZoneLoads is the highest number of entries in a report. Further ones are ignored.
const maxZoneLoads = 32

// HandleZoneLoads handles another gateway's report of its zone. Invalid entries are ignored.
func (b *Balancer) HandleZoneLoads(now time.Duration, sender, zone string, loads []ZoneLoad) {
	if !b.zones.Enabled {
		return
	}
	if b.zones.reports == nil {
		b.zones.reports = make(map[string]zoneReport)
	}
	r := zoneReport{zone: zone, receivedAt: now, loads: make(map[uint32]ZoneLoad, min(len(loads), maxZoneLoads))}
	for _, l := range loads[:min(len(loads), maxZoneLoads)] {
		if l.valid() {
			r.loads[l.Service] = l
		}
	}
	b.zones.reports[sender] = r
}

// addZoneReports adds what other gateways have reported recently to a service's zones. The demand of
// a zone is the sum over its gateways; of slots and load the less favourable of the newest report
// and of what this gateway knows is used, since each may lag behind.
func (b *Balancer) addZoneReports(now time.Duration, s *serviceZones) {
	s.reportAges = slices.Repeat([]time.Duration{-1}, len(s.zones))
	s.zones[0].Demand = s.demand.rate(now)
	newest := make([]ZoneLoad, len(s.zones))
	for sender, r := range b.zones.reports {
		age := now - r.receivedAt
		if age > zoneReportMaxAge {
			delete(b.zones.reports, sender)
			continue
		}
		l, ok := r.loads[s.key]
		i := slices.IndexFunc(s.zones, func(z zonerouting.Zone) bool { return z.Name == r.zone })
		if !ok || i < 0 {
			continue
		}
		s.zones[i].Demand += l.Demand
		if s.reportAges[i] < 0 || age < s.reportAges[i] {
			s.reportAges[i], newest[i] = age, l
		}
	}
	for i := 1; i < len(s.zones); i++ {
		if z := &s.zones[i]; s.reportAges[i] >= 0 {
			z.Slots, z.Load = min(z.Slots, newest[i].Slots), max(z.Load, newest[i].Load)
		}
	}
}

// ZoneLoads returns this gateway's report of its zone: the services with the highest demand. It is
// nil if routing between zones is not enabled.
func (b *Balancer) ZoneLoads(now time.Duration) []ZoneLoad {
	if !b.zones.Enabled {
		return nil
	}
	var loads []ZoneLoad
	for service := range b.services {
		s := b.serviceZones(service)
		b.updatePlan(now, service, s)
		own := &s.zones[0]
		loads = append(loads, ZoneLoad{Service: s.key, Slots: own.Slots, Load: own.Load, Demand: s.demand.rate(now)})
	}
	for service := range b.zones.services {
		if len(b.services[service]) == 0 {
			delete(b.zones.services, service)
		}
	}
	slices.SortFunc(loads, func(x, y ZoneLoad) int {
		return cmp.Or(cmp.Compare(y.Demand, x.Demand), cmp.Compare(x.Service, y.Service))
	})
	return loads[:min(len(loads), maxZoneLoads)]
}

// ZoneStatus is the state of the routing of a service to one zone, for the log and the state dump.
type ZoneStatus struct {
	Service string  `json:"service"`
	Zone    string  `json:"zone"`
	Own     bool    `json:"own"`
	Slots   float64 `json:"slots"`
	Load    float64 `json:"load"`
	// Demand is the number of requests per second that reach gateways of the zone.
	Demand float64 `json:"demand"`
	// ReportAgeMs is the age of the zone's newest report; negative without one.
	ReportAgeMs int64 `json:"report_age_ms"`
	// PlanValid is false while targets are chosen without a plan, and SpansZones true if a
	// lock-step group has ranks in several zones.
	PlanValid  bool `json:"plan_valid"`
	SpansZones bool `json:"spans_zones"`
	// Outcome is the decision: local, none, spill or only-remote.
	Outcome string `json:"outcome"`
	// Fraction is the part of the own zone's requests that goes to the zone.
	Fraction      float64 `json:"fraction"`
	PredictedMs   float64 `json:"predicted_ms"`
	ServiceTimeMs float64 `json:"service_time_ms"`
	PlanAgeMs     int64   `json:"plan_age_ms"`
}

// ZoneStatus returns the state of the routing between zones, by service and zone.
func (b *Balancer) ZoneStatus(now time.Duration) []ZoneStatus {
	var list []ZoneStatus
	for service, s := range b.zones.services {
		for i := range s.zones {
			z := &s.zones[i]
			list = append(list, ZoneStatus{
				Service: service, Zone: z.Name, Own: i == 0, Slots: z.Slots, Load: z.Load, Demand: z.Demand,
				ReportAgeMs: ageMs(s.reportAges[i]), PlanValid: s.plan.Valid, SpansZones: s.spansZones,
				Outcome: "none", ServiceTimeMs: toMs(s.serviceTime), PlanAgeMs: (now - s.plannedAt).Milliseconds(),
			})
			s.describe(&list[len(list)-1], i)
		}
	}
	slices.SortFunc(list, func(x, y ZoneStatus) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Zone, y.Zone))
	})
	return list
}

// describe adds the decision on a zone.
func (s *serviceZones) describe(status *ZoneStatus, zone int) {
	if zone == 0 {
		status.Outcome, status.Fraction, status.PredictedMs = "local", 1, toMs(s.plan.LocalTime)
		for i := range s.plan.Shares {
			status.Fraction -= s.plan.Shares[i].Fraction
		}
		return
	}
	i := slices.Index(s.shareZones, int32(zone))
	if i < 0 || i >= len(s.plan.Shares) || s.spansZones {
		return
	}
	share := &s.plan.Shares[i]
	status.Fraction, status.PredictedMs = share.Fraction, toMs(share.Time)
	switch {
	case share.Fraction > 0 && s.plan.OnlyRemote:
		status.Outcome = ZoneOnlyRemote.String()
	case share.Fraction > 0:
		status.Outcome = ZoneSpill.String()
	}
}

// ageMs returns an age in milliseconds, -1 if there is none.
func ageMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
