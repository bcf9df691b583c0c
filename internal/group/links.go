package group

import (
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Wrap returns a Handler that takes the group's messages and the links to other
// agents, and passes everything else on to next.
func (d *Driver) Wrap(next link.Handler) link.Handler { return &handler{driver: d, next: next} }

// handler takes the group's part out of a link's events.
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
		h.driver.post(received{from: p.Identity().Name, m: m})
		return
	}
	h.next.Message(p, m)
}
