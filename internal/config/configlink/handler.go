package configlink

import (
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// handler handles the configuration messages among a link's events and passes the other
// events on to next.
type handler struct {
	follower *Follower
	next     link.Handler
}

// Up implements link.Handler.
func (h *handler) Up(p link.Peer) {
	h.follower.addPeer(p)
	h.next.Up(p)
}

// Message implements link.Handler.
func (h *handler) Message(p link.Peer, m message.Message) {
	name := p.Identity().Name
	if h.follower.driver.HandleMessage(name, m) {
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
	h.follower.removePeer(p)
	h.next.Down(p, cause)
}
