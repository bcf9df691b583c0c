package gateway

import (
	"context"
	"math"
	"net"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/hint"
	"github.com/gentiantrail/gentiantrail/internal/quarantine"
	"github.com/gentiantrail/gentiantrail/internal/settings"
)

// fuzzedMessages are messages of other gateways and of mappers, from which fuzzing begins.
func fuzzedMessages(t testing.TB) []workMessage {
	message, err := cbor.Marshal(relayMessage{
		Sender: "p", State: fleet.RelayState{Watching: true, Last: make([]fleet.Position, 9)},
		Changes: &fleet.RelayedChanges{Topic: 200, Changes: []fleet.Change{{Name: "x"}}},
	})
	assert.NilError(t, err)
	return []workMessage{
		{Sender: "p", Zone: "z", Work: map[uint32]int{1: -5, 2: 1 << 40}},
		{Sender: "p", Zone: "z", Evidence: []quarantine.Evidence{{Subject: "s", Quarantined: true}}},
		{Sender: "p", Zone: "z", Read: make([]readPosition, 20), Limits: []peerLimit{{Key: 1, Rate: -1, AgeMs: -1}}},
		{Sender: "p", Zone: "z", SentUs: -1, Demand: demand{{Priority: -1, Arrivals: -1}, {Arrivals: shortFloat(math.Inf(1)), Admitted: shortFloat(math.NaN())}}},
		{Sender: "p", Zone: "z", SentUs: 1 << 62, Demand: make(demand, 100)},
		{Sender: "p", Zone: "z", Relay: &signedRelay{Message: message, MAC: relayMAC(testPeerKey, message)}},
		{Sender: "p", Zone: "z", Relay: &signedRelay{Message: message}, RelayOnly: true},
		{Sender: "p", Zone: "y", ZoneLoads: []zoneLoad{{Slots: -1, Load: float32(math.NaN()), Demand: float32(math.Inf(1))}}},
		{Report: &hint.Report{Group: "g", Epoch: -1, Open: true}},
	}
}

// newIdleGateway returns a gateway that is not started.
func newIdleGateway() *Gateway {
	return New(Options{
		Settings: &settings.Gateway{Name: "g", AvailabilityZone: "z", Limits: settings.DefaultGatewayLimits()}, Headers: testHeaders,
		PromptParts: splitParts, Records: newFakeRecords(), Logger: &log.Logger{Level: log.PanicLevel}, Metrics: tally.NoopScope,
	})
}

// FuzzPeerDatagram sends datagrams to a gateway, which must go on.
func FuzzPeerDatagram(f *testing.F) {
	for _, m := range fuzzedMessages(f) {
		b, err := cbor.Marshal(m)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		l := newPeerLink(newIdleGateway())
		l.g.setZoneSettings(settings.ZoneRouting{Enabled: true}, nil)
		stopped, stop := context.WithCancel(t.Context())
		stop()
		l.store = &fleet.Follower{Self: fleet.Gateway{Name: "g"}, OnEvent: func(fleet.Event) {}}
		l.store.Run(stopped)
		key := testPeerKey
		l.key.Store(&key)
		var m workMessage
		if cbor.Unmarshal(b, &m) == nil {
			l.handleMessage(t.Context(), &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}, &m)
		}
	})
}
