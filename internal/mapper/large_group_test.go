package mapper

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
)

// The network of a large deployment: the rate of the link of an engine's instance, the bytes that
// may wait at it, the delay between availability zones, and the share of datagrams that are lost.
const (
	simLinkRate  = 6e6 / 8 // bytes per second
	simLinkQueue = 64 << 10
	simDelay     = 1400 * time.Microsecond
	simLossRate  = 0.005
	// simStartSpread is the time within which all processes start.
	simStartSpread = 300 * time.Millisecond
	// simOverhead is the size of the headers of a datagram in bytes.
	simOverhead = 28
)

// simLink is one direction of a link that carries one datagram at a time.
type simLink struct {
	freeAt time.Time
	bytes  int
}

// send returns the time until a datagram has passed the link, or false if the link is full.
func (l *simLink) send(size int) (time.Duration, bool) {
	wait := max(0, time.Until(l.freeAt))
	if wait.Seconds()*simLinkRate > simLinkQueue {
		return 0, false
	}
	wait += time.Duration(float64(size+simOverhead) / simLinkRate * float64(time.Second))
	l.freeAt = time.Now().Add(wait)
	l.bytes += size + simOverhead
	return wait, true
}

// simNetwork delivers datagrams between sockets over links of limited rate.
type simNetwork struct {
	mu      sync.Mutex
	rng     *rand.Rand
	sockets map[string]*simSocket
	// lost, if set, reports whether a datagram gets lost.
	lost func(from, to *net.UDPAddr, b []byte) bool
}

type simDatagram struct {
	from *net.UDPAddr
	data []byte
}

// simSocket is a Socket of a simNetwork.
type simSocket struct {
	network  *simNetwork
	addr     *net.UDPAddr
	up, down simLink
	arrived  chan simDatagram
	closed   chan struct{}
}

func newSimNetwork() *simNetwork {
	return &simNetwork{rng: rand.New(rand.NewPCG(5, 6)), sockets: map[string]*simSocket{}}
}

func (n *simNetwork) listen(addr *net.UDPAddr) (Socket, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &simSocket{network: n, addr: addr, arrived: make(chan simDatagram, 4096), closed: make(chan struct{})}
	n.sockets[addr.String()] = s
	return s, nil
}

func (s *simSocket) Close() error {
	close(s.closed)
	return nil
}

func (s *simSocket) ReadFromUDP(b []byte) (int, *net.UDPAddr, error) {
	select {
	case d := <-s.arrived:
		return copy(b, d.data), d.from, nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

func (s *simSocket) WriteToUDP(b []byte, addr *net.UDPAddr) (int, error) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	took, ok := s.up.send(len(b))
	if !ok || s.network.rng.Float64() < simLossRate || s.network.lost != nil && s.network.lost(s.addr, addr, b) {
		return len(b), nil
	}
	d := simDatagram{from: s.addr, data: append([]byte(nil), b...)}
	time.AfterFunc(took+simDelay, func() { s.network.deliver(addr, d) })
	return len(b), nil
}

// deliver passes a datagram through the receiver's link.
func (n *simNetwork) deliver(addr *net.UDPAddr, d simDatagram) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.sockets[addr.String()]
	if to == nil {
		return
	}
	took, ok := to.down.send(len(d.data))
	if !ok {
		return
	}
	time.AfterFunc(took, func() {
		select {
		case to.arrived <- d:
		default: // the receive buffer is full
		}
	})
}

// received returns the number of bytes that have reached each socket.
func (n *simNetwork) received() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	bytes := make(map[string]int, len(n.sockets))
	for addr, s := range n.sockets {
		bytes[addr] = s.down.bytes
	}
	return bytes
}

// largeGroup is a fakeGroup of the size of a large deployment with a mapper beside each rank.
type largeGroup struct {
	*fakeGroup
	network *simNetwork
	mappers []*Mapper
	engines []*movableEngine
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

const (
	largeGroupLayers  = 16
	largeGroupExperts = 192
)

// startLargeGroup starts a group of the size; it must be called in a synctest bubble.
func startLargeGroup(ranks int) *largeGroup {
	ctx, cancel := context.WithCancel(context.Background())
	l := &largeGroup{fakeGroup: newFakeGroup(ranks, largeGroupLayers, largeGroupExperts), network: newSimNetwork(), cancel: cancel}
	l.period = largeGroupExperts
	var targets []fleet.Change
	for r := range ranks {
		host := "10.0.0." + strconv.Itoa(1+r)
		targets = append(targets, fleet.Change{Name: host, Target: &fleet.Target{ID: host, Service: "s", Address: host + ":80"}})
	}
	engine := &fleet.Engine{Layers: largeGroupLayers, Experts: largeGroupExperts, SlotsPerRank: 3, MaxCopiesPerChange: 1, CopyTime: 10 * time.Millisecond}
	source := fakeSource{batches: map[fleet.Topic]fleet.Batch{
		fleet.TopicConfig: {Changes: []fleet.Change{{Name: "main", Config: &fleet.Config{
			Version: 1, Services: []fleet.Service{{Name: "s", Engine: engine}},
		}}}},
		fleet.TopicTargets: {Changes: targets},
	}}
	for r := range ranks {
		l.engines = append(l.engines, &movableEngine{g: l.fakeGroup})
		l.engines[r].rank.Store(int32(r))
		m := New(Options{
			PeerAddress: "10.0.0." + strconv.Itoa(1+r) + ":7340", Metrics: tally.NoopScope, Service: "s",
			Engine: l.engines[r], Source: source, DemandStore: emptyDemandStore{},
			Logger: &log.Logger{Level: log.PanicLevel}, Listen: l.network.listen,
		})
		l.mappers = append(l.mappers, m)
		l.wg.Go(func() {
			time.Sleep(time.Duration(r) * simStartSpread / time.Duration(ranks))
			_ = m.Run(ctx)
		})
	}
	l.wg.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(30 * time.Millisecond)
			l.tick()
		}
	})
	return l
}

func (l *largeGroup) stop() {
	l.cancel()
	l.wg.Wait()
	time.Sleep(time.Second) // lets the receivers and pending deliveries end
}

// moveDemand moves the demand to other experts.
func (l *largeGroup) moveDemand() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shift, l.switched = l.shift+largeGroupExperts/3, 0
}

// waitSwitched waits until every rank has switched its map, and returns the time that it took, or
// false after the limit.
func (l *largeGroup) waitSwitched(limit time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < limit {
		time.Sleep(10 * time.Millisecond)
		l.mu.Lock()
		switched, differ := l.switched, l.versionsDiffer
		l.mu.Unlock()
		if differ {
			return time.Since(began), false
		}
		if switched >= len(l.ranks) {
			return time.Since(began), true
		}
	}
	return limit, false
}

// leaders returns the number of processes that lead.
func (l *largeGroup) leaders() int {
	n := 0
	for _, m := range l.mappers {
		if m.State(context.Background()).Leading {
			n++
		}
	}
	return n
}

// TestLargeGroupSwitchesMapOverSlowLinks checks that a group whose ranks have links of a few
// megabits per second changes its map: neither the reports of demand nor the new map, which every
// rank needs whole, may fill the leader's link so that its beacons are lost.
func TestLargeGroupSwitchesMapOverSlowLinks(t *testing.T) {
	for _, ranks := range []int{96, 128} {
		synctest.Test(t, func(t *testing.T) {
			l := startLargeGroup(ranks)
			defer l.stop()
			took, ok := l.waitSwitched(5 * time.Second)
			assert.Assert(t, ok, "%d of %d ranks switched", l.switched, ranks)
			t.Logf("%d ranks switched after %v", ranks, took)
			time.Sleep(3 * time.Second)
			assert.Equal(t, l.leaders(), 1)
		})
	}
}

// leaderLinkShare is the share of a link that a leader's incoming messages may use while the
// demand is steady.
const leaderLinkShare = 0.1

// TestLeaderLinkLoadStaysSmall measures the bytes that the leader and the other ranks receive
// while the demand is steady.
func TestLeaderLinkLoadStaysSmall(t *testing.T) {
	for _, ranks := range []int{96, 128} {
		synctest.Test(t, func(t *testing.T) {
			l := startLargeGroup(ranks)
			defer l.stop()
			time.Sleep(8 * time.Second)
			const period = 4 * time.Second
			before := l.network.received()
			time.Sleep(period)
			busiest := 0.0
			leader := 0.0
			for addr, bytes := range l.network.received() {
				share := float64(bytes-before[addr]) / period.Seconds() / simLinkRate
				busiest = max(busiest, share)
				if addr == l.mappers[0].opts.PeerAddress {
					leader = share
				}
			}
			t.Logf("%d ranks: the leader receives %.3f of its link, the busiest rank %.3f", ranks, leader, busiest)
			assert.Assert(t, leader < leaderLinkShare)
			assert.Assert(t, busiest < 2*leaderLinkShare)
		})
	}
}

// demandShiftInterval is the shortest interval at which the demand shifts.
const demandShiftInterval = 3 * time.Second

// TestLargeGroupFollowsShiftsOfDemand moves the demand repeatedly. The map must be changed in the
// first half of the time for which the demand lasts.
func TestLargeGroupFollowsShiftsOfDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLargeGroup(96)
		defer l.stop()
		_, ok := l.waitSwitched(5 * time.Second)
		assert.Assert(t, ok)
		for range 5 {
			time.Sleep(demandShiftInterval)
			l.moveDemand()
			took, ok := l.waitSwitched(demandShiftInterval / 2)
			t.Logf("switched %v after a shift", took)
			assert.Assert(t, ok, "%d of 96 ranks switched", l.switched)
		}
	})
}

// TestAnotherCollectorIsAppointed loses all reports of demand to the collector of the second
// block, while its heartbeats reach the leader.
func TestAnotherCollectorIsAppointed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLargeGroup(96)
		defer l.stop()
		_, ok := l.waitSwitched(5 * time.Second)
		assert.Assert(t, ok)
		deaf := ""
		l.network.mu.Lock()
		l.network.lost = func(_, to *net.UDPAddr, b []byte) bool {
			var d datagram
			if err := cbor.Unmarshal(b, &d); err != nil || d.Demand == nil || d.Rank/collectorBlock != 1 {
				return false
			}
			if deaf == "" {
				deaf = to.String()
			}
			return to.String() == deaf
		}
		l.network.mu.Unlock()
		time.Sleep(2 * collectorTimeout)
		l.moveDemand()
		took, ok := l.waitSwitched(demandShiftInterval)
		assert.Assert(t, ok, "%d of 96 ranks switched", l.switched)
		t.Logf("switched %v after a shift", took)
	})
}

// TestMapReachesRanksBehindALostRelay loses every second request with a map that a rank would pass
// on to others.
func TestMapReachesRanksBehindALostRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLargeGroup(96)
		defer l.stop()
		relays := 0
		l.network.mu.Lock()
		l.network.lost = func(_, _ *net.UDPAddr, b []byte) bool {
			var d datagram
			if err := cbor.Unmarshal(b, &d); err != nil || d.Request == nil || len(d.Request.Relay) == 0 {
				return false
			}
			relays++
			return relays%2 == 0
		}
		l.network.mu.Unlock()
		took, ok := l.waitSwitched(8 * time.Second)
		assert.Assert(t, ok, "%d of 96 ranks switched", l.switched)
		t.Logf("switched after %v", took)
	})
}
