package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
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
	fullRatePeers = hint.ManyGateways
	// remoteWorkInterval is the longest interval at which work is sent to gateways of other
	// availability zones, if there are more than fullRatePeers: links between zones cost more.
	remoteWorkInterval = 900 * time.Millisecond
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 8 << 10
)

// workMessage reports to another gateway the number of requests that the sender has at
// each target, and its evidence on what targets crash on. A lost message is not sent again,
// since the next one replaces it.
type workMessage struct {
	Sender string `cbor:"1,keyasint,omitempty"`
	// Zone is the sender's availability zone.
	Zone string `cbor:"26,keyasint,omitempty"`
	// Work maps the placement.TargetKey of a target's id to the number of requests.
	Work map[uint32]int `cbor:"2,keyasint,omitempty"`
	// Evidence is what the sender knows of requests and parts of prompts that targets crash on.
	Evidence []quarantine.Evidence `cbor:"22,keyasint,omitempty"`
	// Read contains the positions of the newest changes that the sender has read in the store,
	// by topic, if one of them is recent.
	Read []readPosition `cbor:"23,keyasint,omitempty"`
	// Limits are rates that targets have stated in answers to the sender.
	Limits []peerLimit `cbor:"24,keyasint,omitempty"`
	// Relay is what the sender has read in the store, for gateways of its zone.
	Relay *signedRelay `cbor:"27,keyasint,omitempty"`
	// RelayOnly is true if only Relay is set.
	RelayOnly bool `cbor:"28,keyasint,omitempty"`
	// Demand is the sender's demand for services with levels.
	Demand demand `cbor:"29,keyasint,omitempty"`
	// SentUs is the time since the sender's start, in microseconds, if it has services with levels.
	// Messages may arrive late, twice or in another order.
	SentUs int64 `cbor:"31,keyasint,omitempty"`
	// ZoneLoads is what the sender knows of its availability zone, at most 32 entries. It is empty
	// if routing between zones is not enabled.
	ZoneLoads []zoneLoad `cbor:"30,keyasint,omitempty"`
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
	// socket is nil until run has opened it.
	socket atomic.Pointer[net.UDPConn]
	// key signs what gateways have read; nil until it is known. keyOutdated is true if another
	// gateway has signed with another key.
	key         atomic.Pointer[[]byte]
	keyOutdated atomic.Bool

	mu sync.Mutex
	// peers contains the other gateways by their names.
	peers map[string]*peer
	// subscribeNow triggers a subscription to the mappers' reports at once.
	subscribeNow chan struct{}
	// messages counts the periodic messages of work.
	messages int
	// busySent contains the time of the last subscription with Busy to each engine's instance.
	busySent map[string]time.Time
}

// peer is another gateway.
type peer struct {
	addr *net.UDPAddr
	// zone is its availability zone, empty until a message has come; heardAt is the time of the
	// last message.
	zone    string
	heardAt time.Time
}

func newPeerLink(g *Gateway) *peerLink {
	return &peerLink{g: g, peers: make(map[string]*peer), subscribeNow: make(chan struct{}, 1), busySent: make(map[string]time.Time)}
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
	if p := l.peers[name]; p != nil {
		p.addr = addr
		return false
	}
	l.peers[name] = &peer{addr: addr}
	return true
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
	for _, p := range l.peers {
		if time.Since(p.heardAt) < peerSilenceTimeout {
			n++
		}
	}
	return n
}

// recordMessage records that a gateway, which is known, has sent a message from a zone.
func (l *peerLink) recordMessage(name, zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[name]; p != nil {
		p.zone, p.heardAt = zone, time.Now()
	}
}

// addresses returns the addresses of the other known gateways in the own availability zone, or of
// those in other or unknown zones.
func (l *peerLink) addresses(remote bool) []*net.UDPAddr {
	l.mu.Lock()
	defer l.mu.Unlock()
	addrs := make([]*net.UDPAddr, 0, len(l.peers))
	for _, p := range l.peers {
		if remote != (p.zone == l.g.opts.Settings.AvailabilityZone) {
			addrs = append(addrs, p.addr)
		}
	}
	return addrs
}

// remoteDue reports whether the next periodic message goes to gateways of other availability zones
// too, and counts the message.
func (l *peerLink) remoteDue() bool {
	every := 1
	if l.peerCount() > fullRatePeers {
		every = max(1, int(remoteWorkInterval/(workInterval*l.slowdown())))
	}
	l.messages++
	return l.messages%every == 0
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
	l.socket.Store(socket)
	go l.receive(ctx, socket)
	go l.readKey(ctx)
	workTimer := time.NewTimer(workInterval)
	defer workTimer.Stop()
	subscribeTimer := time.NewTimer(subscribeInterval)
	defer subscribeTimer.Stop()
	subscribeUnknown := time.NewTicker(subscribeUnknownInterval)
	defer subscribeUnknown.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-workTimer.C:
			l.sendWork(socket, l.remoteDue())
			l.subscribeBusy(socket)
			workTimer.Reset(workInterval * l.slowdown())
		case <-l.g.evidenceChanged:
			l.sendWork(socket, true)
		case <-subscribeTimer.C:
			l.subscribe(socket)
			subscribeTimer.Reset(subscribeInterval * min(l.slowdown(), maxSubscribeSlowdown))
		case <-subscribeUnknown.C:
			l.subscribeToUnknown(socket)
		case <-l.subscribeNow:
			l.subscribe(socket)
		}
	}
}

// sendWork sends the current work to all other gateways, or to those in the own availability zone.
func (l *peerLink) sendWork(socket *net.UDPConn, all bool) {
	if l.peerCount() == 0 {
		return
	}
	l.g.mu.Lock()
	work := l.g.balancer.WorkByTarget()
	l.g.quarantine.SetGateways(l.peerCount() + 1)
	evidence := l.g.quarantine.Evidence(l.g.now())
	l.g.suspecting.Store(l.g.quarantine.Suspects())
	limits := l.g.balancer.LimitsToTell(l.g.now())
	reports, sentUs := l.g.balancer.DemandToTell(l.g.now()), int64(0)
	if l.g.balancer.HasLevels() {
		sentUs = l.g.now().Microseconds()
	}
	zoneLoads := l.g.balancer.ZoneLoads(l.g.now())
	l.g.mu.Unlock()
	m := workMessage{
		Sender: l.g.opts.Settings.Name, Zone: l.g.opts.Settings.AvailabilityZone, Work: work, Evidence: evidence, SentUs: sentUs,
		Demand: newDemand(reports), ZoneLoads: newZoneLoads(zoneLoads),
	}
	for _, limit := range limits {
		m.Limits = append(m.Limits, newPeerLimit(limit))
	}
	for _, p := range l.store.Positions() {
		m.Read = append(m.Read, readPosition{Era: p.Era, Revision: p.Revision})
	}
	if all {
		l.sendTo(socket, l.addresses(true), m)
	}
	m.Relay = l.signRelay(nil)
	l.sendTo(socket, l.addresses(false), m)
}

// slowdown returns the factor by which the intervals of periodic messages grow with the number of
// gateways.
func (l *peerLink) slowdown() time.Duration {
	return time.Duration(max(1, l.peerCount()/fullRatePeers))
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
		l.handleMessage(ctx, from, &m)
	}
}

// handleMessage handles a message of another gateway or of a mapper.
func (l *peerLink) handleMessage(ctx context.Context, from *net.UDPAddr, m *workMessage) {
	if m.Report != nil {
		l.handleReport(from, m.Report)
		return
	}
	if l.add(m.Sender, from) {
		l.g.post(ctx, peerFound{name: m.Sender})
	}
	l.recordMessage(m.Sender, m.Zone)
	l.handleRelay(m)
	if m.RelayOnly {
		return
	}
	l.g.mu.Lock()
	l.handleWork(m)
	l.handleLimits(m)
	l.g.balancer.HandleZoneLoads(l.g.now(), m.Sender, m.Zone, decodeZoneLoads(m.ZoneLoads))
	l.g.mu.Unlock()
	l.g.mergeEvidence(m.Evidence)
	l.observeRead(m.Read)
}

// handleWork handles the work and the demand in another gateway's message, if that is the newest one;
// g.mu must be held.
func (l *peerLink) handleWork(m *workMessage) {
	now, sent := l.g.now(), time.Duration(m.SentUs)*time.Microsecond
	if l.g.balancer.IsOutdated(now, m.Sender, sent) {
		return
	}
	l.g.balancer.HandlePeerReport(now, m.Sender, m.Work)
	l.g.balancer.HandlePeerDemand(m.Sender, sent, m.Demand.decode())
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
