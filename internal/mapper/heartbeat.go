package mapper

import (
	"net"
	"net/netip"
	"time"
)

// handleBeacon accepts the sender as leader if its rank is not above that of the known
// leader, or if no leader is known or the known leader has timed out.
func (m *Mapper) handleBeacon(from *net.UDPAddr, rank int, collector netip.AddrPort) {
	stale := time.Since(m.leader.lastBeacon) > leaderTimeout
	if m.leader.addr == nil || stale || rank <= m.leader.rank {
		m.leader = knownLeader{rank: rank, addr: from, lastBeacon: time.Now(), collector: collector}
	}
}

// sendBeacon notifies all known processes that this one leads.
func (m *Mapper) sendBeacon() {
	ranks := make(map[string]int, len(m.leaderState.members))
	for rank, mb := range m.leaderState.members {
		if mb.addr != nil {
			ranks[mb.addr.String()] = rank
		}
	}
	for key, p := range m.peers {
		d := datagram{Beacon: true}
		if rank, ok := ranks[key]; ok {
			d.Collector = m.leaderState.collectorOf(rank)
		}
		m.send(p, d)
	}
}

// sendHeartbeat reports the local rank's map to the leader, and its demand to the collector if
// there is one, otherwise to the leader too.
func (m *Mapper) sendHeartbeat() {
	load, largest := quantise(m.counts.delta())
	shifted := time.Since(m.shiftedAt) < shiftReportTime
	h := &heartbeat{Version: m.rows.active.Version, Shifted: shifted}
	if m.rowsDue() {
		h.Experts = m.rows.active.Experts
	}
	if to := m.ownCollector(); to.IsValid() {
		m.sendDemand(to, &demandReport{Load: load, Max: largest, Shifted: shifted})
	} else {
		h.Load, h.Max = load, largest
	}
	if m.isLeader {
		m.leaderState.handleHeartbeat(nil, m.local.Rank, h)
		return
	}
	m.sendToLeader(datagram{Heartbeat: h})
}

const (
	// rowsRepeats is the number of heartbeats that contain the rank's experts after a change of
	// the map or of the leader, since any of them may be lost. After that, one in rowsInterval
	// heartbeats contains them.
	rowsRepeats  = 3
	rowsInterval = 4
)

// rowsRecipient identifies the map and the leader to which it is reported.
type rowsRecipient struct {
	epoch, version int64
	leader         int
}

// rowsDue reports whether the next heartbeat contains the experts of the local rank.
func (m *Mapper) rowsDue() bool {
	to := rowsRecipient{epoch: m.local.State.Epoch, version: m.rows.active.Version, leader: m.leader.rank}
	if m.isLeader || to != m.rowsSentTo {
		m.rowsSentTo, m.heartbeatsSent = to, 0
	}
	m.heartbeatsSent++
	return m.heartbeatsSent <= rowsRepeats || m.heartbeatsSent%rowsInterval == 0
}

// ownCollector returns the address of the process that collects the demand of the local rank; it
// is not valid if there is none.
func (m *Mapper) ownCollector() netip.AddrPort {
	if m.isLeader {
		return m.leaderState.collectorOf(m.local.Rank)
	}
	return m.leader.collector
}

// sendDemand reports the demand of the local rank to a collector.
func (m *Mapper) sendDemand(to netip.AddrPort, d *demandReport) {
	if to == addrPort(m.address) {
		m.collector.record(time.Now(), m.local.Rank, d)
		return
	}
	m.send(net.UDPAddrFromAddrPort(to), datagram{Demand: d})
}

// sendToLeader sends a datagram to the leader, if one is known.
func (m *Mapper) sendToLeader(d datagram) {
	if m.leader.addr != nil && time.Since(m.leader.lastBeacon) < leaderTimeout {
		m.send(m.leader.addr, d)
	}
}
