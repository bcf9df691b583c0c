package mapper

import (
	"context"
	"encoding/binary"
	"errors"
	"math"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
)

// Socket sends and receives datagrams; *net.UDPConn implements it.
type Socket interface {
	ReadFromUDP(b []byte) (int, *net.UDPAddr, error)
	WriteToUDP(b []byte, addr *net.UDPAddr) (int, error)
	Close() error
}

func listenUDP(addr *net.UDPAddr) (Socket, error) { return net.ListenUDP("udp4", addr) }

// maxDatagram is the largest size of a datagram in bytes.
const maxDatagram = 60 << 10

// datagram is a message between the processes of a group, or from a gateway. One of the
// fields below Rank is set.
type datagram struct {
	Group string `cbor:"1,keyasint"`
	Rank  int    `cbor:"2,keyasint"`
	// Beacon indicates that the sender leads the group.
	Beacon    bool          `cbor:"3,keyasint,omitempty"`
	Heartbeat *heartbeat    `cbor:"4,keyasint,omitempty"`
	Request   *roundRequest `cbor:"5,keyasint,omitempty"`
	Answer    *roundAnswer  `cbor:"6,keyasint,omitempty"`
	// Collector is the address, in a beacon, to which the receiver reports its demand; if it is
	// not valid, the heartbeat to the leader contains the demand.
	Collector netip.AddrPort `cbor:"7,keyasint,omitzero"`
	// Demand is the report of a rank to its collector, and Collected that of a collector to the
	// leader.
	Demand    *demandReport `cbor:"8,keyasint,omitempty"`
	Collected *demandReport `cbor:"9,keyasint,omitempty"`
	// Subscribe and Busy are those of a hint.Message from a gateway.
	Subscribe bool `cbor:"20,keyasint,omitempty"`
	Busy      bool `cbor:"25,keyasint,omitempty"`
}

// heartbeat reports a rank's map to the leader, and its demand for experts if the rank has no
// collector.
type heartbeat struct {
	// Load is the recent demand by layer and expert, as quantise encodes it.
	Load []byte `cbor:"1,keyasint,omitempty"`
	// Max is the demand for the most demanded expert.
	Max     float64 `cbor:"2,keyasint"`
	Version int64   `cbor:"3,keyasint"`
	// Experts contains the rank's experts in the map; it is empty in most heartbeats.
	Experts [][]uint16 `cbor:"4,keyasint,omitempty"`
	// Shifted indicates that the demand has recently shifted.
	Shifted bool `cbor:"5,keyasint,omitempty"`
}

// roundRequest is the leader's request to one rank in a round.
type roundRequest struct {
	Round uint64           `cbor:"1,keyasint"`
	Order *mapswitch.Order `cbor:"2,keyasint,omitempty"`
	// Map is the order's map as packMap encodes it; the order's own Map field is then
	// empty.
	Map []byte `cbor:"3,keyasint,omitempty"`
	// ReplyTo is the address of the leader if another rank has passed on the request.
	ReplyTo netip.AddrPort `cbor:"4,keyasint,omitzero"`
	// Relay contains the ranks to which the receiver passes on the request.
	Relay []relayTarget `cbor:"5,keyasint,omitempty"`
}

// packMap encodes a map as unsigned varints: the number of layers; for each layer the
// number of ranks; and for each rank the number of its experts and then the experts.
func packMap(rows [][][]uint16) []byte {
	b := binary.AppendUvarint(nil, uint64(len(rows)))
	for _, ranks := range rows {
		b = binary.AppendUvarint(b, uint64(len(ranks)))
		for _, experts := range ranks {
			b = binary.AppendUvarint(b, uint64(len(experts)))
			for _, e := range experts {
				b = binary.AppendUvarint(b, uint64(e))
			}
		}
	}
	return b
}

// errMalformedMap means that a packed map can't be decoded.
var errMalformedMap = errors.New("packed expert map is malformed")

// mapReader decodes the numbers of a packed map. After the first error it returns only
// zeros.
type mapReader struct {
	rest   []byte
	failed bool
}

// number decodes a number that must not exceed limit.
func (r *mapReader) number(limit int) int {
	v, n := binary.Uvarint(r.rest)
	if r.failed || n <= 0 || v > uint64(limit) {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return int(v)
}

// length decodes the length of a list, each item of which takes at least one byte.
func (r *mapReader) length() int { return r.number(len(r.rest)) }

// unpackMap reverses packMap.
func unpackMap(b []byte) ([][][]uint16, error) {
	r := &mapReader{rest: b}
	rows := make([][][]uint16, r.length())
	for l := range rows {
		rows[l] = make([][]uint16, r.length())
		for rank := range rows[l] {
			rows[l][rank] = make([]uint16, r.length())
			for i := range rows[l][rank] {
				rows[l][rank][i] = uint16(r.number(math.MaxUint16))
			}
		}
	}
	if r.failed || len(rows) == 0 || len(r.rest) > 0 {
		return nil, errMalformedMap
	}
	return rows, nil
}

// roundAnswer is a rank's answer to a roundRequest.
type roundAnswer struct {
	Round uint64          `cbor:"1,keyasint"`
	State mapswitch.State `cbor:"2,keyasint"`
}

func (m *Mapper) send(to *net.UDPAddr, d datagram) {
	d.Group, d.Rank = m.local.Group, m.local.Rank
	b, err := cbor.Marshal(d)
	if err != nil {
		m.opts.Logger.Error().Str("event", "encode").Err(err).Msg("")
		return
	}
	m.sendRaw(to, b)
}

func (m *Mapper) sendRaw(to *net.UDPAddr, b []byte) {
	if _, err := m.socket.WriteToUDP(b, to); err != nil {
		m.opts.Logger.Debug().Str("event", "send-failed").Str("to", to.String()).Err(err).Msg("")
	}
}

// receive passes datagrams to the goroutine of Run.
func (m *Mapper) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := m.socket.ReadFromUDP(buf)
		if err != nil {
			time.Sleep(time.Millisecond) // prevents a busy loop on a persistent error
			continue
		}
		var d datagram
		if err := cbor.Unmarshal(buf[:n], &d); err != nil {
			m.opts.Logger.Warn().Str("event", "datagram-refused").Str("from", from.String()).Err(err).Msg("")
			continue
		}
		m.post(ctx, func(ctx context.Context, m *Mapper) { m.handleDatagram(ctx, from, &d) })
	}
}

func (m *Mapper) handleDatagram(ctx context.Context, from *net.UDPAddr, d *datagram) {
	if d.Subscribe {
		m.handleSubscription(from, d.Busy)
		return
	}
	m.peers[from.String()] = from
	if d.Group != m.local.Group || d.Group == "" {
		return
	}
	switch {
	case d.Beacon:
		m.handleBeacon(from, d.Rank, d.Collector)
	case d.Heartbeat != nil && m.isLeader:
		m.leaderState.handleHeartbeat(from, d.Rank, d.Heartbeat)
	case d.Demand != nil:
		m.collector.record(time.Now(), d.Rank, d.Demand)
	case d.Collected != nil && m.isLeader:
		m.leaderState.recordDemand(d.Rank, d.Collected)
	case d.Request != nil:
		m.handleRequest(ctx, from, d.Request)
	case d.Answer != nil && m.leaderState != nil && m.leaderState.round != nil:
		m.leaderState.round.recordAnswer(d.Rank, d.Answer)
	}
}
