package link

import (
	"context"
	"math/rand/v2"
	"net"
	"net/url"
	"time"

	"github.com/gobwas/ws"
)

// Dial opens a link to addr and reopens it whenever it ends, until StopDialling or Close.
// A second call for the same address does nothing.
func (n *Node) Dial(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.dials[addr]; ok || n.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	n.dials[addr] = cancel
	n.wg.Go(func() { n.maintainLink(ctx, addr) })
}

// StopDialling stops dialling addr and closes its link.
func (n *Node) StopDialling(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cancel, ok := n.dials[addr]; ok {
		cancel()
		delete(n.dials, addr)
	}
}

// maintainLink opens a link to addr and reopens it whenever it ends, until ctx ends.
func (n *Node) maintainLink(ctx context.Context, addr string) {
	failures := 0
	for ctx.Err() == nil {
		l, err := n.connect(ctx, addr)
		if err != nil {
			n.logDialFailed(addr, err)
		} else if n.waitEnded(ctx, l) {
			failures = 0
		}
		sleep(ctx, backoff(failures, n.cfg.BackoffMin, n.cfg.BackoffMax, rand.Float64()))
		failures++
	}
}

// waitEnded waits until l has ended or ctx ends, and reports whether l was authenticated. It
// closes l when ctx ends, unless the whole Node is closing: Close first sends the queued
// output.
func (n *Node) waitEnded(ctx context.Context, l *link) bool {
	select {
	case <-l.ended:
	case <-ctx.Done():
		if n.ctx.Err() == nil {
			l.closeWith(ErrClosed)
		}
	}
	return l.authenticated.Load()
}

// connect opens a TCP connection, upgrades it to WebSocket and registers it with the
// dialling engine's event loops.
func (n *Node) connect(ctx context.Context, addr string) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.HandshakeTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	br, _, err := ws.Dialer{}.Upgrade(c, &url.URL{Scheme: "ws", Host: addr, Path: "/"})
	if br != nil {
		ws.PutReader(br)
		err = handshakeError("the peer sent data before Hello", nil)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	l := newLink(n, true, c.RemoteAddr())
	l.upgraded = true
	if _, err := n.client.EnrollContext(c, l); err != nil {
		return nil, err
	}
	if l.conn == nil {
		return nil, handshakeError("the event loop refused the connection", nil)
	}
	return l, nil
}

// backoff returns the delay after a number of consecutive failures. It doubles with each
// failure from minDelay up to maxDelay; jitter in [0, 1) then takes off up to half of it.
func backoff(failures int, minDelay, maxDelay time.Duration, jitter float64) time.Duration {
	d := maxDelay
	if failures < 16 {
		d = min(minDelay<<failures, maxDelay)
	}
	return d - time.Duration(jitter*float64(d)/2)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
