// Package expertmap implements the protocol that changes the expert map of a
// lock-step group, that is an expert-parallel group whose ranks run every step
// together. The protocol guarantees that in every step all ranks use the same map.
// Packages mapper and mapswitch call a step a pass.
//
// A Coordinator runs in the agent that holds the group's lease. It queries all
// ranks, which binds them to its fencing number, resolves the versions that
// earlier coordinators left undecided, and then changes the map with a
// three-phase commit: prepare on every rank, commit only after all ranks have
// promised, and allow the switch only after all ranks have committed. A Rank runs
// in each rank's agent and passes orders to the engine. The rank's state is kept
// in the engine, which waits before the switch step until the switch is released,
// so an agent can restart at any time.
//
// All types are deterministic state machines: they take events as input and
// return effects as output.
package expertmap

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// roundBits is the number of low bits that contain the round in an order number
// and the counter in a version; the higher bits contain the fencing number.
const roundBits = 24

// maxRound is the highest round number under one fencing number.
const maxRound = 1<<roundBits - 1

// orderNumber returns the fencing number of engine orders. It increases with the
// lease's fencing number and, under the same lease, with each round of queries.
func orderNumber(fence, round uint64) uint64 { return fence<<roundBits | round }

// RankEvent is an input of a Rank.
type RankEvent interface{ rankEvent() }

// Received reports a message from the coordinator named From.
type Received struct {
	From    string
	Message message.Message
}

// Loaded reports that the weights of Load.Version, and of Load.Pending if it is
// set, are in memory.
type Loaded struct{ Version uint64 }

// OrderAnswered reports the engine's answer to the last Order. If the connection
// breaks before an answer arrives, the agent creates a new Rank instead.
type OrderAnswered struct{ Reply Reply }

func (Received) rankEvent()      {}
func (Loaded) rankEvent()        {}
func (OrderAnswered) rankEvent() {}

// RankEffect is an output of a Rank.
type RankEffect interface{ rankEffect() }

// Respond sends Message to the coordinator named To.
type Respond struct {
	To      string
	Message message.Message
}

// Load instructs the agent to load the weights of a map within the weight store's
// rate limit and to report Loaded. A later Load replaces an unfinished one.
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

// Propose requests a change to Map. A later proposal replaces a pending one.
type Propose struct{ Map []byte }

// Tick reports that time has passed.
type Tick struct{}

// LeaseLost reports that the lease has expired or was lost.
type LeaseLost struct{}

func (FromRank) coordinatorEvent()  {}
func (Propose) coordinatorEvent()   {}
func (Tick) coordinatorEvent()      {}
func (LeaseLost) coordinatorEvent() {}

// CoordinatorEffect is an output of a Coordinator.
type CoordinatorEffect interface{ coordinatorEffect() }

// Send sends Message to the agent of Rank. The agent drops it if the lease is no
// longer valid at the time of sending.
type Send struct {
	Rank    int
	Message message.Message
}

// ChangeEnded reports the outcome of a change: whether Version was committed.
type ChangeEnded struct {
	Version   uint64
	Committed bool
}

func (Send) coordinatorEffect()        {}
func (ChangeEnded) coordinatorEffect() {}

// Config contains the settings of a Coordinator.
type Config struct {
	Group string
	Ranks int
	// Initial is the map that a group starts with if none of its ranks holds a map.
	Initial []byte
	// SwitchLead is the number of steps between a prepare and its switch step. If the
	// weights are not loaded or the version is not decided by then, the ranks wait
	// at the switch step.
	SwitchLead uint64
	// Resend is the time after which unanswered messages are sent again.
	Resend time.Duration
	// Poll is the time between rounds of queries while the coordinator is idle.
	Poll time.Duration
	// ChangeTimeout is the longest time to wait for all promises, and for all ranks
	// to apply a decision; after it, the ranks are queried again.
	ChangeTimeout time.Duration
}
