package link

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// TestCloseDeliversAllThatWasSent closes a node whose peer is slow and goes on sending: frames
// that were sent before must not be lost with the connection.
func TestCloseDeliversAllThatWasSent(t *testing.T) {
	const frames = 48
	var received atomic.Int32
	a, b := new(recorder), new(recorder)
	a.onMsg = func(p Peer, _ message.Message) {
		time.Sleep(5 * time.Millisecond)
		received.Add(1)
		_ = p.Send(&message.Credit{ID: 1, Bytes: 1})
	}
	b.onMsg = func(Peer, message.Message) {}
	_, closing := pair(t, a, b, nil)
	p := b.peers[0]
	for i := range frames {
		data := &message.ResponseData{ID: uint64(i + 1), Data: bytes.Repeat([]byte("x"), 64<<10)}
		assert.NilError(t, SendWait(t.Context(), p, data))
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	assert.NilError(t, closing.Close(ctx))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, _, downs := a.counts(); downs > 0 {
			return poll.Success()
		}
		return poll.Continue("the link is still up")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
	assert.Equal(t, received.Load(), int32(frames))
}
