package link

import (
	"context"
	"math/rand/v2"
	"net"
	"net/url"
	"time"

	"github.com/gobwas/ws"
)

// Dial keeps a link to addr alive until Undial or Close; a second call for the
// same address does nothing.
func (n *Node) Dial(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.dials[addr]; ok || n.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	n.dials[addr] = cancel
	n.wg.Go(func() { n.keepDialled(ctx, addr) })
}

// Undial stops dialling addr and ends its link.
func (n *Node) Undial(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cancel, ok := n.dials[addr]; ok {
		cancel()
		delete(n.dials, addr)
	}
}

// keepDialled opens a link to addr again whenever it has ended.
func (n *Node) keepDialled(ctx context.Context, addr string) {
	failures := 0
	for ctx.Err() == nil {
		l, err := n.connect(ctx, addr)
		if err != nil {
			n.logDialFailed(addr, err)
		} else if n.await(ctx, l) {
			failures = 0
		}
		pause(ctx, backoff(failures, n.cfg.BackoffMin, n.cfg.BackoffMax, rand.Float64()))
		failures++
	}
}

// await returns when l has ended and reports whether it was ever authenticated. It
// closes l when ctx ends, except when the whole Node closes: queued output is
// sent first then.
func (n *Node) await(ctx context.Context, l *link) bool {
	select {
	case <-l.ended:
	case <-ctx.Done():
		if n.ctx.Err() == nil {
			l.closeWith(ErrClosed)
		}
	}
	return l.up.Load()
}

// connect opens a TCP connection, upgrades it and gives it to the event loops.
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
		err = handshakeError("the peer spoke before Hello", nil)
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

// backoff returns the pause after a number of failures in a row: exponential
// between least and most, with up to half of it taken off by jitter in [0, 1).
func backoff(failures int, least, most time.Duration, jitter float64) time.Duration {
	d := most
	if failures < 16 {
		d = min(least<<failures, most)
	}
	return d - time.Duration(jitter*float64(d)/2)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
