// Package link carries frames between gentiantrail's processes: WebSocket
// messages over TCP on gnet, opened with a mutual proof of a shared key.
//
// A Node accepts links and dials them, keeps dialled ones alive, and hands
// decoded messages to its Handler. Queues are bounded: Send fails instead of
// buffering without limit.
package link

import "github.com/gentiantrail/gentiantrail/internal/message"

// Handler receives the events of a Node. Its methods are called from the event
// loop of the link concerned, in order for one Peer; they must not block.
// Messages do not alias link buffers and may be kept.
type Handler interface {
	// Up reports an authenticated link.
	Up(p Peer)
	// Message reports a message from an authenticated peer.
	Message(p Peer, m message.Message)
	// Down reports the end of a link for which Up was called.
	Down(p Peer, cause error)
}

// Peer is the other end of one authenticated link.
type Peer interface {
	// Identity returns what the peer said of itself in the handshake.
	Identity() message.Identity
	// Dialled reports whether this process opened the link.
	Dialled() bool
	// Send queues m. It returns ErrClosed after the link ended and ErrFull when the
	// outgoing queue is at its limit; in both cases m was not sent.
	Send(m message.Message) error
	// Queued returns the number of outgoing bytes that wait.
	Queued() int
	// Close ends the link.
	Close()
}
