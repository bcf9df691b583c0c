package link

import (
	"time"

	"github.com/gobwas/ws"
)

// ticksPerIdleTimeout divides the idle timeout into keepalive ticks.
const ticksPerIdleTimeout = 8

// keepalive pings silent peers and closes links that stay silent or do not finish
// their handshake. It counts its own ticks instead of reading a clock: a process
// that was paused does not blame its peers for the pause.
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
	if !l.up.Load() {
		if l.age.Add(1) > handshakeTicks {
			l.closeWith(handshakeError("timeout", nil))
		}
		return
	}
	silent := l.silent.Add(1)
	switch {
	case silent > ticksPerIdleTimeout:
		l.closeWith(ErrIdle)
	case silent%2 == 0:
		_ = l.enqueueFrame(ws.OpPing, nil)
	}
}

// refresh has the event loop count what the socket has taken since the last write.
func (l *link) refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduleFlush()
}
