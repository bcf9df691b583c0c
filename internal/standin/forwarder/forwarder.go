// Package forwarder cuts processes off from each other, for tests only.
//
// A Network owns TCP forwarders on loopback. Each forwards to one process; the
// source of a connection is either fixed by the forwarder or read from the Hello
// of a link. While two names are cut from each other, bytes between them, and the
// ends of their connections, are held back as on a network that drops packets.
package forwarder

import (
	"io"
	"net"
	"sync"
)

// chunkSize is the most bytes that are forwarded at once.
const chunkSize = 32 << 10

// Network is a set of forwarders and the cuts between names.
type Network struct {
	mu      sync.Mutex
	changed chan struct{} // closed at each change of cuts; guarded by mu
	cuts    map[cut]bool  // guarded by mu
	closers []io.Closer   // guarded by mu
	closed  bool          // guarded by mu
}

// cut is an unordered pair of names, the lesser first.
type cut struct{ a, b string }

func newCut(a, b string) cut {
	if b < a {
		a, b = b, a
	}
	return cut{a, b}
}

// New returns a Network without cuts.
func New() *Network {
	return &Network{changed: make(chan struct{}), cuts: make(map[cut]bool)}
}

// Cut holds back everything between the names a and b.
func (n *Network) Cut(a, b string) { n.change(func() { n.cuts[newCut(a, b)] = true }) }

// Heal ends the cut between a and b.
func (n *Network) Heal(a, b string) { n.change(func() { delete(n.cuts, newCut(a, b)) }) }

func (n *Network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Close ends all forwarders and their connections.
func (n *Network) Close() {
	n.change(func() {
		n.closed = true
		n.cuts = make(map[cut]bool)
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.closers {
		_ = c.Close()
	}
}

// own registers c for Close; it reports whether the Network is still open.
func (n *Network) own(c io.Closer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, c)
	return !n.closed
}

// Names are the names under which a process can be cut off: its own and its
// availability zone's.
type Names []string

// pass blocks while any of a is cut from any of b.
func (n *Network) pass(a, b Names) {
	for {
		n.mu.Lock()
		blocked, changed := n.blocked(a, b), n.changed
		n.mu.Unlock()
		if !blocked {
			return
		}
		<-changed
	}
}

// blocked reports whether a cut lies between a and b; n.mu is held.
func (n *Network) blocked(a, b Names) bool {
	for _, x := range a {
		for _, y := range b {
			if n.cuts[newCut(x, y)] {
				return true
			}
		}
	}
	return false
}

// Link forwards links that ln accepts to the process at addr; sources are read
// from their Hello.
func (n *Network) Link(ln net.Listener, addr string, to Names) {
	n.serve(ln, addr, sniffHello, to)
}

// From forwards connections of the source from that ln accepts to the process at
// addr.
func (n *Network) From(ln net.Listener, from Names, addr string, to Names) {
	n.serve(ln, addr, func(in io.Reader) (io.Reader, Names) { return in, from }, to)
}

// identify finds the source of a connection and returns what is left to forward.
type identify func(in io.Reader) (rest io.Reader, from Names)

func (n *Network) serve(ln net.Listener, addr string, who identify, to Names) {
	n.own(ln)
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go n.connect(in, addr, who, to)
		}
	}()
}

// connect forwards one connection both ways. Until its source is known, bytes
// pass freely: they are only the WebSocket upgrade.
func (n *Network) connect(in net.Conn, addr string, who identify, to Names) {
	out, err := net.Dial("tcp", addr)
	if err != nil {
		_ = in.Close()
		return
	}
	if !n.own(in) || !n.own(out) {
		_ = in.Close()
		_ = out.Close()
		return
	}
	known := make(chan Names, 1)
	go func() {
		rest, from := who(&upgradeTap{Reader: in, out: out})
		known <- from
		n.pump(out, rest, from, to)
	}()
	go n.answer(in, out, known, to)
}

// answer forwards from the process back to the source.
func (n *Network) answer(in, out net.Conn, known <-chan Names, to Names) {
	buf := make([]byte, chunkSize)
	var from Names
	for {
		count, err := out.Read(buf)
		select {
		case from = <-known:
		default:
		}
		n.pass(from, to)
		if count > 0 {
			_, _ = in.Write(buf[:count])
		}
		if err != nil {
			_ = in.Close()
			_ = out.Close()
			return
		}
	}
}

// pump forwards from src to dst until src ends.
func (n *Network) pump(dst net.Conn, src io.Reader, from, to Names) {
	buf := make([]byte, chunkSize)
	for {
		count, err := src.Read(buf)
		n.pass(from, to)
		if count > 0 {
			_, _ = dst.Write(buf[:count])
		}
		if err != nil {
			_ = dst.Close()
			return
		}
	}
}
