package link

import (
	"time"

	"github.com/gobwas/ws"
)

// ticksPerIdleTimeout is the number of keepalive ticks in an idle timeout.
const ticksPerIdleTimeout = 8

// keepalive pings silent peers and closes links that stay silent or do not complete the
// handshake in time. It counts its own ticks instead of reading a clock, so that a pause
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
	silent := l.silentTicks.Add(1)
	switch {
	case silent > ticksPerIdleTimeout:
		l.closeWith(ErrIdle)
	case silent%2 == 0:
		_ = l.enqueueFrame(ws.OpPing, nil)
	}
}

// refreshBuffered makes the event loop update connBuffered.
func (l *link) refreshBuffered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduleFlush()
}
