package placement

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/zonerouting"
)

const (
	// zonePlanInterval is the least time between two plans of a service.
	zonePlanInterval = 100 * time.Millisecond
	// zoneReportMaxAge is the age up to which another gateway's report of its zone is used. Gateways
	// of other zones report every 0.9 s if there are many, and one report may be lost.
	zoneReportMaxAge = 2250 * time.Millisecond
	// maxPassedOver is the cost of failures and of a slow group above which a target counts as
	// unusable in the choice of a zone.
	maxPassedOver = 0.5
	// unreportedZoneCost makes targets of zones without recent reports the last ones among those
	// that are used if the preferred zone has no usable target: they may be cut off.
	unreportedZoneCost = 1.0
	// defaultZoneDelay is the delay between two zones for which none is configured.
	defaultZoneDelay = time.Millisecond
)

// ZonePair is a direction between two availability zones.
type ZonePair struct{ From, To string }

// ZoneSettings configure the routing between availability zones.
type ZoneSettings struct {
	Enabled bool
	// Cost is the time that operators would accept to keep a request in its zone.
	Cost time.Duration
	// Delays contains the time that a message takes between two zones.
	Delays map[ZonePair]time.Duration
}

// delay returns the delay between two zones, that of the opposite direction if only this one is
// known.
func (z *ZoneSettings) delay(from, to string) time.Duration {
	if d, ok := z.Delays[ZonePair{From: from, To: to}]; ok {
		return d
	}
	if d, ok := z.Delays[ZonePair{From: to, To: from}]; ok {
		return d
	}
	return defaultZoneDelay
}

// ZoneReason tells why a request goes to the zone of its target.
type ZoneReason uint8

// The reasons.
const (
	// ZoneUnplanned means that routing between zones is not enabled.
	ZoneUnplanned ZoneReason = iota
	// ZoneLocal means that the target is in the gateway's zone.
	ZoneLocal
	// ZoneSpill means that the target is in another zone although the own one has targets.
	ZoneSpill
	// ZoneOnlyRemote means that the own zone has no targets.
	ZoneOnlyRemote
)

// String returns the reason's name for metrics.
func (r ZoneReason) String() string {
	return [...]string{"unplanned", "local", "spill", "only-remote"}[r]
}

// zoneRouter keeps what is needed to choose the availability zone of a request.
type zoneRouter struct {
	ZoneSettings

	services map[string]*serviceZones
	// reports contains the last report of each other gateway, by its name.
	reports map[string]zoneReport
}

// serviceZones is the state of one service. Zone 0 is the own one.
type serviceZones struct {
	key uint32
	// demand counts the requests that reach this gateway, completed those that were answered, and
	// busy the time that they occupied slots, in seconds.
	demand, completed, busy decayingSum
	zones                   []zonerouting.Zone
	// reportAges contains the ages of the zones' reports; negative without one.
	reportAges []time.Duration
	plan       zonerouting.Plan
	// shareZones contains the index in zones of each share of the plan.
	shareZones  []int32
	serviceTime time.Duration
	// costs contains the cost of the network to each zone, in service times.
	costs []float64
	// spansZones is true if a lock-step group of the service has ranks in several zones. They are
	// equally fast, and the balance of ranks is what counts.
	spansZones bool
	// eventGap is the objective of the last request.
	eventGap  time.Duration
	plannedAt time.Duration
	planned   bool
}

// SetZoneSettings configures the routing between availability zones.
func (b *Balancer) SetZoneSettings(s ZoneSettings) {
	b.zones.ZoneSettings = s
	if !s.Enabled {
		b.zones.services, b.zones.reports = nil, nil
	}
	b.zones.invalidate()
}

// invalidate makes the next request of each service compute a new plan.
func (z *zoneRouter) invalidate() {
	for _, s := range z.services {
		s.planned = false
	}
}

// serviceZones returns the state of a service that has targets; nil if it has none or if routing
// between zones is not enabled.
func (b *Balancer) serviceZones(service string) *serviceZones {
	if !b.zones.Enabled {
		return nil
	}
	if s := b.zones.services[service]; s != nil {
		return s
	}
	if len(b.services[service]) == 0 {
		return nil
	}
	s := &serviceZones{
		key: TargetKey(service), demand: decayingSum{halfLife: time.Second},
		completed: decayingSum{halfLife: serviceTimeHalfLife}, busy: decayingSum{halfLife: serviceTimeHalfLife},
	}
	if b.zones.services == nil {
		b.zones.services = make(map[string]*serviceZones)
	}
	b.zones.services[service] = s
	return s
}

// zoneRoute is the choice of a zone for one request.
type zoneRoute struct {
	// restricted is true if targets of zone are preferred to all others.
	restricted bool
	zone       int32
}

// zoneRoute chooses the zone whose targets are preferred for a request.
func (b *Balancer) zoneRoute(now time.Duration, r *Request) zoneRoute {
	s := b.serviceZones(r.Service)
	if s == nil {
		return zoneRoute{}
	}
	s.eventGap = r.EventGap
	b.updatePlan(now, r.Service, s)
	if !s.plan.Valid || s.spansZones {
		return zoneRoute{}
	}
	if i := s.plan.Pick(b.rng.Float64()); i >= 0 {
		return zoneRoute{restricted: true, zone: s.shareZones[i]}
	}
	return zoneRoute{restricted: true}
}

// passesOver reports whether a usable target is a candidate only if no other one is usable.
func (z zoneRoute) passesOver(s *targetState) bool {
	return z.restricted && (s.zoneIndex != z.zone || s.passedOver)
}

// zoneCost returns the cost of a target's availability zone.
func (b *Balancer) zoneCost(s *targetState) float64 {
	if s.AvailabilityZone == b.zone {
		return 0
	}
	if !b.zones.Enabled {
		return remoteZoneCost
	}
	if z := b.zones.services[s.Service]; z != nil && z.planned && z.plan.Valid && int(s.zoneIndex) < len(z.costs) {
		cost := z.costs[s.zoneIndex]
		if z.reportAges[s.zoneIndex] < 0 && !z.spansZones {
			cost += unreportedZoneCost
		}
		return cost
	}
	return remoteZoneCost
}

// zoneReason returns why a request goes to the zone of a target.
func (b *Balancer) zoneReason(s *targetState) ZoneReason {
	z := b.serviceZones(s.Service)
	switch {
	case z == nil:
		return ZoneUnplanned
	case s.AvailabilityZone == b.zone:
		return ZoneLocal
	case len(z.zones) > 0 && z.zones[0].Slots > 0:
		return ZoneSpill
	default:
		return ZoneOnlyRemote
	}
}

// recordArrival counts a request that is new to this gateway. One that waits for a group asks
// again.
func (b *Balancer) recordArrival(now time.Duration, r *Request, refusal Refusal) {
	if len(r.Tried) > 0 || refusal == GroupDown {
		return
	}
	if s := b.serviceZones(r.Service); s != nil {
		s.demand.add(now, 1)
	}
}

// recordCompletion counts a request that was answered.
func (b *Balancer) recordCompletion(now time.Duration, s *targetState, result Result) {
	if !b.zones.Enabled || result != Answered {
		return
	}
	if z := b.zones.services[s.Service]; z != nil {
		z.completed.add(now, 1)
	}
}
