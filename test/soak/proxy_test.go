//go:build soak

package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is how a proxy treats the bytes that it forwards.
type mode int32

const (
	passThrough mode = iota
	delay
	blockAll     // holds back bytes in both directions
	blockAnswers // holds back bytes from upstream only
	modeCount
)

// proxyDelay is the delay of each chunk of data in mode delay.
const proxyDelay = 40 * time.Millisecond

// proxy is a TCP proxy on loopback in front of the address upstream.
type proxy struct {
	address  string
	upstream string
	mode     atomic.Int32

	mu    sync.Mutex
	ln    net.Listener
	conns map[*net.TCPConn]bool
}

func newProxy(upstream string) (*proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: ln.Addr().String(), ln: ln, upstream: upstream, conns: map[*net.TCPConn]bool{}}
	go p.serve(ln)
	return p, nil
}

func (p *proxy) addr() string { return p.address }

// refuse closes the listener, so that new connections are refused, and all open connections.
func (p *proxy) refuse() {
	p.mu.Lock()
	_ = p.ln.Close()
	p.mu.Unlock()
	p.reset()
}

// listen accepts connections again after refuse.
func (p *proxy) listen() error {
	ln, err := net.Listen("tcp4", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.ln = ln
	p.mu.Unlock()
	go p.serve(ln)
	return nil
}

func (p *proxy) setMode(m mode) { p.mode.Store(int32(m)) }

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.refuse()
	p.setMode(passThrough)
}

func (p *proxy) serve(ln net.Listener) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		go p.forward(in.(*net.TCPConn))
	}
}

func (p *proxy) forward(in *net.TCPConn) {
	raw, err := net.Dial("tcp4", p.upstream)
	if err != nil {
		_ = in.SetLinger(0)
		_ = in.Close()
		return
	}
	out := raw.(*net.TCPConn)
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Add(2)
	go p.pump(&pumps, out, in, false)
	go p.pump(&pumps, in, out, true)
	pumps.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// pump copies bytes from src to dst until src ends or a read or write fails. fromUpstream is
// true for the direction that carries answers.
func (p *proxy) pump(pumps *sync.WaitGroup, dst, src *net.TCPConn, fromUpstream bool) {
	defer pumps.Done()
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		for {
			m := mode(p.mode.Load())
			if m != blockAll && (m != blockAnswers || !fromUpstream) {
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
