package configlink

import (
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// handler takes the configuration's messages out of a link's events.
type handler struct {
	follower *Follower
	next     link.Handler
}

// Up implements link.Handler.
func (h *handler) Up(p link.Peer) {
	h.follower.up(p)
	h.next.Up(p)
}

// Message implements link.Handler.
func (h *handler) Message(p link.Peer, m message.Message) {
	name := p.Identity().Name
	if h.follower.driver.Message(name, m) {
		return
	}
	switch m := m.(type) {
	case *message.Heartbeat:
		h.follower.driver.Post(config.PeerRevision{Peer: name, Revision: m.ConfigRevision})
	case *message.ZoneReport:
		h.follower.driver.Post(config.PeerRevision{Peer: name, Revision: m.ConfigRevision})
	}
	h.next.Message(p, m)
}

// Down implements link.Handler.
func (h *handler) Down(p link.Peer, cause error) {
	h.follower.down(p)
	h.next.Down(p, cause)
}
