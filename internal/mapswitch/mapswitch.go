// Package mapswitch changes the expert map of a lock-step group through engines that
// offer prepare, hold, arm, disarm and go, so that all ranks use one map in every
// pass, although any order may be lost or carried out seconds late.
//
// A Coordinator works in rounds. In each round it sends every rank at most one order
// and gets back the rank's state after it. It needs no memory beyond its process:
//
//  1. prepare: every rank copies the experts of a new version.
//  2. hold: its own rank keeps the group from beginning pass S.
//  3. arm: every rank will switch to the version as pass S begins.
//  4. go: only after all ranks have been seen armed, the hold is released.
//
// A hold without a known owner is settled: what is armed for its pass is disarmed, and
// every rank prepares a higher version, which makes any late arm of an earlier version
// fail. Only then the hold is released. A version that was disarmed once is never armed
// again, since a late disarm may still be under way.
//
// Versions of a coordinator leave the remainder of its rank when divided by the size of
// the group, so that two coordinators never share one. A new process waits until all
// passes that an earlier one may have held have begun.
package mapswitch

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

// String returns the order's name for logs.
func (o Op) String() string {
	return [...]string{"none", "prepare", "hold", "arm", "disarm", "go"}[o]
}

// Order is one order to one rank.
type Order struct {
	Op Op `cbor:"1,keyasint"`
	// Epoch is the group's epoch; a rank refuses the order in another one.
	Epoch int64 `cbor:"2,keyasint"`
	// Version is set for Prepare, Arm and Disarm.
	Version int64 `cbor:"3,keyasint"`
	// Pass is set for Hold, Arm and Go.
	Pass int64 `cbor:"4,keyasint"`
	// Map is set for Prepare: experts by layer and rank.
	Map [][][]uint16 `cbor:"5,keyasint"`
}

// Result is what is known of an order.
type Result uint8

// The results.
const (
	// Unknown means that the order got no answer; it may be carried out later.
	Unknown Result = iota
	// Accepted means that the order was carried out or has begun.
	Accepted
	// Rejected means that the order did not fit the rank's state.
	Rejected
)

// NoPass marks a rank that is not held.
const NoPass = -1

// State is the state of one rank, read after the round's order to it.
type State struct {
	Open  bool  `cbor:"1,keyasint"`
	Epoch int64 `cbor:"2,keyasint"`
	// Pass is the last pass that was begun.
	Pass int64 `cbor:"3,keyasint"`
	// Version is the map in force.
	Version int64 `cbor:"4,keyasint"`
	// Prepared is the version whose experts are all loaded, or zero; Digest identifies them.
	Prepared int64  `cbor:"5,keyasint"`
	Digest   uint64 `cbor:"6,keyasint"`
	// ArmedVersion is the version to switch to as ArmedPass begins, or zero.
	ArmedVersion int64 `cbor:"7,keyasint"`
	ArmedPass    int64 `cbor:"8,keyasint"`
	// Held is the pass that the rank keeps the group from beginning, or NoPass.
	Held int64 `cbor:"9,keyasint"`
	// Result is the outcome of the round's order; Accepted if there was none.
	Result Result `cbor:"10,keyasint"`
}

// Command is an order for a rank.
type Command struct {
	Rank  int
	Order Order
}

// Phase is what a coordinator is doing.
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
	// lead is the number of passes between the newest one and the switch. Passes take
	// some ten milliseconds and the orders a few round trips, so that the group seldom
	// reaches the held pass before it is released.
	lead = 2
	// minLead is the least lead with which a hold is still asked for.
	minLead = 1
	// skipVersions is how many of its own versions a coordinator skips when a rank has
	// had a higher one.
	skipVersions = 16
)

// Coordinator changes the map of one group. It is a pure state machine.
type Coordinator struct {
	rank, size int
	// first is the group's epoch when the process started. What earlier processes have
	// left under way is refused in later epochs.
	first int64
	phase Phase
	epoch int64
	// quietUntil is the pass before which no change begins: an earlier process on this
	// rank may have held a pass up to there.
	quietUntil int64
	known      bool

	version int64
	rows    [][][]uint16
	digests []uint64
	pass    int64
	// lastPass is the last pass that was held or tried to be held.
	lastPass int64
	// issued holds the rounds' last order to each rank, and answered whether the rank
	// has answered a prepare of the version under way.
	issued   []Op
	answered []bool
	// highest is the highest version that was seen or used.
	highest int64
	// inForce is the map that fences are prepared with.
	inForce [][][]uint16
	// fence is the version that fences are prepared with while settling.
	fence  int64
	fenced []bool
}

// New returns the coordinator of a group's rank in a process that started in the
// group's epoch first.
func New(rank, size int, first int64) *Coordinator {
	return &Coordinator{
		rank: rank, size: size, first: first, lastPass: NoPass,
		issued: make([]Op, size), answered: make([]bool, size), fenced: make([]bool, size),
	}
}

// Phase returns what the coordinator is doing.
func (c *Coordinator) Phase() Phase { return c.phase }

// Version returns the version of the change under way.
func (c *Coordinator) Version() int64 { return c.version }

// Pass returns the pass that is held, or will be.
func (c *Coordinator) Pass() int64 { return c.pass }

// Ready reports whether a change may begin.
func (c *Coordinator) Ready() bool { return c.phase == Idle && c.known }

// Begin starts a change to a map; digests are those of its ranks' experts. At least
// floor, the version is above all that the coordinator has seen.
func (c *Coordinator) Begin(rows [][][]uint16, digests []uint64, floor int64) bool {
	if !c.Ready() {
		return false
	}
	c.highest = max(c.highest, floor)
	c.version = c.nextVersion()
	c.rows, c.digests = rows, digests
	clear(c.answered)
	clear(c.issued) // answers to orders for an abandoned change say nothing of this one
	c.phase = Preparing
	return true
}

// Abandon gives up a change whose ranks do not get ready; nothing is armed yet.
func (c *Coordinator) Abandon() {
	if c.phase == Preparing {
		c.phase = Idle
	}
}

// nextVersion returns the least version of this rank above all that were seen.
func (c *Coordinator) nextVersion() int64 {
	n, least := int64(c.size), c.highest+1
	c.highest = least + ((int64(c.rank)-least)%n+n)%n
	return c.highest
}

// armedByUs reports whether a rank is armed for the pass by a process of this rank.
func (c *Coordinator) armedByUs(s State) bool {
	return s.ArmedVersion != 0 && s.ArmedVersion%int64(c.size) == int64(c.rank) && s.ArmedPass == c.pass
}

// Round takes in the states of all ranks, and the map in force, and returns the next
// orders. States must have been read after the previous round's orders.
func (c *Coordinator) Round(states []State, inForce [][][]uint16) []Command {
	if !c.observe(states) {
		return nil
	}
	c.inForce = inForce
	c.noteAnswers(states)
	own := states[c.rank]
	if own.Held != NoPass && !c.owns(own.Held) {
		c.settle(own.Held)
	}
	commands := c.next(states)
	clear(c.issued)
	for _, command := range commands {
		c.issued[command.Rank] = command.Order.Op
	}
	return commands
}

func (c *Coordinator) next(states []State) []Command {
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
		return c.settling(states)
	default:
		return nil
	}
}

// noteAnswers remembers which ranks answered a prepare: the copying that follows shows
// in their states only once it is complete.
func (c *Coordinator) noteAnswers(states []State) {
	for r, s := range states {
		if c.issued[r] != Prepare || s.Result == Unknown {
			continue
		}
		c.answered[r] = true
		if c.phase != Settling {
			continue
		}
		if s.Result == Accepted {
			c.fenced[r] = true
		} else if s.ArmedVersion == 0 && s.Prepared < c.fence {
			// The rank has had a higher version, which its state no longer shows.
			c.highest += int64(skipVersions * c.size)
			c.fence = c.nextVersion()
		}
	}
}

// observe checks that the ranks form one open group; after a new epoch nothing of the
// earlier one is left.
func (c *Coordinator) observe(states []State) bool {
	own := states[c.rank]
	for _, s := range states {
		if !s.Open || s.Epoch != own.Epoch {
			return false
		}
		c.highest = max(c.highest, s.Version, s.Prepared, s.ArmedVersion)
	}
	if own.Epoch != c.epoch {
		c.quietUntil = NoPass
		if own.Epoch <= c.first {
			c.quietUntil = own.Pass + 2*lead
		}
		c.epoch, c.phase, c.known, c.lastPass = own.Epoch, Idle, false, NoPass
		clear(c.issued)
	}
	if own.Pass > c.quietUntil && own.Pass >= c.lastPass {
		c.known = true
	}
	return true
}

// owns reports whether the coordinator has asked for a hold at the pass and goes on
// with it.
func (c *Coordinator) owns(pass int64) bool {
	switch c.phase {
	case Holding, Arming, Releasing, Settling:
		return c.pass == pass
	default:
		return false
	}
}

func (c *Coordinator) order(rank int, o Order) Command {
	o.Epoch = c.epoch
	return Command{Rank: rank, Order: o}
}
