// Package mapswitch changes the expert map of a lock-step group, that is an expert-parallel
// group whose ranks run every pass together. All ranks use the same map in every pass,
// although any order may be lost or carried out seconds late. The engines of the group
// support the orders prepare, hold, arm, disarm and go. Packages group and expertmap call a
// pass a step.
//
// A Coordinator works in rounds. In each round at most one order is sent to each rank, and
// the state of each rank is read after it. A coordinator keeps its state in memory only. A
// change takes four stages:
//
//  1. prepare: every rank copies the experts of a new map version.
//  2. hold: the coordinator's own rank keeps the group from beginning pass S.
//  3. arm: every rank is set to switch to the new version as pass S begins.
//  4. go: the hold is released, but only after all ranks were observed to be armed.
//
// A hold that does not belong to the coordinator's current change is settled, whichever rank
// it is at: every rank that is not armed prepares a higher version, which makes any late arm of
// an earlier version fail, and the ranks that the coordinators of the holding rank armed for
// the held pass are disarmed. Only then is the hold released. If every rank is armed with one
// version, that change is released instead. The owner of the hold may still run: it can't find
// all ranks armed once one of them has prepared the higher version, and no rank is disarmed
// before that. A version that was disarmed once is never armed again, since a late disarm may
// still be in transit.
//
// No two changes of an epoch have the same version, and no rank holds the same pass twice, so
// that a late order of one change never acts on another. A version modulo the size of the group
// is the rank of the coordinator that issued it; of its versions, every other one is for fences,
// which are prepared but never armed. The versions of changes and the held passes grow with the
// passes of the group and are at most restartPasses passes ahead. A process that starts within an
// epoch begins no change until that many passes have begun, and so stays above all that the
// earlier processes of its rank may have issued, although no rank may show it yet.
package mapswitch

import "slices"

// Op is the kind of an order.
type Op uint8

// The orders.
const (
	Prepare Op = iota + 1
	Hold
	Arm
	Disarm
	Go
)

// IsKnown reports whether the order is one of those above.
func (o Op) IsKnown() bool { return o >= Prepare && o <= Go }

// String returns the order's name for logs.
func (o Op) String() string {
	if !o.IsKnown() {
		return "unknown"
	}
	return [...]string{"", "prepare", "hold", "arm", "disarm", "go"}[o]
}

// Order is one order to one rank.
type Order struct {
	Op Op `cbor:"1,keyasint"`
	// Epoch is the group's epoch in which the order is valid; a rank rejects it in any
	// other.
	Epoch int64 `cbor:"2,keyasint"`
	// Version is set for Prepare, Arm and Disarm.
	Version int64 `cbor:"3,keyasint"`
	// Pass is set for Hold, Arm and Go.
	Pass int64 `cbor:"4,keyasint"`
	// Map is set for the Prepare of a change: the experts by layer and rank. A Prepare without a
	// map is a fence: the rank prepares the experts of its active map again.
	Map [][][]uint16 `cbor:"5,keyasint"`
}

// Result is the outcome of an order.
type Result uint8

// The results.
const (
	// Unknown means that the order was not answered; it may still be carried out later.
	Unknown Result = iota
	// Accepted means that the order was carried out or has begun to be carried out.
	Accepted
	// Rejected means that the order was not valid in the rank's state.
	Rejected
	// NoOrder means that the rank received a request without an order.
	NoOrder
)

// NoPass stands for no pass; it is the value of State.HeldPass for a rank that holds none.
const NoPass = -1

// State is the state of one rank, read after the round's order to it.
type State struct {
	Open  bool  `cbor:"1,keyasint"`
	Epoch int64 `cbor:"2,keyasint"`
	// Pass is the last pass that has begun.
	Pass int64 `cbor:"3,keyasint"`
	// Version is the version of the active map.
	Version int64 `cbor:"4,keyasint"`
	// Prepared is the version whose experts are all loaded, or zero. Digest identifies
	// those experts.
	Prepared int64  `cbor:"5,keyasint,omitempty"`
	Digest   uint64 `cbor:"6,keyasint,omitempty"`
	// ArmedVersion is the version to which the rank switches as ArmedPass begins, or zero.
	ArmedVersion int64 `cbor:"7,keyasint,omitempty"`
	ArmedPass    int64 `cbor:"8,keyasint,omitempty"`
	// HeldPass is the pass that the rank keeps the group from beginning, or NoPass.
	HeldPass int64 `cbor:"9,keyasint"`
	// Result is the outcome of the round's order, or NoOrder.
	Result Result `cbor:"10,keyasint"`
}

// Command is an order addressed to a rank.
type Command struct {
	Rank  int
	Order Order
}

// Phase is the stage that a coordinator is in.
type Phase uint8

// The phases.
const (
	Idle Phase = iota
	Preparing
	Holding
	Arming
	Releasing
	Settling
)

// String returns the phase's name for logs.
func (p Phase) String() string {
	return [...]string{"idle", "preparing", "holding", "arming", "releasing", "settling"}[p]
}

const (
	// holdLead is the number of passes from the newest one to the one that is held. A pass
	// takes tens of milliseconds and the orders take a few round trips, so that the group
	// seldom reaches the held pass before it is released.
	holdLead = 2
	// lateHoldLead is used instead after an order was not answered: arming all ranks then takes
	// several rounds, and a group that reaches the held pass before that pauses all its streams.
	lateHoldLead = 6
	// minHoldLead is the least number of passes ahead for which the hold order is repeated;
	// a pass that is closer is replaced by a later one.
	minHoldLead = 1
	// skipVersions is the number of its own versions that a coordinator skips when a rank
	// has already had a higher version.
	skipVersions = 16
	// restartPasses is the number of passes by which the held passes and the versions of changes
	// are at most ahead of the group.
	restartPasses = 2 * lateHoldLead
	// versionsPerPass is the number of versions of each rank that belong to one pass.
	versionsPerPass = 16
)

// Coordinator changes the map of one group. It is a state machine that does no I/O.
type Coordinator struct {
	rank, size int
	// firstEpoch is the group's epoch when the process started. Orders that earlier
	// processes left in transit are rejected in later epochs.
	firstEpoch int64
	phase      Phase
	epoch      int64
	// pass is the last pass that has begun, as of the last round.
	pass int64
	// blockedUntilPass is the last pass during which no change begins, since an earlier
	// process on this rank may have held a pass, or issued a version, up to it.
	blockedUntilPass int64

	// version, newMap and digests describe the current change.
	version int64
	newMap  [][][]uint16
	digests []uint64
	// holder is the rank at which holdPass is held: the coordinator's own one, unless it settles
	// the hold of another.
	holder   int
	holdPass int64
	// lastHoldPass is the last pass for which a hold was requested or found.
	lastHoldPass int64
	// lastOps contains the last round's order to each rank; prepareAnswered is true for the
	// ranks that have answered a prepare order of the current version.
	lastOps         []Op
	prepareAnswered []bool
	// prepareUnanswered is true if a prepare order of the current change was not answered.
	prepareUnanswered bool
	// highestVersion is the highest version that was observed or issued.
	highestVersion int64
	// fenceVersion is the version that ranks prepare while a hold is settled, so that they
	// reject late arm orders, or zero before it is chosen; fenced is true for the ranks that reject
	// them.
	fenceVersion int64
	fenced       []bool
}

// New returns the coordinator that runs beside the given rank. firstEpoch is the group's
// epoch when the process started.
func New(rank, size int, firstEpoch int64) *Coordinator {
	return &Coordinator{
		rank: rank, size: size, firstEpoch: firstEpoch, holder: rank, lastHoldPass: NoPass,
		lastOps: make([]Op, size), prepareAnswered: make([]bool, size), fenced: make([]bool, size),
	}
}

// Phase returns the current phase.
func (c *Coordinator) Phase() Phase { return c.phase }

// Version returns the version of the current or last change.
func (c *Coordinator) Version() int64 { return c.version }

// HoldPass returns the pass that is held or to be held.
func (c *Coordinator) HoldPass() int64 { return c.holdPass }

// Holder returns the rank at which HoldPass is held or to be held.
func (c *Coordinator) Holder() int { return c.holder }

// Ready reports whether a change may begin: no pass that may have been held is still ahead.
func (c *Coordinator) Ready() bool {
	return c.phase == Idle && c.pass > c.blockedUntilPass && c.pass >= c.lastHoldPass
}

// Begin starts a change to newMap; digests identify the experts of each rank. The version
// of the change is above every version that the coordinator has observed, and above
// minVersion. Begin returns false if no change may begin.
func (c *Coordinator) Begin(newMap [][][]uint16, digests []uint64, minVersion int64) bool {
	if !c.Ready() {
		return false
	}
	c.highestVersion = max(c.highestVersion, minVersion)
	version := c.nextVersion(false)
	if version >= c.firstVersion(c.pass+restartPasses+1) {
		return false // a process that starts later could issue the version again
	}
	c.version, c.highestVersion = version, version
	c.newMap, c.digests = newMap, digests
	c.prepareUnanswered = false
	clear(c.prepareAnswered)
	clear(c.lastOps) // answers to orders of an abandoned change must not count for this one
	c.phase = Preparing
	return true
}

// Abandon cancels a change whose ranks are still preparing; no rank is armed yet. In any
// other phase it does nothing.
func (c *Coordinator) Abandon() {
	if c.phase == Preparing {
		c.phase = Idle
	}
}

// nextVersion returns the lowest version of this rank, for a change or for a fence, that is above
// every version observed or issued and belongs to the last pass or a later one.
func (c *Coordinator) nextVersion(fence bool) int64 {
	residue, n := int64(c.rank), 2*int64(c.size)
	if fence {
		residue += int64(c.size)
	}
	least := max(c.highestVersion, c.firstVersion(c.pass)) + 1
	return least + ((residue-least)%n+n)%n
}

// firstVersion returns the lowest version that belongs to a pass.
func (c *Coordinator) firstVersion(pass int64) int64 {
	return pass * versionsPerPass * int64(c.size)
}

// armedByHolder reports whether a rank is armed for holdPass by a process of the holding rank.
func (c *Coordinator) armedByHolder(s State) bool {
	return s.ArmedVersion != 0 && s.ArmedVersion%int64(c.size) == int64(c.holder) && s.ArmedPass == c.holdPass
}

// Round processes the states of all ranks and returns the next orders. The states must have been
// read after the previous round's orders.
func (c *Coordinator) Round(states []State) []Command {
	if !c.observe(states) {
		return nil
	}
	c.recordPrepareResults(states)
	if rank := c.unownedHold(states); rank >= 0 {
		c.startSettling(rank, states[rank].HeldPass)
		clear(c.lastOps)
		return nil
	}
	commands := c.nextCommands(states)
	clear(c.lastOps)
	for _, command := range commands {
		c.lastOps[command.Rank] = command.Order.Op
	}
	return commands
}

// nextCommands returns the orders of the current phase.
func (c *Coordinator) nextCommands(states []State) []Command {
	switch c.phase {
	case Preparing:
		return c.prepare(states)
	case Holding:
		return c.hold(states)
	case Arming:
		return c.arm(states)
	case Releasing:
		return c.release(states)
	case Settling:
		return c.continueSettling(states)
	default:
		return nil
	}
}

// recordPrepareResults records which ranks have answered a prepare order: the copying that
// follows shows in their states only once it is complete.
func (c *Coordinator) recordPrepareResults(states []State) {
	for r, s := range states {
		if c.lastOps[r] != Prepare || s.Result == NoOrder {
			continue
		}
		if s.Result == Unknown {
			c.prepareUnanswered = true
			continue
		}
		c.prepareAnswered[r] = true
		if c.phase != Settling {
			continue
		}
		if s.Result == Accepted {
			c.fenced[r] = true
		} else if s.ArmedVersion == 0 && s.Prepared < c.fenceVersion {
			// The rank has already prepared a higher version, which its state no longer shows.
			c.highestVersion += int64(skipVersions * c.size)
			c.raiseFence()
		}
	}
}

// observe reports whether the ranks form one open group in one epoch. When a new epoch
// begins, it discards the state of the earlier one.
func (c *Coordinator) observe(states []State) bool {
	own := states[c.rank]
	if slices.ContainsFunc(states, func(s State) bool { return !s.Open || s.Epoch != own.Epoch }) {
		return false
	}
	if own.Epoch != c.epoch {
		c.startEpoch(own)
	}
	c.pass = own.Pass
	for _, s := range states {
		c.highestVersion = max(c.highestVersion, s.Version, s.Prepared, s.ArmedVersion)
	}
	return true
}

// startEpoch discards the state of the earlier epoch.
func (c *Coordinator) startEpoch(own State) {
	c.blockedUntilPass = NoPass
	if own.Epoch <= c.firstEpoch {
		c.blockedUntilPass = own.Pass + restartPasses
	}
	if own.Pass < c.pass {
		c.highestVersion = 0 // passes, with which versions grow, are counted anew
	}
	c.epoch, c.phase, c.lastHoldPass = own.Epoch, Idle, NoPass
	clear(c.lastOps)
}

// unownedHold returns the rank of a hold that is to be settled, or -1. The hold of another rank
// waits until the coordinator has completed its current change or hold.
func (c *Coordinator) unownedHold(states []State) int {
	if own := states[c.rank].HeldPass; own != NoPass && !c.handlesHold(c.rank, own) {
		return c.rank
	}
	if c.phase != Idle && c.phase != Preparing && (c.phase != Releasing || states[c.holder].HeldPass == c.holdPass) {
		return -1
	}
	return slices.IndexFunc(states, func(s State) bool { return s.HeldPass != NoPass })
}

// handlesHold reports whether the coordinator has requested or found the hold of the pass at the
// rank and is still handling it.
func (c *Coordinator) handlesHold(rank int, pass int64) bool {
	switch c.phase {
	case Holding, Arming, Releasing, Settling:
		return c.holder == rank && c.holdPass == pass
	default:
		return false
	}
}

func (c *Coordinator) newCommand(rank int, o Order) Command {
	o.Epoch = c.epoch
	return Command{Rank: rank, Order: o}
}
