package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/hint"
)

// engineHost is the loopback address of the instance of an engine, apart from that of the gateway.
const engineHost = "127.0.0.2"

// startEngine starts an engine that answers nothing until the test ends, and a socket in place of
// its mapper.
func startEngine(t *testing.T, peerAddress string) (address string, mapper net.PacketConn) {
	t.Helper()
	_, port, err := net.SplitHostPort(peerAddress)
	assert.NilError(t, err)
	mapper, err = net.ListenPacket("udp4", net.JoinHostPort(engineHost, port))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, mapper.Close()) })
	l, err := net.Listen("tcp4", net.JoinHostPort(engineHost, "0"))
	assert.NilError(t, err)
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	})}}
	server.Start()
	t.Cleanup(server.Close)
	return l.Addr().String(), mapper
}

// waitForSubscription returns the first subscription that fulfils the condition, or false.
func waitForSubscription(t *testing.T, mapper net.PacketConn, fulfils func(hint.Message) bool) bool {
	t.Helper()
	buf := make([]byte, maxDatagram)
	assert.NilError(t, mapper.SetReadDeadline(time.Now().Add(4*time.Second)))
	for {
		n, _, err := mapper.ReadFrom(buf)
		if err != nil {
			return false
		}
		if m, err := hint.Decode(buf[:n]); err == nil && m.Subscribe && fulfils(m) {
			return true
		}
	}
}

// TestBusyGatewayAsksForFrequentReports sends a request to an engine while the gateway knows so many
// others that the engine's mapper reports rarely to those without requests.
func TestBusyGatewayAsksForFrequentReports(t *testing.T) {
	config := testConfig(1)
	config.Services[0].Engine = &fleet.Engine{Slots: 4}
	gw := newTestGatewayWith(t, []fleet.Change{{Name: "main", Config: config}}).waitReady()
	address, mapper := startEngine(t, gw.g.opts.Settings.PeerAddress)
	gw.store.change(fleet.TopicTargets, fleet.Change{Name: "e", Target: &fleet.Target{
		ID: "e", Service: "s", Address: address, AvailabilityZone: "z", Slots: 4,
	}})
	assert.Assert(t, waitForSubscription(t, mapper, func(m hint.Message) bool { return !m.Busy }))

	conn := gw.dialPeer()
	for i := range hint.ManyGateways + 1 {
		b, err := cbor.Marshal(workMessage{Sender: fmt.Sprint("p", i), Zone: "y"})
		assert.NilError(t, err)
		_, err = conn.Write(b)
		assert.NilError(t, err)
	}
	c := gw.send(get("/once/")...)
	defer func() { assert.NilError(t, c.Close()) }()
	assert.Assert(t, waitForSubscription(t, mapper, func(m hint.Message) bool { return m.Busy }))
}
