// Package link transports messages between gentiantrail's processes. A link is a WebSocket
// connection over TCP, run by gnet event loops, whose ends authenticate each other by
// proving that they have the same key.
//
// A Node accepts and dials links, reopens dialled links that end, and passes decoded
// messages to its Handler. Queues are bounded: Send fails instead of buffering without
// limit.
package link

import "github.com/gentiantrail/gentiantrail/internal/message"

// Handler receives the events of a Node. Its methods are called from the event
// loop of the link concerned, in order for one Peer; they must not block.
// Messages do not alias link buffers and may be kept.
type Handler interface {
	// Up reports that a link has been authenticated.
	Up(p Peer)
	// Message reports a message from an authenticated peer.
	Message(p Peer, m message.Message)
	// Down reports the end of a link for which Up was called.
	Down(p Peer, cause error)
}

// Peer is the other end of one authenticated link.
type Peer interface {
	// Identity returns the identity that the peer presented in the handshake.
	Identity() message.Identity
	// Dialled reports whether this process opened the link.
	Dialled() bool
	// Send queues m. It returns ErrClosed after the link ended and ErrQueueFull when
	// the outgoing queue is at its limit; in both cases m was not sent.
	Send(m message.Message) error
	// Queued returns the number of outgoing bytes that wait to be sent.
	Queued() int
	// Close closes the link.
	Close()
}
