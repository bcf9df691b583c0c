package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiantrail/gentiantrail/internal/priority"
)

const (
	// peerReportMaxAge is the age up to which another gateway's report of its work is used, and
	// slowPeerReportMaxAge is used instead with more than fastPeers others, which report less
	// often.
	peerReportMaxAge     = time.Second
	slowPeerReportMaxAge = 2250 * time.Millisecond
	fastPeers            = 40
)

// peerReportMaxAge returns the age up to which reports of other gateways are used.
func (b *Balancer) peerReportMaxAge() time.Duration {
	if len(b.peers) > fastPeers {
		return slowPeerReportMaxAge
	}
	return peerReportMaxAge
}

// expiryCheckInterval is the interval at which outdated reports are looked for.
const expiryCheckInterval = 50 * time.Millisecond

// peerWork is the number of requests that another gateway has at each target, by
// TargetKey.
type peerWork struct {
	work map[uint32]int
	// demand is its demand for services with levels.
	demand []priority.Report
	// sent is when the report was sent, as the time since the sender's start; zero if unknown.
	sent       time.Duration
	receivedAt time.Duration
	// counted is true while the work is included in peerTotals.
	counted bool
}

// peerTotals contains the sums of the work of all other gateways with recent reports.
type peerTotals struct {
	work   map[uint32]int
	demand priority.Totals
	// recent is the number of gateways with recent reports.
	recent    int
	checkedAt time.Duration
}

// add adds the work and the demand of a gateway sign times.
func (t *peerTotals) add(p peerWork, sign int) {
	t.demand.Add(p.demand, sign)
	for key, n := range p.work {
		if t.work[key] += sign * n; t.work[key] == 0 {
			delete(t.work, key)
		}
	}
	t.recent += sign
}

// TargetKey returns a short key of a target's id for messages between gateways. If two
// targets have the same key, the work of both is counted for each of them.
func TargetKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// HandlePeerReport handles another gateway's report of its requests at each target.
// Targets that are missing from the report have none.
func (b *Balancer) HandlePeerReport(now time.Duration, peer string, work map[uint32]int) {
	old, known := b.peers[peer]
	if !known {
		b.membersChanged = true
	}
	if old.counted {
		b.totals.add(old, -1)
	}
	b.contactAt = now
	b.peers[peer] = peerWork{work: work, receivedAt: now, counted: true}
	b.totals.add(b.peers[peer], 1)
}

// peerWorkAt returns the number of requests that other gateways have at a target, and
// whether any of them has reported recently.
func (b *Balancer) peerWorkAt(now time.Duration, key uint32) (int, bool) {
	b.expirePeerWork(now)
	return b.totals.work[key], b.totals.recent > 0
}

// expirePeerWork removes outdated reports from the totals.
func (b *Balancer) expirePeerWork(now time.Duration) {
	if now-b.totals.checkedAt < expiryCheckInterval {
		return
	}
	b.totals.checkedAt = now
	maxAge := b.peerReportMaxAge()
	for name, p := range b.peers {
		if p.counted && now-p.receivedAt > maxAge {
			b.totals.add(p, -1)
			p.counted = false
			b.peers[name] = p
		}
	}
}

// WorkByTarget returns the number of requests that this process has at each target, by
// TargetKey, and omits targets without any.
func (b *Balancer) WorkByTarget() map[uint32]int {
	work := make(map[uint32]int, len(b.targets))
	for _, s := range b.targets {
		if s.inFlight > 0 {
			work[s.key] += s.inFlight
		}
	}
	return work
}
