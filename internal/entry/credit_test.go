package entry

import (
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// windowedAnswer answers each request with a stream of total bytes, within the credit that
// it gets. The link's queue is full for the first refused frames of credit.
func windowedAnswer(e *Entry, total, refused int) func(*linktest.Peer, message.Message) error {
	const chunk = 32 << 10
	credit := make(chan int, 1024)
	var full atomic.Int64
	return func(p *linktest.Peer, m message.Message) error {
		switch m := m.(type) {
		case *message.Credit:
			if full.Add(1) <= int64(refused) {
				return link.ErrQueueFull
			}
			credit <- m.Bytes
		case *message.Request:
			go func() {
				e.Message(p, &message.ResponseHead{ID: m.ID, Status: 200, Length: -1})
				window, sent := m.Window, 0
				for sent < total {
					for window < chunk {
						window += <-credit
					}
					e.Message(p, &message.ResponseData{ID: m.ID, Offset: int64(sent), Data: []byte(strings.Repeat("x", chunk))})
					window -= chunk
					sent += chunk
				}
				e.Message(p, &message.ResponseEnd{ID: m.ID, Length: int64(sent), Load: warm})
			}()
		}
		return nil
	}
}

// TestCreditIsNotLostOnAFullQueue refuses frames of credit because the link's queue is full:
// the answer must go on once it is not, instead of standing still until its deadline.
func TestCreditIsNotLostOnAFullQueue(t *testing.T) {
	const total = 1 << 20
	s := newTestEntry(t)
	s.addPeer("agent", windowedAnswer(s.entry, total, 4))
	got := s.call("GET", "/svc/x")
	assert.NilError(t, got.readErr)
	assert.Equal(t, len(got.body), total)
}
