package message

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/quarantine"
)

// TargetState is the state of the target behind an agent.
type TargetState uint8

// The target states.
const (
	// TargetDown means that the target does not answer its health check.
	TargetDown TargetState = iota
	// TargetCold means that the target has started and is restricted to its cold limit.
	TargetCold
	// TargetWarm means that the target's limit has grown past its cold limit.
	TargetWarm
	// TargetLeaving means that the target takes no new work.
	TargetLeaving
)

// String returns the state's name.
func (s TargetState) String() string {
	switch s {
	case TargetCold:
		return "cold"
	case TargetWarm:
		return "warm"
	case TargetLeaving:
		return "leaving"
	default:
		return "down"
	}
}

// Load is the current work of a target and its limits.
type Load struct {
	State   TargetState `cbor:"1,keyasint"`
	Running int         `cbor:"2,keyasint"`
	Queued  int         `cbor:"3,keyasint"`
	// Limit is the maximum number of requests that the agent runs at once.
	Limit int `cbor:"4,keyasint"`
	// QueueLimit is the maximum number of requests that wait in the agent's queue.
	QueueLimit int `cbor:"5,keyasint"`
	// ServiceTime is the recent mean duration of a request at the target.
	ServiceTime time.Duration `cbor:"6,keyasint"`
	// WaitTime is the expected wait of a request that arrives now.
	WaitTime time.Duration `cbor:"7,keyasint"`
	// Seq increases with each report of one incarnation, so that a delayed report is not
	// taken for the newest.
	Seq uint64 `cbor:"8,keyasint,omitempty"`
}

// Heartbeat reports the sender's state. It is sent at a fixed interval and at each
// change of the state.
type Heartbeat struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Load    Load   `cbor:"2,keyasint"`
	Leaving bool   `cbor:"3,keyasint"`
	// ConfigRevision is the highest configuration revision in force at the sender.
	ConfigRevision uint64 `cbor:"4,keyasint"`
}

// Member is one process known to the sender.
type Member struct {
	Identity Identity `cbor:"1,keyasint"`
	Leaving  bool     `cbor:"2,keyasint,omitempty"`
}

// Members lists the entries that the sender has links to or knows of.
type Members struct {
	Members []Member `cbor:"1,keyasint"`
}

// PoolReport summarises one target pool of an availability zone.
type PoolReport struct {
	Pool string `cbor:"1,keyasint"`
	// Load is the sum over the pool's usable targets.
	Load Load `cbor:"2,keyasint"`
	// Agents are the names of the usable targets' agents.
	// It is empty if ZoneReport.SameAgents is set.
	Agents []string `cbor:"3,keyasint,omitempty"`
}

// ZoneReport reports the loads and limits of the sender's availability zone to peer entries.
type ZoneReport struct {
	Pools []PoolReport `cbor:"1,keyasint"`
	// Leaving is true if the sender takes no new work.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// ConfigRevision is the highest configuration revision in force at the sender.
	ConfigRevision uint64 `cbor:"3,keyasint"`
	// SameAgents is true if the pools and their agents are those of the last report on
	// this link that named them.
	SameAgents bool `cbor:"4,keyasint,omitempty"`
	// Evidence is what the sender knows of requests that targets crash on.
	Evidence []quarantine.Evidence `cbor:"5,keyasint,omitempty"`
}
