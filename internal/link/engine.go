package link

import (
	"errors"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// eventHandler implements gnet.EventHandler for the Node's engines.
type eventHandler struct {
	gnet.BuiltinEventEngine
	node *Node
	boot chan gnet.Engine // receives the started engine; nil for the dialling engine
}

// OnBoot implements gnet.EventHandler.
func (e *eventHandler) OnBoot(eng gnet.Engine) gnet.Action {
	if e.boot != nil {
		e.boot <- eng
	}
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (e *eventHandler) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	l, dialled := c.Context().(*link)
	if !dialled {
		l = newLink(e.node, false, c.RemoteAddr())
		c.SetContext(l)
	}
	l.conn = c
	if !e.node.add(l) {
		l.closeCause = handshakeError("too many open handshakes", nil)
		return nil, gnet.Close
	}
	if e.node.ctx.Err() != nil {
		l.closeCause = ErrClosed
		return nil, gnet.Close
	}
	if !dialled {
		return nil, gnet.None
	}
	l.hello = &message.Hello{Identity: e.node.cfg.Identity, Nonce: newNonce()}
	if err := l.enqueue(l.hello); err != nil {
		l.closeCause = err
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (e *eventHandler) OnClose(c gnet.Conn, err error) gnet.Action {
	l, ok := c.Context().(*link)
	if !ok {
		return gnet.None
	}
	l.closed.Store(true)
	close(l.ended)
	e.node.remove(l)
	cause := l.closeCause
	if cause == nil {
		cause = &Error{Reason: ReasonClosed, Cause: err}
	}
	e.node.logDown(l, cause)
	if l.authenticated.Load() {
		e.node.handler.Down(l, cause)
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (e *eventHandler) OnTraffic(c gnet.Conn) gnet.Action {
	l, ok := c.Context().(*link)
	if !ok || l.closed.Load() {
		_, _ = c.Discard(-1)
		return gnet.None
	}
	l.silentTicks.Store(0)
	n := c.InboundBuffered()
	if n < l.bytesNeeded {
		return gnet.None
	}
	buf, err := c.Peek(n)
	if err != nil {
		return gnet.None
	}
	used, err := l.consume(buf)
	if err != nil {
		l.closeCause = err
		l.flush()
		return gnet.Close
	}
	if used > 0 && !l.connClosed() {
		_, _ = c.Discard(used)
	}
	return gnet.None
}

// consume handles the complete frames at the start of b, and the HTTP upgrade request
// before them, and returns their size in bytes.
func (l *link) consume(b []byte) (used int, err error) {
	if !l.upgraded {
		used, err = l.consumeUpgrade(b)
		if err != nil || !l.upgraded {
			return used, err
		}
	}
	for !l.closed.Load() {
		f, size, need, err := parseFrame(b[used:], !l.dialled, frameLimit(l.authenticated.Load()))
		if err != nil {
			return used, err
		}
		if size == 0 {
			l.bytesNeeded = need
			return used, nil
		}
		used += size
		if err := l.handleFrame(f); err != nil {
			return used, err
		}
	}
	return used, nil
}

func (l *link) consumeUpgrade(b []byte) (used int, err error) {
	response, used, err := acceptUpgrade(b)
	if errors.Is(err, errUpgradeIncomplete) {
		return 0, nil
	}
	if len(response) > 0 {
		_, _ = l.conn.Write(response)
	}
	l.upgraded = err == nil
	return used, err
}

// handleFrame handles one frame.
func (l *link) handleFrame(f rawFrame) error {
	switch f.op {
	case ws.OpPing:
		// If the queue is full, its output already shows the peer that this side is alive.
		_ = l.enqueueFrame(ws.OpPong, f.payload)
		return nil
	case ws.OpPong:
		return nil
	case ws.OpClose:
		return ErrClosed
	}
	l.node.stats.framesIn.Add(1)
	l.node.stats.bytesIn.Add(uint64(len(f.payload)))
	m, err := message.Decode(f.payload)
	if err != nil {
		return protocolError("cannot decode the message", err)
	}
	if l.authenticated.Load() {
		return l.deliver(m)
	}
	done, err := l.handleHandshake(m)
	if err != nil || !done {
		return err
	}
	l.node.markAuthenticated(l)
	return nil
}

// deliver passes m to the Handler; a handshake message is a protocol error.
func (l *link) deliver(m message.Message) error {
	switch m.(type) {
	case *message.Hello, *message.Welcome, *message.Auth:
		return protocolError("handshake message on an open link", nil)
	}
	l.node.handler.Message(l, m)
	return nil
}
