package mapper

import (
	"cmp"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/hint"
	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

func TestQuantiseRoundTrip(t *testing.T) {
	counts := []int64{0, 10, 1000, 118538}
	q, largest := quantise(counts)
	for i, v := range dequantise(q, largest) {
		// Half a step of the root r = sqrt(c/largest) changes c by at most this much.
		c := float64(counts[i])
		bound := math.Sqrt(c*largest)/255 + largest/(4*255*255)
		assert.Assert(t, math.Abs(v-c) <= bound*1.0001, "%d: %v", i, v)
	}
}

func TestDeltaCoversDemandWindow(t *testing.T) {
	var h countHistory
	begin := time.Now()
	for i := range int64(10) {
		h.add(begin.Add(time.Duration(i)*demandWindow/4), []int64{10 * i})
	}
	d := h.delta()[0]
	assert.Assert(t, d >= 40 && d <= 50, d)
	h.add(begin.Add(time.Hour), []int64{3}) // the engine was restarted
	assert.Equal(t, h.delta()[0], int64(0))
}

// TestShiftRestartsTheWindow moves the demand to other experts between two readings.
func TestShiftRestartsTheWindow(t *testing.T) {
	const experts = 64
	rng := rand.New(rand.NewPCG(1, 2))
	total := make([]int64, experts)
	var h countHistory
	at := time.Now()
	addReading := func(favourite int) bool {
		for range 2000 {
			e := rng.IntN(experts)
			if rng.IntN(2) == 0 {
				e = (favourite + rng.IntN(8)) % experts
			}
			total[e]++
		}
		at = at.Add(pollInterval)
		return h.add(at, append([]int64(nil), total...))
	}
	for range 50 {
		assert.Assert(t, !addReading(0), "a shift was reported although the demand is steady")
	}
	assert.Assert(t, addReading(30))
	assert.Equal(t, sum(h.delta()), 2000.0)
	assert.Assert(t, !addReading(30), "a shift was reported although the new demand is steady")
	assert.Assert(t, float64(h.delta()[31])/sum(h.delta()) > 0.05)
	assert.Assert(t, float64(h.delta()[1])/sum(h.delta()) < 0.02, "the window still contains some of the earlier demand")
}

// TestSmallSampleShowsNoShift compares two samples of different demands: at first one of
// them is too small to show a shift, then both are large enough.
func TestSmallSampleShowsNoShift(t *testing.T) {
	assert.Assert(t, !demandsDiffer([]int64{3, 0, 0, 0}, []int64{0, 400, 300, 300}))
	assert.Assert(t, demandsDiffer([]int64{90, 0, 0, 0}, []int64{0, 400, 300, 300}))
}

func TestMapWithFreeSlotsRoundTrip(t *testing.T) {
	shape := rebalance.Shape{Ranks: 2, Layers: 1, Experts: 4, SlotsPerRank: 3}
	rows := [][][]uint16{{{0, 2}, {1, 3}}}
	m := mapFromRows(shape, rows, rebalance.Popularity{Experts: 4, Load: []float64{9, 1, 3, 2}})
	assert.DeepEqual(t, m.Slots, []uint16{0, 2, 2, 1, 3, 1})
	assert.NilError(t, m.Validate())
	assert.DeepEqual(t, rowsFromMap(m), rows)
}

// fakeGroup is a lock-step group of engines that leave some orders unanswered.
type fakeGroup struct {
	mu             sync.Mutex
	rng            *rand.Rand
	pass           int64
	epoch          int64
	lossRate       float64
	ranks          []fakeRank
	versionsDiffer bool
	switched       int
	// period is the number of experts after which the demand for them repeats; zero means never.
	period int
	// shift is the number of experts by which the demand has moved.
	shift int
	// maxCopies is the number of new experts of a layer above which a rank rejects a map; zero means none.
	maxCopies int
	// idle is true while there are no requests, so that no pass begins.
	idle bool
}

type fakeRank struct {
	version, highest, prepared, armed, armedPass, held int64
	rows, preparedRows                                 [][]uint16
	counts                                             []int64
}

func newFakeGroup(ranks, layers, experts int) *fakeGroup {
	g := &fakeGroup{rng: rand.New(rand.NewPCG(3, 4)), epoch: 1}
	for r := range ranks {
		rank := fakeRank{held: mapswitch.NoPass, counts: make([]int64, layers*experts)}
		for range layers {
			var row []uint16
			for e := r; e < experts; e += ranks {
				row = append(row, uint16(e))
			}
			rank.rows = append(rank.rows, row)
		}
		g.ranks = append(g.ranks, rank)
	}
	return g
}

// tick begins a pass unless it is held. Every rank's requests choose the first experts most
// often.
func (g *fakeGroup) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle {
		return
	}
	for i := range g.ranks {
		if g.ranks[i].held == g.pass+1 {
			return
		}
	}
	g.pass++
	for i := range g.ranks {
		r := &g.ranks[i]
		if r.armed != 0 && r.armedPass == g.pass {
			r.version, r.rows, r.armed, r.prepared = r.armed, r.preparedRows, 0, 0
			g.switched++
		}
		for e := range r.counts {
			r.counts[e] += int64(1000 / (1 + (e+g.shift)%cmp.Or(g.period, len(r.counts))))
		}
	}
	for i := range g.ranks {
		g.versionsDiffer = g.versionsDiffer || g.ranks[i].version != g.ranks[0].version
	}
}

// fakeEngine is one rank of a fakeGroup.
type fakeEngine struct {
	g    *fakeGroup
	rank int
}

func (e fakeEngine) Read(context.Context) (Reading, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	r := &e.g.ranks[e.rank]
	return Reading{Group: "g", Rank: e.rank, Size: len(e.g.ranks), Running: 2, State: mapswitch.State{
		Open: true, Epoch: e.g.epoch, Pass: e.g.pass, Version: r.version, Prepared: r.prepared,
		ArmedVersion: r.armed, ArmedPass: r.armedPass, HeldPass: r.held,
	}}, nil
}

func (e fakeEngine) Counts(context.Context) ([]int64, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	return append([]int64(nil), e.g.ranks[e.rank].counts...), nil
}

func (e fakeEngine) ExpertRows(context.Context) (RankExperts, *RankExperts, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	r := &e.g.ranks[e.rank]
	active := RankExperts{Version: r.version, Experts: r.rows}
	if r.prepared == 0 {
		return active, nil, nil
	}
	return active, &RankExperts{Version: r.prepared, Experts: r.preparedRows}, nil
}

func (e fakeEngine) Order(_ context.Context, o mapswitch.Order) (mapswitch.Result, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	if e.g.rng.Float64() < e.g.lossRate {
		return mapswitch.Unknown, io.ErrUnexpectedEOF
	}
	r := &e.g.ranks[e.rank]
	switch o.Op {
	case mapswitch.Prepare:
		if o.Version <= r.highest || r.armed != 0 || e.g.maxCopies > 0 && e.newExperts(o.Map) > e.g.maxCopies {
			return mapswitch.Rejected, nil
		}
		r.highest, r.prepared, r.preparedRows = o.Version, o.Version, nil
		for layer := range o.Map {
			r.preparedRows = append(r.preparedRows, o.Map[layer][e.rank])
		}
	case mapswitch.Hold:
		if o.Pass <= e.g.pass {
			return mapswitch.Rejected, nil
		}
		r.held = o.Pass
	case mapswitch.Arm:
		if r.prepared != o.Version || o.Pass <= e.g.pass {
			return mapswitch.Rejected, nil
		}
		r.armed, r.armedPass = o.Version, o.Pass
	case mapswitch.Disarm:
		r.armed = 0
	case mapswitch.Go:
		if r.held == o.Pass {
			r.held = mapswitch.NoPass
		}
	}
	return mapswitch.Accepted, nil
}

// newExperts returns the largest number of experts of a layer that a map adds to the rank.
func (e fakeEngine) newExperts(m [][][]uint16) int {
	most := 0
	for layer, active := range e.g.ranks[e.rank].rows {
		added := slices.DeleteFunc(slices.Clone(m[layer][e.rank]), func(expert uint16) bool { return slices.Contains(active, expert) })
		most = max(most, len(added))
	}
	return most
}

// fakeSource returns fixed batches.
type fakeSource struct {
	fleet.Source
	batches map[fleet.Topic]fleet.Batch
}

func (s fakeSource) List(_ context.Context, topic fleet.Topic) (fleet.Batch, error) {
	return s.batches[topic], nil
}

type emptyDemandStore struct{}

func (emptyDemandStore) LoadDemand(context.Context, string) ([]byte, error) { return nil, nil }
func (emptyDemandStore) SaveDemand(context.Context, string, []byte) error   { return nil }

// startMappers runs a mapper beside each rank of a group, each on an IP address of its own,
// and returns their addresses.
func startMappers(t *testing.T, g *fakeGroup) []string {
	t.Helper()
	probe, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	port := probe.LocalAddr().(*net.UDPAddr).Port
	assert.NilError(t, probe.Close())
	source := fakeSource{batches: map[fleet.Topic]fleet.Batch{
		fleet.TopicConfig: {Changes: []fleet.Change{{Name: "main", Config: &fleet.Config{Version: 1, Services: []fleet.Service{{
			Name: "s", Engine: &fleet.Engine{Layers: 2, Experts: 8, SlotsPerRank: 4, MaxCopiesPerChange: 2, CopyTime: time.Millisecond},
		}}}}}},
	}}
	var addrs []string
	var targets []fleet.Change
	for r := range g.ranks {
		host := "127.0.0." + strconv.Itoa(10+r)
		addrs = append(addrs, net.JoinHostPort(host, strconv.Itoa(port)))
		targets = append(targets, fleet.Change{Name: host, Target: &fleet.Target{ID: host, Service: "s", Address: host + ":80"}})
	}
	source.batches[fleet.TopicTargets] = fleet.Batch{Changes: targets}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for r, addr := range addrs {
		m := New(Options{
			PeerAddress: addr, Metrics: tally.NoopScope, Service: "s", Engine: fakeEngine{g, r},
			Source: source, DemandStore: emptyDemandStore{}, Logger: &log.Logger{Level: log.PanicLevel},
		})
		go func() {
			if err := m.Run(ctx); err != nil {
				t.Error(err)
			}
		}()
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			g.tick()
		}
	}()
	return addrs
}

// TestGroupSwitchesMapOnUnevenDemand checks that all ranks of a group with uneven demand
// switch to another map at the same pass, also when some orders are not answered.
func TestGroupSwitchesMapOnUnevenDemand(t *testing.T) {
	for _, lossRate := range []float64{0, 0.3} {
		g := newFakeGroup(4, 2, 8)
		g.lossRate = lossRate
		startMappers(t, g)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.versionsDiffer {
				return poll.Error(io.ErrUnexpectedEOF)
			}
			if g.switched < 4 {
				return poll.Continue("%d ranks switched, pass %d", g.switched, g.pass)
			}
			return poll.Success()
		}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
	}
}

// TestSubscriberGetsReports checks that a gateway that subscribes receives the state of the
// engine without a request to the engine.
func TestSubscriberGetsReports(t *testing.T) {
	g := newFakeGroup(2, 2, 8)
	addrs := startMappers(t, g)
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = socket.Close() }()
	to, err := net.ResolveUDPAddr("udp4", addrs[0])
	assert.NilError(t, err)
	b, err := (&hint.Message{Subscribe: true}).Encode()
	assert.NilError(t, err)
	buf := make([]byte, 1024)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := socket.WriteTo(b, to)
		assert.NilError(t, err)
		assert.NilError(t, socket.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		n, _, err := socket.ReadFrom(buf)
		if err != nil {
			return poll.Continue("no report yet: %v", err)
		}
		m, err := hint.Decode(buf[:n])
		assert.NilError(t, err)
		assert.DeepEqual(t, *m.Report, hint.Report{Group: "g", Epoch: 1, Open: true, Running: 2, Frequent: true})
		return poll.Success()
	})
}

// TestNoPlanWhileDemandShifts evaluates a group's demand repeatedly while it moves to other
// experts.
func TestNoPlanWhileDemandShifts(t *testing.T) {
	var l leaderState
	demand := func(first, second float64) rebalance.Popularity {
		return rebalance.Popularity{Experts: 2, Load: []float64{first, second}}
	}
	assert.Assert(t, !l.demandUnsteady(demand(90, 10)))
	assert.Assert(t, !l.demandUnsteady(demand(85, 15)))
	assert.Assert(t, l.demandUnsteady(demand(60, 40)))
	assert.Assert(t, l.awaitingHeartbeats())
	l.shiftedAt = l.shiftedAt.Add(-shiftSettleTime)
	assert.Assert(t, !l.demandUnsteady(demand(20, 80)), "a shift was reported although every rank has reported the new demand")
	l.plannedAt = time.Now()
	assert.Assert(t, !l.demandUnsteady(demand(20, 80)))
}
