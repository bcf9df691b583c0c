package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// linkFull links an entry whose link's queue is full for ends and withdrawals until the
// given time has passed.
func (h *harness) linkFull(sender uint64, d time.Duration) *linktest.Peer {
	until := time.Now().Add(d)
	p := linktest.NewPeer(message.Identity{Role: message.RoleEntry, Name: "entry", Incarnation: sender}, func(m message.Message) error {
		switch m.(type) {
		case *message.ResponseEnd, *message.Withdrawn:
			if time.Now().Before(until) {
				return link.ErrQueueFull
			}
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.frames = append(h.frames, m)
		return nil
	})
	h.agent.Up(p)
	return p
}

// TestFinalFrameIsNotLostOnAFullQueue keeps the link to the entry full for longer than a second
// at the end of an answer: the entry must hear of the end within the request's time.
func TestFinalFrameIsNotLostOnAFullQueue(t *testing.T) {
	h := newHarness(t, 4)
	h.entry = h.linkFull(2, 1500*time.Millisecond)
	h.request(1, "/stream", nil)
	assert.Equal(t, h.finalKind(1), apierr.KindNone)
}

// TestRefusalIsNotLostOnAFullQueue refuses a request while the link to the entry is full: the
// entry must hear of it, since it could send the request to another target.
func TestRefusalIsNotLostOnAFullQueue(t *testing.T) {
	h := newHarness(t, 4)
	h.entry = h.linkFull(2, 100*time.Millisecond)
	h.request(1, "/free", func(r *message.Request) { r.Incarnation = incarnation + 1 })
	assert.Equal(t, h.finalKind(1), apierr.KindStaleIncarnation)
}

// TestWithdrawalIsAnsweredOnAFullQueue withdraws a request while the link to the entry is full:
// without the answer its caller would not be told that it did not run.
func TestWithdrawalIsAnsweredOnAFullQueue(t *testing.T) {
	h := newHarness(t, 4)
	assert.Assert(t, h.withdraw(h.linkFull(2, 30*time.Millisecond), 1))
}
