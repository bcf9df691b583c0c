package mapper

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
)

// silentSocket discards what is sent.
type silentSocket struct{ Socket }

func (silentSocket) WriteToUDP(b []byte, _ *net.UDPAddr) (int, error) { return len(b), nil }

// newFuzzedLeader returns a mapper that leads a group of some blocks.
func newFuzzedLeader(t testing.TB) *Mapper {
	const ranks = 2*collectorBlock + 3
	m := New(Options{
		PeerAddress: "10.0.0.1:7340", Service: "s", Engine: fakeEngine{newFakeGroup(ranks, 2, 8), 0}, DemandStore: emptyDemandStore{},
		Logger: &log.Logger{Level: log.PanicLevel}, Metrics: tally.NoopScope,
	})
	m.socket, m.address = silentSocket{}, &net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7340}
	m.engine = &fleet.Engine{Layers: 2, Experts: 8, SlotsPerRank: 4, MaxCopiesPerChange: 1, CopyTime: time.Millisecond}
	reading, err := m.readEngine(context.Background())
	assert.NilError(t, err)
	m.recordReading(reading)
	m.isLeader, m.leaderState = true, m.newLeaderState()
	return m
}

// FuzzHandleDatagram handles datagrams of anybody at a leader, and then takes the steps in which it
// uses what it has recorded.
func FuzzHandleDatagram(f *testing.F) {
	addr := netip.MustParseAddrPort("10.0.0.7:7340")
	load := make([]byte, 16)
	for _, d := range []datagram{
		{Beacon: true, Collector: addr},
		{Heartbeat: &heartbeat{Load: load, Max: 3, Version: 1, Experts: [][]uint16{{1}, {2}}, Shifted: true}},
		{Demand: &demandReport{Load: load, Max: 2}},
		{Demand: &demandReport{Load: load[:3], Max: 2}},
		{Collected: &demandReport{Load: load, Max: 2, Ranks: []int{0, 5, -1, 1 << 40}}},
		{Request: &roundRequest{Round: 3, Map: []byte{1, 1, 1, 1}, Order: &mapswitch.Order{Op: mapswitch.Prepare}, ReplyTo: addr, Relay: []relayTarget{{Rank: 7, Addr: addr}}}},
		{Answer: &roundAnswer{Round: 3}},
		{Subscribe: true, Busy: true},
	} {
		for _, rank := range []int{0, 30, -4, 1 << 40} {
			d.Group, d.Rank = "g", rank
			b, err := cbor.Marshal(d)
			assert.NilError(f, err)
			f.Add(b, b)
		}
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		m := newFuzzedLeader(t)
		from := &net.UDPAddr{IP: net.IPv4(10, 0, 0, 9), Port: 7340}
		for _, b := range [][]byte{first, second} {
			var d datagram
			if cbor.Unmarshal(b, &d) == nil {
				m.handleDatagram(t.Context(), from, &d)
			}
		}
		m.collector.shifted = true
		m.forwardDemand(time.Now())
		m.sendBeacon()
		m.sendHints(time.Now(), true)
		m.leaderState.demand()
		m.startRound(t.Context(), time.Now())
	})
}
