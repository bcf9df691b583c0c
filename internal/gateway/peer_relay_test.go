package gateway

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
)

// testPeerKey is the key of the gateways in tests.
var testPeerKey = bytes.Repeat([]byte{7}, peerKeyBytes)

type fakeKeys struct{}

func (fakeKeys) PeerKey(context.Context, []byte) ([]byte, error) { return testPeerKey, nil }

// relayPeers are other gateways of the zone, which claim to watch the store.
type relayPeers struct {
	t    *testing.T
	conn net.Conn
	last fleet.Position
}

// relayPeerNames are the names of the other gateways. The first two precede "g" in the order in which
// the gateways of a zone watch.
var relayPeerNames = []string{"p162", "p199", "a", "b", "c", "d", "e", "f", "h"}

// send sends a message of a gateway, signed with the key.
func (p *relayPeers) send(name string, key []byte, changes *fleet.RelayedChanges) {
	message, err := cbor.Marshal(relayMessage{
		Sender: name, Changes: changes,
		State: fleet.RelayState{Watching: true, Last: []fleet.Position{p.last, p.last, p.last}},
	})
	assert.NilError(p.t, err)
	b, err := cbor.Marshal(workMessage{Sender: name, Zone: "z", Relay: &signedRelay{Message: message, MAC: relayMAC(key, message)}})
	assert.NilError(p.t, err)
	_, err = p.conn.Write(b)
	assert.NilError(p.t, err)
}

func (p *relayPeers) sendAll() {
	for _, name := range relayPeerNames {
		p.send(name, testPeerKey, nil)
	}
}

// TestChangesOfAnotherGatewayAreApplied lets nine other gateways watch the store. The gateway then
// applies what they pass on, but not what somebody without the key sends.
func TestChangesOfAnotherGatewayAreApplied(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	conn := gw.dialPeer()
	peers := &relayPeers{t: t, conn: conn, last: fleet.Position{Revision: 1}}
	relayed := func() bool {
		_, ok := gw.logs.find("topic=store-watch", "subject=config", "outcome=relayed")
		return ok
	}
	version := int64(1)
	for begin := time.Now(); !relayed() && time.Since(begin) < 3*peerKeyInterval; {
		peers.sendAll()
		version++
		gw.store.change(fleet.TopicConfig, fleet.Change{Name: "main", Config: testConfig(version)}) // ends the open watch
		time.Sleep(200 * time.Millisecond)
	}
	assert.Assert(t, relayed(), "the gateway still watches the store itself")

	pass := func(key []byte, version, to int64) {
		peers.sendAll()
		peers.send("p162", key, &fleet.RelayedChanges{
			From: "p162", Topic: fleet.TopicConfig, After: peers.last, To: fleet.Position{Revision: to},
			Changes: []fleet.Change{{Name: "main", Config: testConfig(version)}},
		})
	}
	pass(bytes.Repeat([]byte{8}, peerKeyBytes), 2000, 1<<20)
	pass(testPeerKey, 1000, 1<<21)
	line := gw.waitForLog("event=belief", "topic=config", "relayed_by=p162")
	assert.Assert(t, bytes.Contains([]byte(line), []byte("version=1000")), line)
	status, _, _, _ := gw.do(get("/safe/")...)
	assert.Equal(t, status, 200)
}
