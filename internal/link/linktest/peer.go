// Package linktest provides link peers without a network, for tests.
package linktest

import (
	"sync"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Peer is a link.Peer that passes every sent message to a function.
type Peer struct {
	identity message.Identity

	mu     sync.Mutex
	onSend func(message.Message) error
	closed bool
}

var _ link.Peer = (*Peer)(nil)

// NewPeer returns a peer with the identity id. It calls onSend for every sent message, on
// the sender's goroutine.
func NewPeer(id message.Identity, onSend func(message.Message) error) *Peer {
	return &Peer{identity: id, onSend: onSend}
}

// Identity implements link.Peer.
func (p *Peer) Identity() message.Identity { return p.identity }

// Dialled implements link.Peer.
func (p *Peer) Dialled() bool { return false }

// Queued implements link.Peer.
func (p *Peer) Queued() int { return 0 }

// Close implements link.Peer; later sends fail.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// Send implements link.Peer. The message is encoded and decoded, as on a real link.
func (p *Peer) Send(m message.Message) error {
	p.mu.Lock()
	closed, onSend := p.closed, p.onSend
	p.mu.Unlock()
	if closed {
		return link.ErrClosed
	}
	frame, err := message.Encode(m)
	if err != nil {
		return err
	}
	copied, err := message.Decode(frame)
	if err != nil {
		return err
	}
	return onSend(copied)
}
