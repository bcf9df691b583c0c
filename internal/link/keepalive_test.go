package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// TestUnreadBytesAreNotSilence guards against a process that takes its own standstill for the silence of its peers, and
// closes their links with all answers: its event loop has not read yet what has arrived.
func TestUnreadBytesAreNotSilence(t *testing.T) {
	const idle = 400 * time.Millisecond
	entered, release, arrived := make(chan struct{}), make(chan struct{}), make(chan struct{})
	b := &recorder{onMsg: func(_ Peer, m message.Message) {
		switch m.(type) {
		case *message.Credit:
			close(entered)
			<-release
		case *message.Cancel:
			close(arrived)
		}
	}}
	acceptor := newNode(t, "acceptor", b, func(c *Config) { c.IdleTimeout = idle })
	assert.NilError(t, acceptor.Listen("127.0.0.1:0"))
	a := &recorder{}
	dialler := newNode(t, "dialler", a, nil) // waits longer for its peer
	dialler.Dial(acceptor.Addr())
	eventually(t, func() bool { ups, _, _ := a.counts(); return ups == 1 })
	assert.NilError(t, a.peers[0].Send(&message.Credit{ID: 1, Bytes: 1}))
	<-entered
	assert.NilError(t, a.peers[0].Send(&message.Cancel{ID: 1}))
	time.Sleep(2 * idle)
	close(release)
	select {
	case <-arrived:
	case <-time.After(waitTimeout):
		t.Error("a message that had arrived was not handled")
	}
	_, _, downs := b.counts()
	assert.Equal(t, downs, 0, "the link was closed")
}
