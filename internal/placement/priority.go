package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/priority"
)

const (
	// rateWarmup is the time after the start for which the own rates are too low to be used.
	rateWarmup = time.Second
	// contactTimeout is the time without a message of any other gateway after which a gateway
	// keeps within its own part of the limits of services with levels.
	contactTimeout = 3 * time.Second
	// minToldRate is the least rate of arrivals, per second, that other gateways are told.
	minToldRate = 0.01
)

// serviceLevels is the state of a service whose requests have different priorities.
type serviceLevels struct {
	key   uint32
	meter priority.Meter
	// limit is the work limit at the last check.
	limit float64
}

// serviceSum contains the sums over the targets of a service that could get work: its load, this
// process's part of it, and its work limit.
type serviceSum struct {
	load, own int
	limit     float64
}

// add adds a target with the given load and limit.
func (t *serviceSum) add(s *targetState, load int, limit float64) {
	t.load += load
	t.own += s.inFlight
	t.limit += max(1, limit)
}

// SetLevels sets the services that have levels: those to which requests with different priorities
// are sent. The measured demand of a service is kept as long as it has levels.
func (b *Balancer) SetLevels(services map[string]bool) {
	next := make(map[string]*serviceLevels, len(services))
	for name := range services {
		if next[name] = b.levels[name]; next[name] == nil {
			next[name] = &serviceLevels{key: TargetKey(name)}
		}
	}
	b.levels = next
}

// RecordArrival records a caller's request to a service.
func (b *Balancer) RecordArrival(now time.Duration, service string, level int) {
	if l := b.levels[service]; l != nil {
		l.meter.RecordArrival(now, level)
	}
}

// RecordRefusal records that a caller's request was refused for lack of capacity. It returns the
// time after which the caller should retry; ok is false if none can be predicted. left is the time
// to the caller's deadline.
func (b *Balancer) RecordRefusal(now time.Duration, service string, level int, left time.Duration) (after time.Duration, ok bool) {
	l := b.levels[service]
	if l == nil {
		return 0, false
	}
	l.meter.RecordRefusal(now, level)
	return l.meter.RetryAfter(now, level, left, b.rng.Float64())
}

// checkLevel checks a request against the part of its service that its level may use.
func (b *Balancer) checkLevel(now time.Duration, l *serviceLevels, r *Request, sum *serviceSum) *priority.Check {
	load, limit := float64(sum.load), sum.limit
	l.limit = limit
	if b.isCutOff(now) {
		load, limit = float64(sum.own), limit/float64(len(b.members)+1)
	}
	c := priority.NewCheck(b.demand(now, l), r.Priority, load, limit)
	return &c
}

// headroom returns the headroom of a level as a fraction of the limit.
func (b *Balancer) headroom(now time.Duration, l *serviceLevels, level int) float64 {
	limit := max(1, l.limit)
	return priority.NewCheck(b.demand(now, l), level, 0, limit).Headroom / limit
}

// isCutOff reports whether nothing was heard for contactTimeout although other gateways are known.
func (b *Balancer) isCutOff(now time.Duration) bool {
	b.updateMembers(now)
	return len(b.members) > 0 && now-b.contactAt >= contactTimeout
}

// demand returns the demand of a service. It is that at all gateways, or that at this one while it
// is cut off. The result is valid until the next call.
func (b *Balancer) demand(now time.Duration, l *serviceLevels) priority.Levels {
	levels := b.demandBuffer[:0]
	if now >= rateWarmup {
		levels = append(levels, l.meter.Levels(now)...)
	}
	b.expirePeerWork(now)
	switch {
	case b.isCutOff(now):
	case b.totals.recent == 0:
		levels.Scale(float64(len(b.members) + 1)) // the other gateways are assumed to have the same demand
	default:
		levels = b.totals.demand.AddTo(levels, l.key)
	}
	b.demandBuffer = levels
	return levels
}

// restartGap is the time by which a report must precede the last one to be taken for that of a new
// process of the sender, and not for a late one.
const restartGap = 5 * time.Second

// IsOutdated reports whether a report of another gateway was sent before the last one, or is the
// same. sent is the time since the sender's start; zero means that it is unknown.
func (b *Balancer) IsOutdated(now time.Duration, peer string, sent time.Duration) bool {
	p := b.peers[peer]
	if sent <= 0 || p.sent <= 0 || now-p.receivedAt > b.peerReportMaxAge() {
		return false
	}
	return sent <= p.sent && sent > p.sent-restartGap
}

// HandlePeerDemand handles the demand in the last work report of another gateway, which was sent at
// the given time since its start. It is valid for as long as that report.
func (b *Balancer) HandlePeerDemand(peer string, sent time.Duration, demand []priority.Report) {
	p, known := b.peers[peer]
	if !known || !p.counted {
		return
	}
	b.totals.demand.Add(p.demand, -1)
	p.sent, p.demand = sent, priority.ValidReports(demand)
	b.totals.demand.Add(p.demand, 1)
	b.peers[peer] = p
}

// DemandToTell returns this gateway's demand for the other gateways, the most important levels first.
func (b *Balancer) DemandToTell(now time.Duration) []priority.Report {
	if now < rateWarmup {
		return nil
	}
	var reports []priority.Report
	for _, l := range b.levels {
		for _, level := range l.meter.Levels(now) {
			if level.Arrivals < minToldRate {
				continue
			}
			reports = append(reports, priority.Report{Service: l.key, Priority: level.Priority, Rates: level.Rates})
		}
	}
	slices.SortFunc(reports, func(a, b priority.Report) int { return cmp.Compare(a.Priority, b.Priority) })
	return reports[:min(len(reports), priority.MaxReports)]
}

// HasLevels reports whether any service has levels.
func (b *Balancer) HasLevels() bool { return len(b.levels) > 0 }

// LevelReserve is the part of a service's work limit that a level must leave free, in requests.
type LevelReserve struct {
	Service  string
	Priority int
	Reserve  float64
}

// Reserves returns the reserve of each level of which this process has had requests recently.
func (b *Balancer) Reserves(now time.Duration) []LevelReserve {
	var reserves []LevelReserve
	for name, l := range b.levels {
		var sum serviceSum
		for _, s := range b.services[name] {
			b.refusalFor(now, s, &Request{}, &sum)
		}
		demand := b.demand(now, l)
		for _, level := range l.meter.Levels(now) {
			c := priority.NewCheck(demand, level.Priority, 0, sum.limit)
			reserves = append(reserves, LevelReserve{Service: name, Priority: level.Priority, Reserve: c.Reserve})
		}
	}
	return reserves
}
