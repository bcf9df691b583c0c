package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/settings"
)

// zoneLoad is a placement.ZoneLoad in a message.
type zoneLoad struct {
	_ struct{} `cbor:",toarray"`

	Service             uint32
	Slots, Load, Demand float32
}

func newZoneLoads(loads []placement.ZoneLoad) []zoneLoad {
	out := make([]zoneLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, zoneLoad{Service: l.Service, Slots: float32(l.Slots), Load: float32(l.Load), Demand: float32(l.Demand)})
	}
	return out
}

func decodeZoneLoads(loads []zoneLoad) []placement.ZoneLoad {
	out := make([]placement.ZoneLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, placement.ZoneLoad{Service: l.Service, Slots: float64(l.Slots), Load: float64(l.Load), Demand: float64(l.Demand)})
	}
	return out
}

// setZoneSettings passes the settings of the routing between zones and the delays of a
// configuration to the balancer. If several services state a delay, the longest one counts.
func (g *Gateway) setZoneSettings(s settings.ZoneRouting, config *fleet.Config) {
	z := placement.ZoneSettings{Enabled: s.Enabled, Cost: s.Cost(), Delays: map[placement.ZonePair]time.Duration{}}
	if config != nil {
		for i := range config.Services {
			if e := config.Services[i].Engine; e != nil {
				for _, d := range e.Delays {
					pair := placement.ZonePair{From: d.From, To: d.To}
					z.Delays[pair] = max(z.Delays[pair], d.Delay)
				}
			}
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SetZoneSettings(z)
}

// maxCountedZones bounds the availability zones with counters of their own, since their names come
// from the store; further ones are counted as otherZones.
const (
	maxCountedZones = 64
	otherZones      = "other"
)

// zoneCounters count requests by the availability zone of their target and the reason for it.
// They are guarded by Gateway.mu.
type zoneCounters struct {
	scope    tally.Scope
	from     string
	counters map[zoneCounterKey]tally.Counter
	zones    map[string]bool
}

type zoneCounterKey struct {
	to     string
	reason placement.ZoneReason
}

func newZoneCounters(scope tally.Scope, from string) *zoneCounters {
	return &zoneCounters{scope: scope, from: from, counters: map[zoneCounterKey]tally.Counter{}, zones: map[string]bool{}}
}

// inc counts a request.
func (c *zoneCounters) inc(to string, reason placement.ZoneReason) {
	if !c.zones[to] {
		if len(c.zones) >= maxCountedZones {
			to = otherZones
		} else {
			c.zones[to] = true
		}
	}
	key := zoneCounterKey{to: to, reason: reason}
	counter := c.counters[key]
	if counter == nil {
		counter = c.scope.Tagged(map[string]string{"from": c.from, "to": to, "reason": reason.String()}).Counter("requests_by_zone")
		c.counters[key] = counter
	}
	counter.Inc(1)
}

// zoneLogInterval is the least time between two log lines on the same service and zone.
const zoneLogInterval = time.Second

// zoneLog contains the decision that was logged last for each service and zone. Without an entry
// nothing is sent to the zone.
type zoneLog map[zoneLogKey]zoneLogEntry

type zoneLogKey struct{ service, zone string }

type zoneLogEntry struct {
	outcome string
	at      time.Duration
	// seen is true while the service has targets in the zone.
	seen bool
}

// due records a decision and reports whether it has changed and is to be logged now. A change that
// comes too early is logged by a later call unless it is reverted.
func (l zoneLog) due(now time.Duration, s *placement.ZoneStatus) bool {
	key := zoneLogKey{service: s.Service, zone: s.Zone}
	old, known := l[key]
	old.seen = true
	changed := old.outcome != s.Outcome && (known || s.Outcome != noZoneOutcome)
	if changed && (!known || now-old.at >= zoneLogInterval) {
		l[key] = zoneLogEntry{outcome: s.Outcome, at: now, seen: true}
		return true
	}
	if known {
		l[key] = old
	}
	return false
}

// noZoneOutcome is the outcome for a zone to which nothing is sent.
const noZoneOutcome = "none"

// prune removes the entries of zones that due has not seen since the last call.
func (l zoneLog) prune() {
	for key, e := range l {
		if !e.seen {
			delete(l, key)
			continue
		}
		e.seen = false
		l[key] = e
	}
}

// logZones writes a log line for each other zone on which the decision of this gateway has changed.
func (c *control) logZones() {
	if !c.zoneSettings.Enabled && len(c.zoneLog) == 0 {
		return
	}
	now := c.g.now()
	c.g.mu.Lock()
	list := c.g.balancer.ZoneStatus(now)
	c.g.mu.Unlock()
	local := map[string]float64{}
	for i := range list {
		if list[i].Own {
			local[list[i].Service] = list[i].PredictedMs
		}
	}
	for i := range list {
		s := &list[i]
		if s.Own || !c.zoneLog.due(now, s) {
			continue
		}
		c.g.opts.Logger.Info().Str("event", "belief").Str("topic", "zones").Str("subject", s.Service).
			Str("from", c.g.opts.Settings.AvailabilityZone).Str("to", s.Zone).Str("outcome", s.Outcome).
			Float64("fraction", s.Fraction).Float64("local_ms", local[s.Service]).Float64("remote_ms", s.PredictedMs).
			Float64("demand", s.Demand).Float64("slots", s.Slots).Int64("report_age_ms", s.ReportAgeMs).Msg("")
	}
	c.zoneLog.prune()
}
