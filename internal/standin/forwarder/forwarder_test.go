package forwarder

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// ignoreEvents is a link handler that does nothing.
type ignoreEvents struct{}

func (ignoreEvents) Up(link.Peer)                       {}
func (ignoreEvents) Message(link.Peer, message.Message) {}
func (ignoreEvents) Down(link.Peer, error)              {}

func newNode(t *testing.T, name, zone string) *link.Node {
	t.Helper()
	n, err := link.New(link.Config{
		Identity:    message.Identity{Role: message.RoleEntry, Name: name, AvailabilityZone: zone, Incarnation: 1},
		Key:         []byte("0123456789abcdef"),
		IdleTimeout: 400 * time.Millisecond, HandshakeTimeout: 400 * time.Millisecond, BackoffMax: 100 * time.Millisecond,
	}, ignoreEvents{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = n.Close(context.Background()) })
	return n
}

func TestCutHoldsBackOnlyTheNamedPair(t *testing.T) {
	network := New()
	t.Cleanup(network.Close)
	server := newNode(t, "server", "sk-c")
	assert.NilError(t, server.Listen("127.0.0.1:0"))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	network.ForwardLinks(ln, server.Addr(), Names{"server", "sk-c"})
	a, b := newNode(t, "a", "sk-a"), newNode(t, "b", "sk-b")
	a.Dial(addr)
	b.Dial(addr)
	waitLinks := func(onA, onB int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if len(a.Links()) == onA && len(b.Links()) == onB && len(server.Links()) == onA+onB {
				return poll.Success()
			}
			return poll.Continue("links: %d %d %d", len(a.Links()), len(b.Links()), len(server.Links()))
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	}
	waitLinks(1, 1)
	network.Cut("sk-a", "sk-c")
	waitLinks(0, 1)
	network.Heal("sk-c", "sk-a")
	waitLinks(1, 1)
}
