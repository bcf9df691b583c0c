package mapper

import (
	"math/rand/v2"
	"net"
	"net/netip"
)

// relayFanout is the number of ranks to which a process passes on a request with a map. A map has
// a size of some kilobytes and every rank needs the whole of it, so that a leader that sent it to
// all ranks would occupy its link for longer than the demand lasts.
const relayFanout = 4

// relayTarget is a rank to which a request is to be passed on.
type relayTarget struct {
	_ struct{} `cbor:",toarray"`

	Rank int
	Addr netip.AddrPort
}

// relay sends a request to the targets: to relayFanout of them directly, each of which passes it
// on to a part of the others.
func (m *Mapper) relay(request roundRequest, targets []relayTarget) {
	for i := range min(relayFanout, len(targets)) {
		request.Relay = nil
		for j := i + relayFanout; j < len(targets); j += relayFanout {
			request.Relay = append(request.Relay, targets[j])
		}
		m.send(net.UDPAddrFromAddrPort(targets[i].Addr), datagram{Request: &request})
	}
}

// sendMaps sends the round's outstanding orders with a map. The order of the ranks is random, so
// that a rank that did not pass on the last request is unlikely to be asked again.
func (m *Mapper) sendMaps() {
	r := m.leaderState.round
	request := roundRequest{Round: r.id, ReplyTo: addrPort(m.address)}
	var targets []relayTarget
	for rank, o := range r.orders {
		mb := m.leaderState.members[rank]
		if _, answered := r.answers[rank]; answered || o.Map == nil || rank == m.local.Rank || mb == nil || mb.addr == nil {
			continue
		}
		if request.Order == nil { // all orders with a map are equal
			if r.packedMap == nil {
				r.packedMap = packMap(o.Map)
			}
			o.Map = nil
			request.Order, request.Map = &o, r.packedMap
		}
		targets = append(targets, relayTarget{Rank: rank, Addr: addrPort(mb.addr)})
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	m.relay(request, targets)
}
