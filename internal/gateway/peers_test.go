package gateway

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a gateway that waits for an answer that the store has lost: another gateway's
// message says that there is a later change.
func TestLaterChangeReadByAnotherGatewayRenewsTheWatch(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	conn := gw.dialPeer()
	message, err := cbor.Marshal(workMessage{Sender: "other", Read: []readPosition{{Revision: 1 << 20}}})
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := conn.Write(message); err != nil {
			return poll.Error(err)
		}
		if _, ok := gw.logs.find("event=watch-closed", "topic=config", "later change"); !ok {
			return poll.Continue("the watch of the configuration is still open")
		}
		return poll.Success()
	}, poll.WithDelay(50*time.Millisecond))
}
