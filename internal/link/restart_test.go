package link

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestNodeListensAgainOnItsAddress restarts the accepting side while its closed
// connections are still in TIME_WAIT, which must not keep it from binding its address.
func TestNodeListensAgainOnItsAddress(t *testing.T) {
	a, b := new(recorder), new(recorder)
	dialler, acceptor := pair(t, a, b, nil)
	_ = dialler
	addr := acceptor.Addr()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	assert.NilError(t, acceptor.Close(ctx))
	restarted := newNode(t, "again", new(recorder), nil)
	assert.NilError(t, restarted.Listen(addr))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ups, _, _ := a.counts(); ups >= 2 {
			return poll.Success()
		}
		return poll.Continue("the dialler is not linked again")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(5*time.Millisecond))
}
