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
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/quarantine"
)

const (
	// workInterval is the interval at which a gateway sends its work to each of up to
	// fullRatePeers others. With more of them the interval grows, so that traffic grows
	// with the number of gateways and not with its square.
	workInterval  = 100 * time.Millisecond
	fullRatePeers = 40
	// subscribeInterval is the interval at which the subscription to the mappers' reports
	// is renewed.
	subscribeInterval = 3 * time.Second
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 8 << 10
)

// workMessage reports to another gateway the number of requests that the sender has at
// each target, and its evidence on what targets crash on. A lost message is not sent again,
// since the next one replaces it.
type workMessage struct {
	Sender string `cbor:"1,keyasint,omitempty"`
	// Work maps the placement.TargetKey of a target's id to the number of requests.
	Work map[uint32]int `cbor:"2,keyasint,omitempty"`
	// Evidence is what the sender knows of requests and parts of prompts that targets crash on.
	Evidence []quarantine.Evidence `cbor:"22,keyasint,omitempty"`
	// Read contains the positions of the newest changes that the sender has read in the store,
	// by topic, if one of them is recent.
	Read []readPosition `cbor:"23,keyasint,omitempty"`
	// Limits are rates that targets have stated in answers to the sender.
	Limits []peerLimit `cbor:"24,keyasint,omitempty"`
	// Report is set instead of the other fields in a mapper's datagram.
	Report *hint.Report `cbor:"21,keyasint,omitempty"`
}

// readPosition is a fleet.Position.
type readPosition struct {
	_ struct{} `cbor:",toarray"`

	Era, Revision int64
}

// peerLimit is a placement.PeerLimit.
type peerLimit struct {
	_ struct{} `cbor:",toarray"`

	Key uint32
	// Rate is in requests per second, or unlimitedRate.
	Rate  float64
	AgeMs int64
}

// unlimitedRate is the rate of a target that states no limit.
const unlimitedRate = -1

func newPeerLimit(l placement.PeerLimit) peerLimit {
	p := peerLimit{Key: l.Key, Rate: unlimitedRate, AgeMs: l.Age.Milliseconds()}
	if l.Limited {
		p.Rate = l.Rate
	}
	return p
}

func (p peerLimit) decode() placement.PeerLimit {
	l := placement.PeerLimit{Key: p.Key, Age: time.Duration(p.AgeMs) * time.Millisecond}
	if p.Rate != unlimitedRate {
		l.RateLimit = placement.RateLimit{Limited: true, Rate: p.Rate}
	}
	return l
}

// peerLink exchanges work messages with other gateways over UDP, and receives reports
// from mappers.
type peerLink struct {
	g *Gateway
	// store follows the store; other gateways tell it of changes that it may have missed.
	store *fleet.Follower

	mu sync.Mutex
	// peers maps the name of each other gateway to its address, and heard to the time of its last
	// message.
	peers map[string]*net.UDPAddr
	heard map[string]time.Time
	// subscribeNow triggers a subscription to the mappers' reports at once.
	subscribeNow chan struct{}
}

func newPeerLink(g *Gateway) *peerLink {
	return &peerLink{g: g, peers: make(map[string]*net.UDPAddr), heard: make(map[string]time.Time), subscribeNow: make(chan struct{}, 1)}
}

// addPeers adds the gateways that the store lists.
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

// add sets the address of another gateway and reports whether the gateway is new.
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

// peerCount returns the number of other known gateways.
func (l *peerLink) peerCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.peers)
}

// peerSilenceTimeout is the time without a message after which another gateway does not count as
// live.
const peerSilenceTimeout = 2 * time.Second

// livePeers returns the number of other gateways that send messages.
func (l *peerLink) livePeers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.heard {
		if time.Since(at) < peerSilenceTimeout {
			n++
		}
	}
	return n
}

func (l *peerLink) recordMessage(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[name] = time.Now()
}

// addresses returns the addresses of the other known gateways.
func (l *peerLink) addresses() []*net.UDPAddr {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.peers))
}

// run sends and receives until ctx ends.
func (l *peerLink) run(ctx context.Context) {
	addr, err := net.ResolveUDPAddr("udp4", l.g.opts.Settings.PeerAddress)
	if err != nil {
		l.g.opts.OnFatalError(err)
		return
	}
	socket, err := net.ListenUDP("udp4", addr)
	if err != nil {
		l.g.opts.OnFatalError(err)
		return
	}
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	go l.receive(ctx, socket)
	workTimer := time.NewTimer(workInterval)
	defer workTimer.Stop()
	subscribeTicker := time.NewTicker(subscribeInterval)
	defer subscribeTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-workTimer.C:
			l.sendWork(socket)
			workTimer.Reset(workInterval * time.Duration(max(1, l.peerCount()/fullRatePeers)))
		case <-l.g.evidenceChanged:
			l.sendWork(socket)
		case <-subscribeTicker.C:
			l.subscribe(socket)
		case <-l.subscribeNow:
			l.subscribe(socket)
		}
	}
}

// subscribe asks the mappers on the engines' instances for their reports. A mapper uses
// the same port number as this process.
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
				l.g.count.peerErrors.Inc(1) // sent again after subscribeInterval
			}
		}
	}
}

// handleReport handles a mapper's report on the lock-step group of its engine.
func (l *peerLink) handleReport(from *net.UDPAddr, r *hint.Report) {
	id, ok := l.g.view.Load().engines[from.IP.String()]
	if !ok {
		return
	}
	l.g.mu.Lock()
	defer l.g.mu.Unlock()
	change := l.g.balancer.HandleGroupReport(l.g.now(), id, r.Group, r.Epoch, r.Open)
	if change != "" {
		l.g.opts.Logger.Info().Str("event", "belief").Str("topic", "groups").Str("subject", r.Group).Str("from", id).
			Int64("epoch", r.Epoch).Str("outcome", change).Msg("")
	}
}

// sendWork sends the current work to every other gateway.
func (l *peerLink) sendWork(socket *net.UDPConn) {
	peers := l.addresses()
	if len(peers) == 0 {
		return
	}
	l.g.mu.Lock()
	work := l.g.balancer.WorkByTarget()
	l.g.quarantine.SetGateways(len(peers) + 1)
	evidence := l.g.quarantine.Evidence(l.g.now())
	l.g.suspecting.Store(l.g.quarantine.Suspects())
	limits := l.g.balancer.LimitsToTell(l.g.now())
	l.g.mu.Unlock()
	m := workMessage{Sender: l.g.opts.Settings.Name, Work: work, Evidence: evidence}
	for _, limit := range limits {
		m.Limits = append(m.Limits, newPeerLimit(limit))
	}
	for _, p := range l.store.Positions() {
		m.Read = append(m.Read, readPosition{Era: p.Era, Revision: p.Revision})
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		l.g.opts.Logger.Error().Str("event", "peer-encode").Err(err).Msg("")
		return
	}
	for _, p := range peers {
		if _, err := socket.WriteToUDP(b, p); err != nil {
			l.g.count.peerErrors.Inc(1) // a full or broken link; the next message follows soon
		}
	}
}

func (l *peerLink) receive(ctx context.Context, socket *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := socket.ReadFromUDP(buf)
		if err != nil {
			l.g.count.peerErrors.Inc(1)
			time.Sleep(time.Millisecond) // avoids a busy loop if the error persists
			continue
		}
		var m workMessage
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			l.g.count.peerErrors.Inc(1)
			continue
		}
		if m.Report != nil {
			l.handleReport(from, m.Report)
			continue
		}
		l.recordMessage(m.Sender)
		if l.add(m.Sender, from) {
			l.g.post(ctx, peerFound{name: m.Sender})
		}
		l.g.mu.Lock()
		l.g.balancer.HandlePeerReport(l.g.now(), m.Sender, m.Work)
		l.handleLimits(&m)
		l.g.mu.Unlock()
		l.g.mergeEvidence(m.Evidence)
		l.observeRead(m.Read)
	}
}

// observeRead handles the positions that another gateway has read in the store.
func (l *peerLink) observeRead(read []readPosition) {
	positions := make([]fleet.Position, 0, len(read))
	for _, p := range read {
		positions = append(positions, fleet.Position{Era: p.Era, Revision: p.Revision})
	}
	l.store.ObservePeer(positions)
}

// handleLimits handles the rates of targets in another gateway's message; g.mu must be held.
func (l *peerLink) handleLimits(m *workMessage) {
	limits := make([]placement.PeerLimit, 0, len(m.Limits))
	for _, p := range m.Limits {
		limits = append(limits, p.decode())
	}
	for _, id := range l.g.balancer.HandlePeerLimits(l.g.now(), limits) {
		l.g.logRateLimit(id, "", m.Sender)
	}
}

// peerFound is the event of the first message from a gateway that was not known yet.
type peerFound struct{ name string }

func (p peerFound) apply(c *control) {
	c.g.opts.Logger.Info().Str("event", "belief").Str("topic", "gateways").Str("subject", p.name).Str("outcome", "gateway-known").Msg("")
	c.publish()
}
