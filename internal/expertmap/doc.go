// Package expertmap changes the expert map of a group of ranks that run in
// lock-step, so that in every step all ranks use one and the same map.
//
// A Coordinator runs in the agent that holds the group's lease. It queries all
// ranks, which binds them to its fencing number, settles whatever earlier
// coordinators left open, and then changes the map by a three-phase commit:
// prepare on every rank, commit only after all have promised, release the switch
// only after all have committed. A Rank runs in each rank's agent and passes
// orders to the engine. The rank's state lives in the engine, which holds before
// the switch step until its release; an agent can restart at any time.
//
// All types are deterministic state machines: events go in, effects come out.
package expertmap

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// roundBits is the number of low bits of an order number that hold the round.
const roundBits = 24

// maxRound is the highest round under one fence.
const maxRound = 1<<roundBits - 1

// orderNumber returns the fencing number of engine orders: it grows with each
// fence, and under one fence with each round of queries.
func orderNumber(fence, round uint64) uint64 { return fence<<roundBits | round }

// RankEvent is an input of a Rank.
type RankEvent interface{ rankEvent() }

// Received reports a message from the coordinator named From.
type Received struct {
	From    string
	Message message.Message
}

// Loaded reports that the weights of Load.Version, and of Load.Pending if set, are in memory.
type Loaded struct{ Version uint64 }

// Ordered reports the engine's answer to the last Order. The agent sends it only
// after an answer; when the connection breaks without one, it makes a new Rank.
type Ordered struct{ Reply Reply }

func (Received) rankEvent() {}
func (Loaded) rankEvent()   {}
func (Ordered) rankEvent()  {}

// RankEffect is an output of a Rank.
type RankEffect interface{ rankEffect() }

// Respond sends Message to the coordinator named To.
type Respond struct {
	To      string
	Message message.Message
}

// Load tells the agent to load the weights of a map within the weight store's
// rate and to report Loaded. A later Load replaces an unfinished one.
type Load struct {
	Version    uint64
	Map        []byte
	Pending    uint64
	PendingMap []byte
}

func (Respond) rankEffect() {}
func (Load) rankEffect()    {}
func (Order) rankEffect()   {}

// CoordinatorEvent is an input of a Coordinator.
type CoordinatorEvent interface{ coordinatorEvent() }

// FromRank reports a message from a rank's agent.
type FromRank struct{ Message message.Message }

// Propose asks for a change to Map; a later proposal replaces a waiting one.
type Propose struct{ Map []byte }

// Tick reports that time has passed.
type Tick struct{}

// LeaseLost reports that the lease has lapsed or was lost.
type LeaseLost struct{}

func (FromRank) coordinatorEvent()  {}
func (Propose) coordinatorEvent()   {}
func (Tick) coordinatorEvent()      {}
func (LeaseLost) coordinatorEvent() {}

// CoordinatorEffect is an output of a Coordinator.
type CoordinatorEffect interface{ coordinatorEffect() }

// Send sends Message to the agent of Rank. The agent drops it when the lease is
// no longer valid at the moment of sending.
type Send struct {
	Rank    int
	Message message.Message
}

// Changed reports the outcome of a proposal.
type Changed struct {
	Version   uint64
	Committed bool
}

func (Send) coordinatorEffect()    {}
func (Changed) coordinatorEffect() {}

// Config holds the settings of a Coordinator.
type Config struct {
	Group string
	Ranks int
	// Initial is the map of a group whose ranks all hold none.
	Initial []byte
	// Lead is the number of steps between a prepare and its switch step. The
	// ranks hold there if the weights are not loaded and decided on by then.
	Lead uint64
	// Resend is the time after which unanswered messages are sent again.
	Resend time.Duration
	// Poll is the time between rounds of queries while nothing changes.
	Poll time.Duration
	// ChangeTimeout bounds the wait for all promises, and the wait for all
	// ranks to apply a decision before they are queried again.
	ChangeTimeout time.Duration
}
