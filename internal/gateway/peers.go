package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
)

const (
	// shareInterval is the period in which gateways tell each other of their work.
	shareInterval = 100 * time.Millisecond
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 8 << 10
)

// workMessage is what gateways tell each other: the requests that the sender has at
// each target. A lost one is replaced by the next.
type workMessage struct {
	Sender string         `cbor:"1,keyasint"`
	Work   map[string]int `cbor:"2,keyasint"`
}

// peerLink exchanges work messages with other gateways over UDP.
type peerLink struct {
	g *Gateway

	mu    sync.Mutex
	peers []*net.UDPAddr
}

func newPeerLink(g *Gateway) *peerLink { return &peerLink{g: g} }

// setPeers replaces the gateways that are told.
func (l *peerLink) setPeers(gateways []fleet.Gateway) {
	var peers []*net.UDPAddr
	for _, gw := range gateways {
		if gw.Name == l.g.opts.Settings.Name {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp4", gw.PeerAddress)
		if err != nil {
			l.g.opts.Logger.Warn().Str("event", "peer-address-refused").Str("gateway", gw.Name).Err(err).Msg("")
			continue
		}
		peers = append(peers, addr)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = peers
}

// run sends and receives until ctx ends.
func (l *peerLink) run(ctx context.Context) {
	addr, err := net.ResolveUDPAddr("udp4", l.g.opts.Settings.PeerAddress)
	if err != nil {
		l.g.opts.Broken(err)
		return
	}
	socket, err := net.ListenUDP("udp4", addr)
	if err != nil {
		l.g.opts.Broken(err)
		return
	}
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	go l.receive(ctx, socket)
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tell(socket)
		}
	}
}

// tell sends the present work to every other gateway.
func (l *peerLink) tell(socket *net.UDPConn) {
	l.mu.Lock()
	peers := l.peers
	l.mu.Unlock()
	if len(peers) == 0 {
		return
	}
	l.g.mu.Lock()
	work := l.g.balancer.Work()
	l.g.mu.Unlock()
	b, err := cbor.Marshal(workMessage{Sender: l.g.opts.Settings.Name, Work: work})
	if err != nil {
		l.g.opts.Logger.Error().Str("event", "peer-encode").Err(err).Msg("")
		return
	}
	for _, p := range peers {
		if _, err := socket.WriteToUDP(b, p); err != nil {
			l.g.count.peerErrors.Inc(1) // a full or cut link; the next message follows soon
		}
	}
}

func (l *peerLink) receive(ctx context.Context, socket *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := socket.ReadFromUDP(buf)
		if err != nil {
			l.g.count.peerErrors.Inc(1)
			time.Sleep(time.Millisecond) // an error that stays must not spin
			continue
		}
		var m workMessage
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			l.g.count.peerErrors.Inc(1)
			continue
		}
		l.g.mu.Lock()
		l.g.balancer.PeerReported(l.g.now(), m.Sender, m.Work)
		l.g.mu.Unlock()
	}
}
