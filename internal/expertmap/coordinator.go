package expertmap

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Phase is the phase that a Coordinator is in.
type Phase uint8

// Phases of a Coordinator.
const (
	// PhaseQuery is the phase in which the states of all ranks are collected.
	PhaseQuery Phase = iota + 1
	// PhaseSettle is the phase in which all ranks are brought to one committed version.
	PhaseSettle
	// PhaseRelease is the phase in which all ranks are allowed to switch to the
	// version that all have committed.
	PhaseRelease
	// PhaseIdle is the phase in which the coordinator waits for a proposal.
	PhaseIdle
	// PhasePrepare is the phase in which promises for a new version are collected.
	PhasePrepare
	// PhaseStopped is the final phase of a coordinator that no longer holds the lease.
	PhaseStopped
)

// String returns the phase's name.
func (p Phase) String() string {
	names := [...]string{"none", "query", "settle", "release", "idle", "prepare", "stopped"}
	return names[min(int(p), len(names)-1)]
}

// Coordinator changes a group's map under one fencing number. Each new lease
// needs a new Coordinator.
type Coordinator struct {
	cfg           Config
	fence         uint64
	round         uint64
	phase         Phase
	phaseStart    time.Duration
	lastSent      time.Duration
	ranks         []rankView
	lastVersion   uint64
	targetVersion uint64
	// committed is the last version that this coordinator committed itself.
	committed uint64
	// inherited contains this coordinator's decisions on versions of earlier coordinators.
	inherited []decision
	change    change
	proposal  []byte
	// join is the state that ranks without a map adopt in this round.
	join message.MapJoin
	maps []versionedMap
}

// rankView is the coordinator's view of one rank in this round.
type rankView struct {
	known    bool
	promised bool
	state    message.MapState
}

// lacksMap reports whether the rank has answered and holds no map.
func (v rankView) lacksMap() bool { return v.known && v.state.Active == 0 }

// settled reports whether the rank has committed version and holds no undecided version.
func (v rankView) settled(version uint64) bool {
	return v.state.Committed == version && v.state.Prepared == 0
}

// released reports whether the rank is settled and either uses version or may switch to it.
func (v rankView) released(version uint64) bool {
	return v.settled(version) && (v.state.Active == version || v.state.Released)
}

// decision is the outcome, commit or abort, of one version.
type decision struct {
	version uint64
	commit  bool
}

// change is the change in progress; version is zero if there is none.
type change struct {
	version uint64
	step    uint64
	data    []byte
}

// versionedMap is the encoded map of one version.
type versionedMap struct {
	version uint64
	data    []byte
}

// NewCoordinator returns a Coordinator for the lease with fencing number fence
// and its first effects. All times are readings of the same monotonic clock.
func NewCoordinator(cfg Config, fence uint64, now time.Duration) (*Coordinator, []CoordinatorEffect) {
	c := &Coordinator{cfg: cfg, fence: fence, lastVersion: fence << roundBits}
	c.ranks = make([]rankView, cfg.Ranks)
	return c, c.newRound(now)
}

// Phase returns the coordinator's phase.
func (c *Coordinator) Phase() Phase { return c.phase }

// Version returns the version that the coordinator brings all ranks to, or the
// last one that it committed; it is zero until the first round is settled.
func (c *Coordinator) Version() uint64 { return c.targetVersion }

// PendingRanks returns the ranks from which the coordinator expects an answer.
func (c *Coordinator) PendingRanks() []int {
	var waiting []int
	for i := range c.ranks {
		if c.pendingMessage(i) != nil {
			waiting = append(waiting, i)
		}
	}
	return waiting
}

// Step handles an event that occurs at now and returns the resulting effects.
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
		return c.handleTick(now)
	case FromRank:
		return c.handleMessage(now, ev.Message)
	}
	return nil
}

func (c *Coordinator) handleTick(now time.Duration) []CoordinatorEffect {
	waited := now - c.phaseStart
	if c.phase == PhaseIdle {
		if waited < c.cfg.Poll {
			return nil
		}
		return c.newRound(now)
	}
	if c.phase != PhaseQuery && waited >= c.cfg.ChangeTimeout {
		return c.newRound(now)
	}
	if now-c.lastSent < c.cfg.Resend {
		return nil
	}
	return c.sendPending(now)
}

func (c *Coordinator) handleMessage(now time.Duration, m message.Message) []CoordinatorEffect {
	switch m := m.(type) {
	case *message.MapState:
		if m.Group == c.cfg.Group && m.Rank >= 0 && m.Rank < len(c.ranks) {
			return c.handleRankState(now, m)
		}
	case *message.MapPromise:
		if m.Group == c.cfg.Group && m.Rank >= 0 && m.Rank < len(c.ranks) {
			return c.handlePromise(now, m)
		}
	}
	return nil
}

// handleRankState handles a rank's state. A state with a higher fencing number
// deposes the coordinator.
func (c *Coordinator) handleRankState(now time.Duration, m *message.MapState) []CoordinatorEffect {
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
		c.storeMap(m.Active, m.ActiveMap)
		c.storeMap(m.PendingVersion(), m.PendingMap)
		return c.settleIfAllKnown(now)
	case PhaseSettle, PhaseRelease:
		if m.Committed != c.targetVersion || m.Prepared != 0 || v.released(c.targetVersion) {
			return nil
		}
		v.state = *m
		return c.finishSettle(now)
	}
	return nil
}

// handlePromise records a promise or a refusal. A promise for a version that is
// not being prepared is answered with the decision on that version.
func (c *Coordinator) handlePromise(now time.Duration, m *message.MapPromise) []CoordinatorEffect {
	if m.Fence > c.fence {
		c.phase = PhaseStopped
		return nil
	}
	if m.Fence != c.fence || m.Version>>roundBits != c.fence {
		return nil
	}
	if c.phase != PhasePrepare || m.Version != c.change.version {
		if m.RefusalKind != nil {
			return nil
		}
		return []CoordinatorEffect{Send{Rank: m.Rank, Message: c.decisionMessage(m.Version)}}
	}
	if m.RefusalKind != nil {
		return c.newRound(now)
	}
	c.ranks[m.Rank].promised = true
	return c.commitIfAllPromised(now)
}

// storeMap stores the encoded map of a version, unless it is stored already. It
// drops the oldest map when there are too many.
func (c *Coordinator) storeMap(version uint64, data []byte) {
	if version == 0 || data == nil || c.mapData(version) != nil {
		return
	}
	const maxMaps = 4
	c.maps = append(c.maps, versionedMap{version, data})
	if len(c.maps) > maxMaps {
		c.maps = c.maps[1:]
	}
}

func (c *Coordinator) mapData(version uint64) []byte {
	for _, m := range c.maps {
		if m.version == version {
			return m.data
		}
	}
	return nil
}
