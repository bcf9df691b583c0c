package link

import (
	"errors"
	"time"

	"github.com/gobwas/ws"
	"golang.org/x/sys/unix"
)

// ticksPerIdleTimeout is the number of keepalive ticks in an idle timeout.
const ticksPerIdleTimeout = 8

// pingTicks is the number of ticks without input after which a side pings its peer, and without
// output after which it shows the peer that it is alive.
const pingTicks = 2

// keepalive pings silent peers, shows the others that this side is alive, and closes links that
// stay silent or do not complete the handshake in time. It counts its own ticks instead of reading a clock, so that a pause
// of this process does not count as silence of its peers.
func (n *Node) keepalive() {
	tick := max(n.cfg.IdleTimeout/ticksPerIdleTimeout, time.Millisecond)
	handshakeTicks := int32(n.cfg.HandshakeTimeout/tick) + 1
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, l := range n.snapshot() {
			l.tick(handshakeTicks)
		}
	}
}

func (l *link) tick(handshakeTicks int32) {
	if !l.authenticated.Load() {
		if l.openTicks.Add(1) > handshakeTicks {
			l.closeWith(handshakeError("not completed within the timeout", nil))
		}
		return
	}
	silent, quiet := l.silentTicks.Add(1), l.quietTicks.Add(1)
	switch {
	case silent > ticksPerIdleTimeout:
		l.closeIdle()
	case silent%pingTicks == 0:
		_ = l.enqueueFrame(ws.OpPing, nil)
	case quiet >= pingTicks:
		// The peer's ping may wait behind much output, which this side is reading.
		_ = l.enqueueFrame(ws.OpPong, nil)
	}
}

// closeIdle closes a link whose peer is silent. It decides that on the event loop, which may have stood
// still and not have read what has arrived.
func (l *link) closeIdle() {
	_ = l.execute(func() {
		if !l.connClosed() && l.silentTicks.Load() > ticksPerIdleTimeout && !l.hasUnread() {
			l.closeWith(ErrIdle)
		}
	})
}

// hasUnread reports whether the socket has bytes, or the end of the connection, for the event loop to read.
func (l *link) hasUnread() bool {
	var probe [1]byte
	_, _, err := unix.Recvfrom(l.conn.Fd(), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return !errors.Is(err, unix.EAGAIN)
}

// refreshBuffered makes the event loop update connBuffered.
func (l *link) refreshBuffered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduleFlush()
}
