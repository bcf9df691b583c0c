package expertmap

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Phase tells what a Coordinator is doing.
type Phase uint8

// The phases.
const (
	// PhaseQuery collects the state of all ranks.
	PhaseQuery Phase = iota + 1
	// PhaseSettle brings all ranks to one committed version.
	PhaseSettle
	// PhaseRelease lets all ranks switch to the version that all have committed.
	PhaseRelease
	// PhaseIdle waits for a proposal.
	PhaseIdle
	// PhasePrepare collects promises.
	PhasePrepare
	// PhaseStopped ends a coordinator whose lease is gone.
	PhaseStopped
)

// String returns the phase's name.
func (p Phase) String() string {
	names := [...]string{"none", "query", "settle", "release", "idle", "prepare", "stopped"}
	return names[min(int(p), len(names)-1)]
}

// Coordinator changes a group's map under one fence. A new lease needs a new Coordinator.
type Coordinator struct {
	cfg     Config
	fence   uint64
	round   uint64
	phase   Phase
	since   time.Duration
	resent  time.Duration
	ranks   []rankView
	version uint64
	target  uint64
	// committed is the last version that this coordinator committed itself.
	committed uint64
	// inherited are its decisions on versions of earlier coordinators.
	inherited []decision
	change    change
	proposal  []byte
	// join is the state that ranks without a map take over in this round.
	join message.MapJoin
	maps []versionedMap
}

// rankView is what the coordinator knows of one rank in this round.
type rankView struct {
	known    bool
	promised bool
	state    message.MapState
}

// blank tells that the rank holds no map.
func (v rankView) blank() bool { return v.known && v.state.Active == 0 }

// settled tells that the rank has committed version and holds nothing undecided.
func (v rankView) settled(version uint64) bool {
	return v.state.Committed == version && v.state.Prepared == 0
}

// released tells that the rank is settled and uses version or may switch to it.
func (v rankView) released(version uint64) bool {
	return v.settled(version) && (v.state.Active == version || v.state.Released)
}

type decision struct {
	version uint64
	commit  bool
}

// change is the change under way; version is zero when there is none.
type change struct {
	version uint64
	step    uint64
	data    []byte
}

type versionedMap struct {
	version uint64
	data    []byte
}

// NewCoordinator returns a Coordinator for the lease with fencing number fence,
// and its first effects. Times are readings of one monotonic clock.
func NewCoordinator(cfg Config, fence uint64, now time.Duration) (*Coordinator, []CoordinatorEffect) {
	c := &Coordinator{cfg: cfg, fence: fence, version: fence << roundBits}
	c.ranks = make([]rankView, cfg.Ranks)
	return c, c.newRound(now)
}

// Phase returns the coordinator's phase.
func (c *Coordinator) Phase() Phase { return c.phase }

// Version returns the version that all ranks have committed, or zero before that is known.
func (c *Coordinator) Version() uint64 { return c.target }

// Waiting returns the ranks whose answer the coordinator waits for.
func (c *Coordinator) Waiting() []int {
	var waiting []int
	for i := range c.ranks {
		if c.pendingMessage(i) != nil {
			waiting = append(waiting, i)
		}
	}
	return waiting
}

// Step handles an event that arrives at now.
func (c *Coordinator) Step(now time.Duration, ev CoordinatorEvent) []CoordinatorEffect {
	if c.phase == PhaseStopped {
		return nil
	}
	switch ev := ev.(type) {
	case LeaseLost:
		c.phase = PhaseStopped
	case Propose:
		c.proposal = ev.Map
		if c.phase == PhaseIdle {
			return c.newRound(now)
		}
	case Tick:
		return c.tick(now)
	case FromRank:
		return c.received(now, ev.Message)
	}
	return nil
}

func (c *Coordinator) tick(now time.Duration) []CoordinatorEffect {
	waited := now - c.since
	if c.phase == PhaseIdle {
		if waited < c.cfg.Poll {
			return nil
		}
		return c.newRound(now)
	}
	if c.phase != PhaseQuery && waited >= c.cfg.ChangeTimeout {
		return c.newRound(now)
	}
	if now-c.resent < c.cfg.Resend {
		return nil
	}
	return c.send(now)
}

func (c *Coordinator) received(now time.Duration, m message.Message) []CoordinatorEffect {
	switch m := m.(type) {
	case *message.MapState:
		if m.Group == c.cfg.Group && m.Rank >= 0 && m.Rank < len(c.ranks) {
			return c.rankState(now, m)
		}
	case *message.MapPromise:
		if m.Group == c.cfg.Group && m.Rank >= 0 && m.Rank < len(c.ranks) {
			return c.promise(now, m)
		}
	}
	return nil
}

// rankState handles a rank's state; one of a higher fence deposes the coordinator.
func (c *Coordinator) rankState(now time.Duration, m *message.MapState) []CoordinatorEffect {
	v := &c.ranks[m.Rank]
	if m.Fence > c.fence {
		c.phase = PhaseStopped
		return nil
	}
	if v.known && m.Active == 0 && m.Incarnation != v.state.Incarnation {
		return c.newRound(now)
	}
	if m.Fence != c.fence || m.Round != c.round {
		return nil
	}
	switch c.phase {
	case PhaseQuery:
		if v.known && m.ActiveMap == nil {
			return nil
		}
		v.known, v.state = true, *m
		c.keepMap(m.Active, m.ActiveMap)
		c.keepMap(m.PendingVersion(), m.PendingMap)
		return c.settleIfKnown(now)
	case PhaseSettle, PhaseRelease:
		if m.Committed != c.target || m.Prepared != 0 || v.released(c.target) {
			return nil
		}
		v.state = *m
		return c.finishSettle(now)
	}
	return nil
}

// promise counts a promise; one for a version that is not being prepared is
// answered with that version's decision.
func (c *Coordinator) promise(now time.Duration, m *message.MapPromise) []CoordinatorEffect {
	if m.Fence > c.fence {
		c.phase = PhaseStopped
		return nil
	}
	if m.Fence != c.fence || m.Version>>roundBits != c.fence {
		return nil
	}
	if c.phase != PhasePrepare || m.Version != c.change.version {
		if m.Refused != nil {
			return nil
		}
		return []CoordinatorEffect{Send{Rank: m.Rank, Message: c.decide(m.Version)}}
	}
	if m.Refused != nil {
		return c.newRound(now)
	}
	c.ranks[m.Rank].promised = true
	return c.commitIfPromised(now)
}

// keepMap remembers the bytes of a version.
func (c *Coordinator) keepMap(version uint64, data []byte) {
	if version == 0 || data == nil || c.mapOf(version) != nil {
		return
	}
	const kept = 4
	c.maps = append(c.maps, versionedMap{version, data})
	if len(c.maps) > kept {
		c.maps = c.maps[1:]
	}
}

func (c *Coordinator) mapOf(version uint64) []byte {
	for _, m := range c.maps {
		if m.version == version {
			return m.data
		}
	}
	return nil
}
