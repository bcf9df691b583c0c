// Package mapper fits the expert map of a lock-step group to the experts that are in
// demand. One process runs beside each rank's engine. The process of the lowest rank
// that is heard leads: it gathers the counts of all ranks, plans, and changes the map
// by package mapswitch. Processes talk over UDP; what is lost is said again.
//
// One goroutine owns the state of a process. Which process leads is a matter of
// progress only: mapswitch stays safe with several leaders.
package mapper

import (
	"context"
	"net"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

const (
	// pollInterval is the period in which a process reads its own engine, which is free
	// of charge on its own machine.
	pollInterval = 100 * time.Millisecond
	// tellInterval is the period in which it tells others while nothing changes; ranks of
	// groups larger than smallGroup tell the leader half as often.
	tellInterval = 250 * time.Millisecond
	smallGroup   = 40
	// shiftTold is how long after a shift of the demand a rank tells the leader at every
	// look: the first reading may still hold some of the demand before.
	shiftTold = 150 * time.Millisecond
	// shiftSettle is the time after the first word of a shift in which all other ranks
	// see it too: a look of theirs and the way.
	shiftSettle = 120 * time.Millisecond
	// leaderTimeout is the silence after which a leader is no longer believed.
	leaderTimeout = 1500 * time.Millisecond
	// planInterval is the least time between two plans, unless the demand shifts.
	planInterval = 250 * time.Millisecond
	// discoverInterval is the least time between two looks into the store for the
	// processes of the group, while some are missing.
	discoverInterval = 3 * time.Second
	// countWindow is the time over which the demand for experts is measured: long enough
	// to smooth single requests.
	countWindow = 700 * time.Millisecond
	// busyRound, copyRound and calmRound are the pauses between rounds while a change is
	// about to switch, once experts should be copied, and while a plan waits for news.
	busyRound = 5 * time.Millisecond
	copyRound = 20 * time.Millisecond
	calmRound = 60 * time.Millisecond
	idleRound = time.Second
	// callTimeout bounds one call to the own engine.
	callTimeout = 300 * time.Millisecond
)

// Reading is what an engine says of its rank.
type Reading struct {
	// Group is empty if the engine is in no group.
	Group string
	Rank  int
	Size  int
	State mapswitch.State
	// Running and Waiting are the requests at the engine.
	Running, Waiting int
}

// Rows are the experts of one rank by layer, in force or prepared.
type Rows struct {
	Version int64
	Experts [][]uint16
}

// Engine is the model engine beside the process.
type Engine interface {
	// Read returns the rank's state; the digest of what is prepared is left out.
	Read(ctx context.Context) (Reading, error)
	// Counts returns how often each expert was chosen by this rank's requests since the
	// engine's start, by layer and expert.
	Counts(ctx context.Context) ([]int64, error)
	// Lists returns the rank's experts in force and, if any, prepared.
	Lists(ctx context.Context) (inForce Rows, prepared *Rows, err error)
	// Order carries out an order; Unknown means that there was no answer.
	Order(ctx context.Context, o mapswitch.Order) (mapswitch.Result, error)
}

// Options are the collaborators of a Mapper.
type Options struct {
	// PeerAddress is the IP address and UDP port of this process; others use the same port.
	PeerAddress string
	// Service is the service of the engine.
	Service string
	Engine  Engine
	Source  fleet.Source
	Memory  Memory
	Logger  *log.Logger
	Metrics tally.Scope
}

// Memory keeps a group's demand for experts where it outlasts all processes. It is a
// hint only: a group that forms anew starts from it instead of from nothing.
type Memory interface {
	Recall(ctx context.Context, group string) ([]byte, error)
	Remember(ctx context.Context, group string, demand []byte) error
}

// Mapper runs beside one rank.
type Mapper struct {
	opts               Options
	changes, abandoned tally.Counter
	events             chan event
	socket             *net.UDPConn
	port               int

	// The fields below are owned by the goroutine of Run.

	own    Reading
	lists  lists
	counts countWindowed
	engine *fleet.Engine
	peers  map[string]*net.UDPAddr
	leader leader
	// lead is the state of leading the group; it is kept while another process leads,
	// so that a change that has begun is finished.
	lead    *leading
	leading bool
	// firstEpoch is the group's epoch when it was first seen.
	firstEpoch int64
	// joined is when the process first saw its rank; ranks but the first wait a while
	// for a leader before they lead.
	joined time.Time
	// toldAt is when others were last told, helloAt when the leader was, and shiftedAt when
	// the own demand last shifted.
	toldAt, helloAt, shiftedAt time.Time
	// toldVersion is the map that the leader was last told of.
	toldVersion int64
	// remembered is the demand for experts that was last planned for.
	remembered []float64
	savedAt    time.Time
	lookAt     time.Time
	looking    bool
	// subscribers are the gateways that get hints, and since when.
	subscribers map[string]subscriber
}

// lists are the rows of the own rank.
type lists struct {
	inForce  Rows
	prepared *Rows
	digest   uint64
}

// leader is the process that is believed to lead the group.
type leader struct {
	rank  int
	addr  *net.UDPAddr
	heard time.Time
}

// leading is the state of a process that leads.
type leading struct {
	coordinator *mapswitch.Coordinator
	planner     *rebalance.Planner
	shape       rebalance.Shape
	members     map[int]*member
	round       *round
	nextRound   time.Time
	planned     time.Time
	begun       time.Time
	// copying is the time in which the change's experts should be copied, and copiedAt
	// when they should be; zero until all ranks have been told.
	copying  time.Duration
	copiedAt time.Time
	// shiftedAt is when the ranks began to tell of the last shift of the demand, and
	// shiftHeard when one last did.
	shiftedAt, shiftHeard time.Time
	// plannedFor is the demand that the change under way is for, and lookedAt the demand
	// when a plan was last considered.
	plannedFor, lookedAt []float64
	commands             []mapswitch.Command
}

// member is what the leader knows of one rank.
type member struct {
	addr  *net.UDPAddr
	heard time.Time
	load  []float64
	rows  Rows
}

// event is something that the owner goroutine takes in.
type event func(ctx context.Context, m *Mapper)

// New returns a Mapper; Run starts it.
func New(opts Options) *Mapper {
	return &Mapper{opts: opts, changes: opts.Metrics.Counter("map_changes"), abandoned: opts.Metrics.Counter("map_changes_abandoned"), events: make(chan event, 256), peers: map[string]*net.UDPAddr{}, subscribers: map[string]subscriber{}}
}

// Run works until ctx ends.
func (m *Mapper) Run(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp4", m.opts.PeerAddress)
	if err != nil {
		return err
	}
	m.port = addr.Port
	if m.socket, err = net.ListenUDP("udp4", addr); err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = m.socket.Close() })
	go m.receive(ctx)
	poll := time.NewTimer(0)
	defer poll.Stop()
	rounds := time.NewTimer(idleRound)
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

func (m *Mapper) post(ctx context.Context, ev event) {
	select {
	case m.events <- ev:
	case <-ctx.Done():
	}
}

// poll reads the own engine and tells the leader.
func (m *Mapper) poll(ctx context.Context) {
	m.discover(ctx)
	reading, err := m.read(ctx)
	if err != nil {
		m.opts.Logger.Debug().Str("event", "engine-unread").Err(err).Msg("")
		return
	}
	changed := reading.State.Open != m.own.State.Open || reading.State.Epoch != m.own.State.Epoch
	m.note(reading)
	now := time.Now()
	tell := changed || now.Sub(m.toldAt) >= tellInterval
	if tell {
		m.toldAt = now
		m.hintAll()
	}
	if reading.Group == "" || !reading.State.Open {
		return
	}
	if m.readCounts(ctx) {
		m.shiftedAt = now
	}
	m.elect(ctx)
	if tell && m.leading {
		m.beacon()
	}
	version := m.lists.inForce.Version
	if now.Sub(m.helloAt) >= m.helloInterval() || now.Sub(m.shiftedAt) < shiftTold || version != m.toldVersion {
		m.helloAt, m.toldVersion = now, version
		m.hello()
	}
}

// helloInterval is the period in which the leader is told while the demand is steady.
func (m *Mapper) helloInterval() time.Duration {
	if m.own.Size > smallGroup {
		return 2 * tellInterval
	}
	return tellInterval
}

// note logs changes of the own rank's group and map.
func (m *Mapper) note(r Reading) {
	old := m.own
	m.own = r
	if old.Group != r.Group || old.Rank != r.Rank || old.Size != r.Size {
		m.firstEpoch, m.lead, m.leading, m.joined = r.State.Epoch, nil, false, time.Now()
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

// read returns the own rank's state with the digest of what it has prepared.
func (m *Mapper) read(ctx context.Context) (Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reading, err := m.opts.Engine.Read(ctx)
	if err != nil {
		return Reading{}, err
	}
	s := &reading.State
	stale := m.lists.inForce.Experts == nil || m.lists.inForce.Version != s.Version || reading.State.Epoch != m.own.State.Epoch ||
		s.Prepared != 0 && (m.lists.prepared == nil || m.lists.prepared.Version != s.Prepared)
	if stale {
		inForce, prepared, err := m.opts.Engine.Lists(ctx)
		if err != nil {
			return Reading{}, err
		}
		m.lists = lists{inForce: inForce, prepared: prepared}
		if prepared != nil {
			m.lists.digest = digestOf(prepared.Experts)
		}
	}
	if m.lists.prepared != nil && s.Prepared == m.lists.prepared.Version {
		s.Digest = m.lists.digest
	}
	return reading, nil
}

// elect believes the leader that was heard, or leads itself.
func (m *Mapper) elect(ctx context.Context) {
	if m.leader.addr != nil && m.leader.rank < m.own.Rank && time.Since(m.leader.heard) < leaderTimeout {
		if m.leading {
			m.opts.Logger.Info().Str("event", "leading-ends").Int("leader", m.leader.rank).Msg("")
			m.leading = false
		}
		return
	}
	if m.leading || m.engine == nil || m.engine.Layers == 0 || m.own.Rank > 0 && time.Since(m.joined) < leaderTimeout {
		return
	}
	m.opts.Logger.Info().Str("event", "leading").Str("group", m.own.Group).Int("rank", m.own.Rank).Msg("")
	m.leading = true
	if m.lead == nil {
		m.lead = m.newLeading()
		m.recall(ctx)
	}
}
