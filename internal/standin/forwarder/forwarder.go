// Package forwarder simulates network partitions between processes, for tests only.
//
// A Network owns TCP forwarders on loopback. Each forwards to one process. The source
// of a connection is either fixed for the forwarder or read from the Hello of a link.
// While two names are cut off from each other, bytes between them and the closing of
// their connections are held back, as on a network that drops packets.
package forwarder

import (
	"io"
	"net"
	"sync"
)

// chunkSize is the maximum number of bytes that are forwarded at once.
const chunkSize = 32 << 10

// Network is a set of forwarders and the cuts (network partitions) between names.
type Network struct {
	mu      sync.Mutex
	changed chan struct{} // closed on each change of cuts; guarded by mu
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
func (n *Network) Cut(a, b string) { n.updateCuts(func() { n.cuts[newCut(a, b)] = true }) }

// Heal ends the cut between a and b.
func (n *Network) Heal(a, b string) { n.updateCuts(func() { delete(n.cuts, newCut(a, b)) }) }

// updateCuts runs f with the lock held and wakes all waiting forwarders.
func (n *Network) updateCuts(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Close stops all forwarders and closes their connections.
func (n *Network) Close() {
	n.updateCuts(func() {
		n.closed = true
		n.cuts = make(map[cut]bool)
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.closers {
		_ = c.Close()
	}
}

// track registers c to be closed by Close. It reports whether the Network is still open.
func (n *Network) track(c io.Closer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, c)
	return !n.closed
}

// Names are the names by which a process can be cut off: its own name and that of its
// availability zone.
type Names []string

// waitUntilReachable blocks while any name in a is cut off from any name in b.
func (n *Network) waitUntilReachable(a, b Names) {
	for {
		n.mu.Lock()
		unreachable, changed := n.isCut(a, b), n.changed
		n.mu.Unlock()
		if !unreachable {
			return
		}
		<-changed
	}
}

// isCut reports whether any name in a is cut off from any name in b; n.mu is held.
func (n *Network) isCut(a, b Names) bool {
	for _, x := range a {
		for _, y := range b {
			if n.cuts[newCut(x, y)] {
				return true
			}
		}
	}
	return false
}

// ForwardLinks forwards the links that ln accepts to the process at addr. The source of
// each link is read from its Hello, and to are the names of the process.
func (n *Network) ForwardLinks(ln net.Listener, addr string, to Names) {
	n.serve(ln, addr, sniffHello, to)
}

// ForwardFrom forwards the connections that ln accepts to the process at addr. Their
// source is from, and to are the names of the process.
func (n *Network) ForwardFrom(ln net.Listener, from Names, addr string, to Names) {
	n.serve(ln, addr, func(in io.Reader) (io.Reader, Names) { return in, from }, to)
}

// sourceFunc determines the source of a connection and returns a reader of the bytes
// that are still to be forwarded.
type sourceFunc func(in io.Reader) (rest io.Reader, from Names)

func (n *Network) serve(ln net.Listener, addr string, identify sourceFunc, to Names) {
	n.track(ln)
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go n.connect(in, addr, identify, to)
		}
	}()
}

// connect forwards one connection in both directions. Until its source is known, bytes
// are forwarded without a check: they are only the WebSocket upgrade.
func (n *Network) connect(in net.Conn, addr string, identify sourceFunc, to Names) {
	out, err := net.Dial("tcp", addr)
	if err != nil {
		_ = in.Close()
		return
	}
	if !n.track(in) || !n.track(out) {
		_ = in.Close()
		_ = out.Close()
		return
	}
	source := make(chan Names, 1)
	go func() {
		rest, from := identify(&upgradeTap{Reader: in, out: out})
		source <- from
		n.forwardRequests(out, rest, from, to)
	}()
	go n.forwardReplies(in, out, source, to)
}

// forwardReplies forwards bytes from the process to the source until the process
// closes the connection.
func (n *Network) forwardReplies(in, out net.Conn, source <-chan Names, to Names) {
	buf := make([]byte, chunkSize)
	var from Names
	for {
		count, err := out.Read(buf)
		select {
		case from = <-source:
		default:
		}
		n.waitUntilReachable(from, to)
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

// forwardRequests forwards bytes from the source to the process until src ends.
func (n *Network) forwardRequests(dst net.Conn, src io.Reader, from, to Names) {
	buf := make([]byte, chunkSize)
	for {
		count, err := src.Read(buf)
		n.waitUntilReachable(from, to)
		if count > 0 {
			_, _ = dst.Write(buf[:count])
		}
		if err != nil {
			_ = dst.Close()
			return
		}
	}
}
