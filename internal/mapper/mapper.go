// Package mapper adapts the expert map of a lock-step group, that is an expert-parallel
// group whose ranks run every pass together, to the demand for experts. Packages group and
// expertmap call a pass a step.
//
// One process runs beside each rank's engine. A leader sends beacons to the other processes,
// and a process leads unless it receives beacons; of several leaders, the one of the lowest rank
// remains. The leader collects the counts of all ranks, plans, and changes the map with package
// mapswitch. In large groups, collectors sum up the counts and ranks pass on the maps. The
// processes communicate over UDP and send lost messages again.
//
// One goroutine owns the state of a process. The choice of the leader affects only
// progress: mapswitch remains safe with several leaders.
package mapper

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/hint"
	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

const (
	// pollInterval is the period in which a process reads its local engine; the engine is
	// on the same instance, so that a read is cheap.
	pollInterval = 100 * time.Millisecond
	// reportInterval is the period of the messages to other processes while nothing
	// changes. In groups of more than smallGroupSize ranks, heartbeats to the leader and its
	// requests are sent half as often then.
	reportInterval = hint.FrequentInterval
	smallGroupSize = 40
	// shiftReportTime is the time after a shift of the demand in which a rank sends a
	// heartbeat at every poll: the first reading may still include some of the earlier
	// demand.
	shiftReportTime = 150 * time.Millisecond
	// shiftSettleTime is the time after the first report of a shift within which all other
	// ranks detect it and their reports are sent: one poll interval and the transmission.
	shiftSettleTime = 120 * time.Millisecond
	// planInterval is the least time between two plans, unless the demand shifts.
	planInterval = 250 * time.Millisecond
	// discoverInterval is the least time between two reads of the store for the processes
	// of the group, while some are missing.
	discoverInterval = 3 * time.Second
	// demandWindow is the time over which the demand for experts is measured: long enough
	// to smooth out single requests.
	demandWindow = 700 * time.Millisecond
	// The pauses between rounds are switchRoundPause while a change is about to switch,
	// copyRoundPause once the experts should be copied, settleRoundPause while a plan waits
	// for the ranks to report a shifted demand, and idleRoundPause while there is nothing
	// to do or ranks are missing.
	switchRoundPause = 5 * time.Millisecond
	copyRoundPause   = 20 * time.Millisecond
	settleRoundPause = 60 * time.Millisecond
	idleRoundPause   = time.Second
	// callTimeout is the timeout of one call to the local engine.
	callTimeout = 300 * time.Millisecond
)

// Reading is the state that an engine reports for its rank.
type Reading struct {
	// Group is empty if the engine is in no group.
	Group string
	Rank  int
	Size  int
	State mapswitch.State
	// Running and Waiting are the numbers of requests that the engine runs and queues.
	Running, Waiting int
}

// RankExperts contains the experts of one rank by layer, in an active or a prepared map.
type RankExperts struct {
	Version int64
	Experts [][]uint16
}

// Engine is the model engine beside the process.
type Engine interface {
	// Read returns the rank's state, without the digest of the prepared experts.
	Read(ctx context.Context) (Reading, error)
	// Counts returns how often each expert has been chosen by this rank's requests since
	// the engine started, by layer and expert.
	Counts(ctx context.Context) ([]int64, error)
	// ExpertRows returns the rank's active experts and its prepared experts, if any.
	ExpertRows(ctx context.Context) (active RankExperts, prepared *RankExperts, err error)
	// Order carries out an order; Unknown means that there was no answer.
	Order(ctx context.Context, o mapswitch.Order) (mapswitch.Result, error)
}

// Options are the settings and dependencies of a Mapper.
type Options struct {
	// PeerAddress is the IP address and UDP port of this process; all processes use the
	// same port.
	PeerAddress string
	// Service is the name of the engine's service.
	Service string
	Engine  Engine
	// Listen opens the socket on PeerAddress; nil means listenUDP.
	Listen      func(*net.UDPAddr) (Socket, error)
	Source      fleet.Source
	DemandStore DemandStore
	Logger      *log.Logger
	Metrics     tally.Scope
}

// DemandStore stores a group's demand for experts so that it survives the end of all
// processes. The stored demand is only a starting point: a group that forms again uses it
// instead of no demand.
type DemandStore interface {
	LoadDemand(ctx context.Context, group string) ([]byte, error)
	SaveDemand(ctx context.Context, group string, demand []byte) error
}

// Mapper runs beside one rank.
type Mapper struct {
	opts               Options
	changes, abandoned tally.Counter
	events             chan event
	socket             Socket
	address            *net.UDPAddr

	// The fields below are owned by the goroutine of Run.

	local  Reading
	rows   localRows
	counts countHistory
	engine *fleet.Engine
	peers  map[string]*net.UDPAddr
	leader knownLeader
	// collector gathers the demand of other ranks if a leader has appointed this process.
	collector collector
	// leaderState is the state for leading the group, nil until this process first leads.
	// It is kept while another process leads, so that a change that has begun is completed.
	leaderState *leaderState
	isLeader    bool
	// firstEpoch is the group's epoch when this process first observed it.
	firstEpoch int64
	// joinedAt is the time when this process first observed its rank; every rank but rank 0
	// waits leaderTimeout for a leader before it leads.
	joinedAt time.Time
	// reportedAt is the time of the last periodic messages to others, heartbeatAt that of
	// the last heartbeat, and shiftedAt that of the last shift of the local demand.
	reportedAt, heartbeatAt, shiftedAt time.Time
	// reportedVersion is the map version in the last heartbeat. heartbeatsSent is the number of
	// heartbeats since rowsSentTo changed.
	reportedVersion int64
	rowsSentTo      rowsRecipient
	heartbeatsSent  int
	// lastPlannedDemand is the demand for which the group was last planned, or the demand
	// read from the store.
	lastPlannedDemand  []float64
	savedAt            time.Time
	discoveryStartedAt time.Time
	discovering        bool
	// stopping is true once the process has been asked to stop.
	stopping bool
	// subscribers contains the gateways that receive hints, by address.
	subscribers map[string]*subscriber
}

// localRows contains the experts of the local rank and the digest of the prepared ones.
type localRows struct {
	active   RankExperts
	prepared *RankExperts
	digest   uint64
}

// knownLeader is the process from which the last accepted beacon came.
type knownLeader struct {
	rank       int
	addr       *net.UDPAddr
	lastBeacon time.Time
	// collector is the address to which this process reports its demand; see datagram.
	collector netip.AddrPort
}

// leaderState is the state with which a process leads a group.
type leaderState struct {
	coordinator *mapswitch.Coordinator
	planner     *rebalance.Planner
	shape       rebalance.Shape
	members     map[int]*member
	// demands contains the last report of demand of each sender, and collectors the collector of
	// each block of ranks.
	demands    map[int]rankDemand
	collectors map[int]appointment
	round      *round
	nextRound  time.Time
	plannedAt  time.Time
	begunAt    time.Time
	// copyTime is the expected time for copying the change's experts, and copyDueAt the
	// time when the copies should be complete; zero until all ranks have received their
	// prepare orders.
	copyTime  time.Duration
	copyDueAt time.Time
	// shiftedAt is the time of the first report of the last shift of the demand, and
	// lastShiftReport that of the latest.
	shiftedAt, lastShiftReport time.Time
	// plannedDemand is the demand for which the current change was planned, and lastDemand
	// the demand when a plan was last considered.
	plannedDemand, lastDemand []float64
	commands                  []mapswitch.Command
	// planned is the map of the current change, and lastMap that of the last completed one.
	planned, lastMap switchedMap
}

// switchedMap is a map to which all ranks have switched, with the experts by layer and rank.
type switchedMap struct {
	epoch, version int64
	rows           [][][]uint16
}

// member is the leader's state of one rank.
type member struct {
	addr     *net.UDPAddr
	lastSeen time.Time
	// demandAt is the time of the last report that included the rank's demand.
	demandAt time.Time
	rows     RankExperts
}

// event is a function that the goroutine of Run calls.
type event func(ctx context.Context, m *Mapper)

// New returns a Mapper, which Run starts.
func New(opts Options) *Mapper {
	if opts.Listen == nil {
		opts.Listen = listenUDP
	}
	return &Mapper{opts: opts, changes: opts.Metrics.Counter("map_changes"), abandoned: opts.Metrics.Counter("map_changes_abandoned"), events: make(chan event, 256), peers: map[string]*net.UDPAddr{}, subscribers: map[string]*subscriber{}}
}

// Run runs the mapper until ctx ends.
func (m *Mapper) Run(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp4", m.opts.PeerAddress)
	if err != nil {
		return err
	}
	m.address = addr
	if m.socket, err = m.opts.Listen(addr); err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = m.socket.Close() })
	go m.receive(ctx)
	poll := time.NewTimer(0)
	defer poll.Stop()
	rounds := time.NewTimer(idleRoundPause)
	defer rounds.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-m.events:
			ev(ctx, m)
		case <-poll.C:
			m.poll(ctx)
			poll.Reset(pollInterval)
		case <-rounds.C:
		}
		rounds.Reset(m.stepRounds(ctx))
	}
}

// post passes an event to the goroutine of Run.
func (m *Mapper) post(ctx context.Context, ev event) {
	select {
	case m.events <- ev:
	case <-ctx.Done():
	}
}

// poll reads the local engine and sends the messages that are due.
func (m *Mapper) poll(ctx context.Context) {
	m.discover(ctx)
	reading, err := m.readEngine(ctx)
	if err != nil {
		m.opts.Logger.Debug().Str("event", "engine-unread").Err(err).Msg("")
		return
	}
	changed := reading.State.Open != m.local.State.Open || reading.State.Epoch != m.local.State.Epoch
	m.recordReading(reading)
	now := time.Now()
	due := changed || now.Sub(m.reportedAt) >= reportInterval
	if due {
		m.reportedAt = now
		m.sendHints(now, changed)
	}
	if reading.Group == "" || !reading.State.Open {
		return
	}
	if m.readCounts(ctx) {
		m.shiftedAt = now
	}
	m.elect(ctx)
	if due && m.isLeader {
		m.sendBeacon()
	}
	m.forwardDemand(now)
	version := m.rows.active.Version
	if now.Sub(m.heartbeatAt) >= m.heartbeatInterval() || now.Sub(m.shiftedAt) < shiftReportTime || version != m.reportedVersion {
		m.heartbeatAt, m.reportedVersion = now, version
		m.sendHeartbeat()
	}
}

// heartbeatInterval returns the period of heartbeats while the demand is steady.
func (m *Mapper) heartbeatInterval() time.Duration {
	if m.local.Size > smallGroupSize {
		return 2 * reportInterval
	}
	return reportInterval
}

// recordReading stores a reading and logs changes of the local rank's group and map.
func (m *Mapper) recordReading(r Reading) {
	old := m.local
	m.local = r
	if old.Group != r.Group || old.Rank != r.Rank || old.Size != r.Size {
		m.firstEpoch, m.leaderState, m.isLeader, m.joinedAt = r.State.Epoch, nil, false, time.Now()
	}
	if old.Group != r.Group || old.State.Epoch != r.State.Epoch || old.State.Open != r.State.Open {
		m.opts.Logger.Info().Str("event", "belief").Str("topic", "group").Str("group", r.Group).Int("rank", r.Rank).
			Int64("epoch", r.State.Epoch).Bool("open", r.State.Open).Int64("pass", r.State.Pass).Msg("")
	}
	if old.State.Version != r.State.Version {
		m.opts.Logger.Info().Str("event", "belief").Str("topic", "map").Str("group", r.Group).
			Int64("version", r.State.Version).Int64("pass", r.State.Pass).Msg("")
	}
}

// readEngine returns the local rank's state with the digest of its prepared experts.
func (m *Mapper) readEngine(ctx context.Context) (Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reading, err := m.opts.Engine.Read(ctx)
	if err != nil {
		return Reading{}, err
	}
	s := &reading.State
	stale := m.rows.active.Experts == nil || m.rows.active.Version != s.Version || reading.State.Epoch != m.local.State.Epoch ||
		s.Prepared != 0 && (m.rows.prepared == nil || m.rows.prepared.Version != s.Prepared)
	if stale {
		active, prepared, err := m.opts.Engine.ExpertRows(ctx)
		if err != nil {
			return Reading{}, err
		}
		m.rows = localRows{active: active, prepared: prepared}
		if prepared != nil {
			m.rows.digest = expertsDigest(prepared.Experts)
		}
	}
	if m.rows.prepared != nil && s.Prepared == m.rows.prepared.Version {
		s.Digest = m.rows.digest
	}
	return reading, nil
}
