package gateway

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/hint"
)

const (
	// shareInterval is the period in which a gateway tells each of up to sharePeers
	// others of its work; with more of them it grows, so that traffic grows with the
	// number of gateways and not with its square.
	shareInterval = 100 * time.Millisecond
	sharePeers    = 40
	// subscribeInterval is the period in which mappers are asked for their reports.
	subscribeInterval = 3 * time.Second
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 8 << 10
)

// workMessage is what gateways tell each other: the requests that the sender has at
// each target. A lost one is replaced by the next.
type workMessage struct {
	Sender string `cbor:"1,keyasint,omitempty"`
	// Work is by placement.Key of the target's id.
	Work map[uint32]int `cbor:"2,keyasint,omitempty"`
	// Report is set instead in a mapper's datagram.
	Report *hint.Report `cbor:"21,keyasint,omitempty"`
}

// peerLink exchanges work messages with other gateways over UDP.
type peerLink struct {
	g *Gateway

	mu sync.Mutex
	// peers holds the addresses of the other gateways by name.
	peers map[string]*net.UDPAddr
	// hurry asks for a subscription at once.
	hurry chan struct{}
}

func newPeerLink(g *Gateway) *peerLink {
	return &peerLink{g: g, peers: make(map[string]*net.UDPAddr), hurry: make(chan struct{}, 1)}
}

// addPeers takes in the gateways that the store lists.
func (l *peerLink) addPeers(gateways []fleet.Gateway) {
	for _, gw := range gateways {
		addr, err := net.ResolveUDPAddr("udp4", gw.PeerAddress)
		if err != nil {
			l.g.opts.Logger.Warn().Str("event", "peer-address-refused").Str("gateway", gw.Name).Err(err).Msg("")
			continue
		}
		l.add(gw.Name, addr)
	}
}

// add notes the address of a gateway and reports whether it was unknown.
func (l *peerLink) add(name string, addr *net.UDPAddr) bool {
	if name == l.g.opts.Settings.Name {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.peers[name]
	l.peers[name] = addr
	return old == nil
}

// known returns the number of other gateways.
func (l *peerLink) known() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.peers)
}

// addresses returns the addresses of the other gateways.
func (l *peerLink) addresses() []*net.UDPAddr {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.peers))
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
	share := time.NewTimer(shareInterval)
	defer share.Stop()
	subscribe := time.NewTicker(subscribeInterval)
	defer subscribe.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-share.C:
			l.tell(socket)
			share.Reset(shareInterval * time.Duration(max(1, l.known()/sharePeers)))
		case <-subscribe.C:
			l.subscribe(socket)
		case <-l.hurry:
			l.subscribe(socket)
		}
	}
}

// subscribe asks the mappers beside the engines for their reports. A mapper has the
// port of this process on its engine's instance.
func (l *peerLink) subscribe(socket *net.UDPConn) {
	b, err := (&hint.Message{Subscribe: true}).Encode()
	if err != nil {
		l.g.opts.Logger.Error().Str("event", "peer-encode").Err(err).Msg("")
		return
	}
	port := socket.LocalAddr().(*net.UDPAddr).Port
	for host := range l.g.view.Load().engines {
		if ip := net.ParseIP(host); ip != nil {
			if _, err := socket.WriteToUDP(b, &net.UDPAddr{IP: ip, Port: port}); err != nil {
				l.g.count.peerErrors.Inc(1) // asked again at the next interval
			}
		}
	}
}

// reported takes in a mapper's report.
func (l *peerLink) reported(from *net.UDPAddr, r *hint.Report) {
	id, ok := l.g.view.Load().engines[from.IP.String()]
	if !ok {
		return
	}
	l.g.mu.Lock()
	defer l.g.mu.Unlock()
	change := l.g.balancer.GroupReported(l.g.now(), id, r.Group, r.Epoch, r.Open)
	if change != "" {
		l.g.opts.Logger.Info().Str("event", "belief").Str("topic", "groups").Str("subject", r.Group).Str("from", id).
			Int64("epoch", r.Epoch).Str("outcome", change).Msg("")
	}
}

// tell sends the present work to every other gateway.
func (l *peerLink) tell(socket *net.UDPConn) {
	peers := l.addresses()
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
		n, from, err := socket.ReadFromUDP(buf)
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
		if m.Report != nil {
			l.reported(from, m.Report)
			continue
		}
		if l.add(m.Sender, from) {
			l.g.post(ctx, peerFound{name: m.Sender})
		}
		l.g.mu.Lock()
		l.g.balancer.PeerReported(l.g.now(), m.Sender, m.Work)
		l.g.mu.Unlock()
	}
}

// peerFound is a gateway that made itself known.
type peerFound struct{ name string }

func (p peerFound) apply(c *control) {
	c.g.opts.Logger.Info().Str("event", "belief").Str("topic", "gateways").Str("subject", p.name).Str("outcome", "gateway-known").Msg("")
	c.publish()
}
