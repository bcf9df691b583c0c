package mapper

import (
	"context"
	"encoding/binary"
	"errors"
	"math"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
)

// maxDatagram is the largest datagram, in bytes.
const maxDatagram = 60 << 10

// datagram is what the processes of a group send each other; one of the last four
// fields is set.
type datagram struct {
	Group string `cbor:"1,keyasint"`
	Rank  int    `cbor:"2,keyasint"`
	// Beacon says that the sender leads.
	Beacon bool        `cbor:"3,keyasint,omitempty"`
	Hello  *helloBody  `cbor:"4,keyasint,omitempty"`
	Ask    *askBody    `cbor:"5,keyasint,omitempty"`
	Answer *answerBody `cbor:"6,keyasint,omitempty"`
	// Subscribe is set in a gateway's datagram.
	Subscribe bool `cbor:"20,keyasint,omitempty"`
}

// helloBody tells the leader of a rank's demand for experts and its map.
type helloBody struct {
	// Load is the recent demand by layer and expert, as quantise writes it.
	Load []byte `cbor:"1,keyasint"`
	// Most is the demand for the expert that is wanted most.
	Most    float64    `cbor:"2,keyasint"`
	Version int64      `cbor:"3,keyasint"`
	Experts [][]uint16 `cbor:"4,keyasint"`
	// Shifted tells that the demand has just become another one.
	Shifted bool `cbor:"5,keyasint,omitempty"`
}

// askBody is the leader's part of a round for one rank.
type askBody struct {
	Round uint64           `cbor:"1,keyasint"`
	Order *mapswitch.Order `cbor:"2,keyasint,omitempty"`
	// Map is the order's map as packMap writes it; it is left out of Order.
	Map []byte `cbor:"3,keyasint,omitempty"`
}

// packMap writes a map by layer and rank: the number of experts of a row, then the
// experts, each as an unsigned varint.
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

// errMap means that a packed map can't be read.
var errMap = errors.New("the map is malformed")

// mapReader reads the numbers of a packed map; after the first fault it reads nothing.
type mapReader struct {
	left   []byte
	failed bool
}

// number reads one number of at most limit.
func (r *mapReader) number(limit int) int {
	v, n := binary.Uvarint(r.left)
	if r.failed || n <= 0 || v > uint64(limit) {
		r.failed = true
		return 0
	}
	r.left = r.left[n:]
	return int(v)
}

// count reads the length of a list, of which each item takes a byte or more.
func (r *mapReader) count() int { return r.number(len(r.left)) }

// unpackMap reverses packMap.
func unpackMap(b []byte) ([][][]uint16, error) {
	r := &mapReader{left: b}
	rows := make([][][]uint16, r.count())
	for l := range rows {
		rows[l] = make([][]uint16, r.count())
		for rank := range rows[l] {
			rows[l][rank] = make([]uint16, r.count())
			for i := range rows[l][rank] {
				rows[l][rank][i] = uint16(r.number(math.MaxUint16))
			}
		}
	}
	if r.failed || len(rows) == 0 || len(r.left) > 0 {
		return nil, errMap
	}
	return rows, nil
}

// answerBody is a rank's answer to it.
type answerBody struct {
	Round uint64          `cbor:"1,keyasint"`
	State mapswitch.State `cbor:"2,keyasint"`
}

func (m *Mapper) send(to *net.UDPAddr, d datagram) {
	d.Group, d.Rank = m.own.Group, m.own.Rank
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

// receive hands datagrams to the owner goroutine.
func (m *Mapper) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := m.socket.ReadFromUDP(buf)
		if err != nil {
			time.Sleep(time.Millisecond) // an error that stays must not spin
			continue
		}
		var d datagram
		if err := cbor.Unmarshal(buf[:n], &d); err != nil {
			m.opts.Logger.Warn().Str("event", "datagram-refused").Str("from", from.String()).Err(err).Msg("")
			continue
		}
		m.post(ctx, func(ctx context.Context, m *Mapper) { m.received(ctx, from, &d) })
	}
}

func (m *Mapper) received(ctx context.Context, from *net.UDPAddr, d *datagram) {
	if d.Subscribe {
		m.subscribe(ctx, from)
		return
	}
	m.peers[from.String()] = from
	if d.Group != m.own.Group || d.Group == "" {
		return
	}
	switch {
	case d.Beacon:
		m.heardBeacon(from, d.Rank)
	case d.Hello != nil && m.leading:
		m.lead.heard(from, d.Rank, d.Hello)
	case d.Ask != nil:
		m.answer(ctx, from, d.Ask)
	case d.Answer != nil && m.lead != nil && m.lead.round != nil:
		m.lead.round.answered(d.Rank, d.Answer)
	}
}

// heardBeacon believes the lowest rank that says it leads.
func (m *Mapper) heardBeacon(from *net.UDPAddr, rank int) {
	stale := time.Since(m.leader.heard) > leaderTimeout
	if m.leader.addr == nil || stale || rank <= m.leader.rank {
		m.leader = leader{rank: rank, addr: from, heard: time.Now()}
	}
}

// beacon tells all known processes that this one leads.
func (m *Mapper) beacon() {
	for _, p := range m.peers {
		m.send(p, datagram{Beacon: true})
	}
}

// hello tells the leader of the own rank.
func (m *Mapper) hello() {
	h := m.ownHello()
	if m.leading {
		m.lead.heard(nil, m.own.Rank, h)
		return
	}
	if m.leader.addr != nil && time.Since(m.leader.heard) < leaderTimeout {
		m.send(m.leader.addr, datagram{Hello: h})
	}
}

func (m *Mapper) ownHello() *helloBody {
	load, most := quantise(m.counts.delta())
	return &helloBody{
		Load: load, Most: most, Version: m.lists.inForce.Version, Experts: m.lists.inForce.Experts,
		Shifted: time.Since(m.shiftedAt) < shiftTold,
	}
}

// discover looks up the engine's description and the other processes of the service
// in the store, while the group is not complete.
func (m *Mapper) discover(ctx context.Context) {
	complete := m.engine != nil && (!m.leading && m.leader.addr != nil && time.Since(m.leader.heard) < leaderTimeout ||
		m.leading && m.lead.complete(m.own.Size))
	if complete || m.looking || time.Since(m.lookAt) < discoverInterval {
		return
	}
	m.looking, m.lookAt = true, time.Now()
	needConfig := m.engine == nil
	go func() {
		found := m.lookUp(ctx, needConfig)
		m.post(ctx, found)
	}()
}

// lookUp reads the store and returns the event that takes the result in.
func (m *Mapper) lookUp(ctx context.Context, needConfig bool) event {
	var engine *fleet.Engine
	if needConfig {
		batch, err := m.opts.Source.List(ctx, fleet.TopicConfig)
		if err != nil {
			return lookUpFailed(err)
		}
		engine = engineOf(batch, m.opts.Service)
	}
	batch, err := m.opts.Source.List(ctx, fleet.TopicTargets)
	if err != nil {
		return lookUpFailed(err)
	}
	return func(_ context.Context, m *Mapper) {
		m.looking = false
		if engine != nil {
			m.engine = engine
		}
		m.addPeers(batch)
	}
}

func lookUpFailed(err error) event {
	return func(_ context.Context, m *Mapper) {
		m.looking = false
		m.opts.Logger.Info().Str("event", "store-unread").Err(err).Msg("")
	}
}

func engineOf(batch fleet.Batch, service string) *fleet.Engine {
	for i := range batch.Changes {
		if batch.Changes[i].Config == nil {
			continue
		}
		if s, ok := fleet.NewIndex(batch.Changes[i].Config).Service(service); ok {
			return s.Engine
		}
	}
	return nil
}

// addPeers replaces the known processes by those beside the targets of the service.
func (m *Mapper) addPeers(batch fleet.Batch) {
	peers := make(map[string]*net.UDPAddr)
	for i := range batch.Changes {
		t := batch.Changes[i].Target
		if t == nil || t.Service != m.opts.Service {
			continue
		}
		host, _, err := net.SplitHostPort(t.Address)
		if err != nil {
			continue
		}
		addr := &net.UDPAddr{IP: net.ParseIP(host), Port: m.port}
		if addr.IP == nil || addr.String() == m.opts.PeerAddress {
			continue
		}
		peers[addr.String()] = addr
	}
	m.peers = peers
}
