//go:build soak

package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is what a proxy does with the bytes that pass it.
type mode int32

const (
	pass mode = iota
	delay
	silence
	oneWay // answers are held back
	modes
)

// proxyDelay is added to each piece of data in mode delay.
const proxyDelay = 40 * time.Millisecond

// proxy stands before an address on loopback.
type proxy struct {
	ln   net.Listener
	to   string
	mode atomic.Int32

	mu    sync.Mutex
	conns map[*net.TCPConn]bool
}

func newProxy(to string) (*proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, to: to, conns: map[*net.TCPConn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) set(m mode) { p.mode.Store(int32(m)) }

// reset ends all open connections with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.set(pass)
	p.reset()
}

func (p *proxy) serve() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(in.(*net.TCPConn))
	}
}

func (p *proxy) forward(in *net.TCPConn) {
	raw, err := net.Dial("tcp4", p.to)
	if err != nil {
		_ = in.SetLinger(0)
		_ = in.Close()
		return
	}
	out := raw.(*net.TCPConn)
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	var ends sync.WaitGroup
	ends.Add(2)
	go p.pump(&ends, out, in, false)
	go p.pump(&ends, in, out, true)
	ends.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

func (p *proxy) pump(ends *sync.WaitGroup, dst, src *net.TCPConn, answers bool) {
	defer ends.Done()
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		for {
			m := mode(p.mode.Load())
			if m != silence && (m != oneWay || !answers) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if mode(p.mode.Load()) == delay {
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				_ = src.Close()
				return
			}
		}
		if err == io.EOF {
			_ = dst.CloseWrite()
			return
		}
		if err != nil {
			_ = dst.SetLinger(0)
			_ = dst.Close()
			return
		}
	}
}
