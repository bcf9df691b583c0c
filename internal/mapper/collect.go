package mapper

import (
	"net"
	"net/netip"
	"slices"
	"time"
)

// In a group of more than collectorBlock ranks, the ranks are divided into blocks of that many.
// The leader appoints a collector in each block, to which the ranks of the block report their
// demand for experts. The collector reports the sum to the leader, whose link could not carry
// the reports of all ranks.
const (
	collectorBlock = 22
	// collectedMaxAge is the age up to which a collector includes a rank's report in the sum.
	collectedMaxAge = 1200 * time.Millisecond
	// collectorTimeout is the time without the demand of a rank after which the leader appoints
	// another collector in its block.
	collectorTimeout = 1500 * time.Millisecond
)

// demandReport is the demand for experts of one rank or of several.
type demandReport struct {
	// Load is the recent demand by layer and expert, as quantise encodes it.
	Load []byte `cbor:"1,keyasint"`
	// Max is the demand for the most demanded expert.
	Max float64 `cbor:"2,keyasint"`
	// Ranks contains the ranks whose demand is included; it is empty in a rank's own report.
	Ranks []int `cbor:"3,keyasint,omitempty"`
	// Shifted indicates that the demand has recently shifted.
	Shifted bool `cbor:"4,keyasint,omitempty"`
}

// rankDemand is the demand of one rank or of several at the time of its report.
type rankDemand struct {
	load       []float64
	ranks      []int
	reportedAt time.Time
}

// collector gathers the reports of the ranks of a block.
type collector struct {
	reports map[int]rankDemand
	// sentAt is the time of the last report to the leader. shifted is true if the demand of a
	// rank has shifted since then.
	sentAt  time.Time
	shifted bool
}

// record records a rank's report.
func (c *collector) record(now time.Time, rank int, d *demandReport) {
	if c.reports == nil {
		c.reports = make(map[int]rankDemand)
	}
	c.reports[rank] = rankDemand{load: dequantise(d.Load, d.Max), reportedAt: now}
	c.shifted = c.shifted || d.Shifted
}

// sum returns the sum of the recent reports, or nil if there are none.
func (c *collector) sum(now time.Time) *demandReport {
	d := &demandReport{Shifted: c.shifted}
	var total []int64
	for rank, r := range c.reports {
		if now.Sub(r.reportedAt) > collectedMaxAge {
			delete(c.reports, rank)
			continue
		}
		if total == nil {
			total = make([]int64, len(r.load))
		}
		if len(r.load) != len(total) {
			continue // the rank runs another engine
		}
		for i, v := range r.load {
			total[i] += int64(v)
		}
		d.Ranks = append(d.Ranks, rank)
	}
	if len(d.Ranks) == 0 {
		return nil
	}
	slices.Sort(d.Ranks)
	d.Load, d.Max = quantise(total)
	return d
}

// forwardDemand reports the collected demand to the leader when it is due.
func (m *Mapper) forwardDemand(now time.Time) {
	c := &m.collector
	if len(c.reports) == 0 || !c.shifted && now.Sub(c.sentAt) < m.heartbeatInterval() {
		return
	}
	d := c.sum(now)
	c.sentAt, c.shifted = now, false
	if d != nil {
		m.sendToLeader(datagram{Collected: d})
	}
}

// recordDemand records the demand of some ranks, which the sender has reported.
func (l *leaderState) recordDemand(sender int, d *demandReport) {
	if len(d.Load) != l.shape.Layers*l.shape.Experts {
		return
	}
	now := time.Now()
	l.demands[sender] = rankDemand{load: dequantise(d.Load, d.Max), ranks: d.Ranks, reportedAt: now}
	for _, rank := range d.Ranks {
		if mb := l.members[rank]; mb != nil {
			mb.demandAt = now
		}
	}
	l.recordShiftReport(d.Shifted)
}

// collectorOf returns the address of the process that collects the demand of a rank, or an
// invalid address if the rank reports to the leader itself.
func (l *leaderState) collectorOf(rank int) netip.AddrPort {
	if l.shape.Ranks <= collectorBlock {
		return netip.AddrPort{}
	}
	block := rank / collectorBlock
	a, appointed := l.collectors[block]
	if !appointed || !l.rankSeen(a.rank) || time.Since(a.since) > collectorTimeout && l.demandMissing(block) {
		a = appointment{rank: l.nextCollector(block, a.rank), since: time.Now()}
		l.collectors[block] = a
	}
	mb := l.members[a.rank]
	if mb == nil || mb.addr == nil {
		return netip.AddrPort{}
	}
	return addrPort(mb.addr)
}

// appointment is the choice of a block's collector.
type appointment struct {
	rank  int
	since time.Time
}

// nextCollector returns the live rank of a block that follows the last one, but not the leader
// itself; -1 if there is none.
func (l *leaderState) nextCollector(block, last int) int {
	first := block * collectorBlock
	size := min(collectorBlock, l.shape.Ranks-first)
	for i := range size {
		rank := first + (max(last-first, 0)+1+i)%size
		if mb := l.members[rank]; l.rankSeen(rank) && mb.addr != nil {
			return rank
		}
	}
	return -1
}

// demandMissing reports whether the demand of a live rank of a block has not been reported within
// collectorTimeout.
func (l *leaderState) demandMissing(block int) bool {
	first := block * collectorBlock
	for rank := first; rank < min(first+collectorBlock, l.shape.Ranks); rank++ {
		if l.rankSeen(rank) && time.Since(l.members[rank].demandAt) > collectorTimeout {
			return true
		}
	}
	return false
}

// rankSeen reports whether a rank has sent a heartbeat within memberTimeout.
func (l *leaderState) rankSeen(rank int) bool {
	mb := l.members[rank]
	return mb != nil && time.Since(mb.lastSeen) <= memberTimeout
}

// addrPort returns a UDP address in a form that a datagram can contain.
func addrPort(a *net.UDPAddr) netip.AddrPort {
	p := a.AddrPort()
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port())
}
