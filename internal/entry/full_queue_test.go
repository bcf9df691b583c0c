package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// TestForwardEndsWhenTheQueueHasRoomAgain keeps the link to the first entry full for longer
// than a second at the end of an answer: the final frame must follow, or the first entry
// waits for it until the deadline.
func TestForwardEndsWhenTheQueueHasRoomAgain(t *testing.T) {
	s := newTestEntry(t)
	s.addAgent("agent", streamAnswer(s.entry, piece(0, "ab")))
	ended := make(chan *message.ResponseEnd, 1)
	fullUntil := time.Now().Add(1500 * time.Millisecond)
	id := message.Identity{Role: message.RoleEntry, Name: "first", AvailabilityZone: "zone-2", Incarnation: 9}
	first := linktest.NewPeer(id, func(m message.Message) error {
		end, ok := m.(*message.ResponseEnd)
		if !ok {
			return nil
		}
		if time.Now().Before(fullUntil) {
			return link.ErrQueueFull
		}
		ended <- end
		return nil
	})
	s.entry.Up(first)
	s.entry.Message(first, &message.Request{
		ID: 1, Organisation: "org", Service: "svc", Method: "GET", Path: "/x", Idempotent: true,
		Timeout: 4 * time.Second, Window: streamWindow, Hops: 1,
	})
	select {
	case end := <-ended:
		assert.Assert(t, end.Failure == nil)
		assert.Equal(t, end.Length, int64(2))
	case <-time.After(4 * time.Second):
		t.Fatal("no final frame within the request's time")
	}
}
