package group

import (
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Wrap returns a Handler that passes the events of links to other agents to the
// driver and all other events to next.
func (d *Driver) Wrap(next link.Handler) link.Handler { return &handler{driver: d, next: next} }

// handler is the link.Handler that Wrap returns.
type handler struct {
	driver *Driver
	next   link.Handler
}

// Up implements link.Handler.
func (h *handler) Up(p link.Peer) {
	if p.Identity().Role == message.RoleAgent {
		h.driver.deliver(peerUp{peer: p})
		return
	}
	h.next.Up(p)
}

// Down implements link.Handler.
func (h *handler) Down(p link.Peer, cause error) {
	if p.Identity().Role == message.RoleAgent {
		h.driver.deliver(peerDown{peer: p})
		return
	}
	h.next.Down(p, cause)
}

// Message implements link.Handler.
func (h *handler) Message(p link.Peer, m message.Message) {
	if p.Identity().Role == message.RoleAgent {
		h.driver.tryDeliver(messageReceived{from: p.Identity().Name, message: m})
		return
	}
	h.next.Message(p, m)
}
