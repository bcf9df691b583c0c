package message

import "time"

// TargetState is the state of the target behind an agent.
type TargetState uint8

// The target states.
const (
	// TargetDown means that the target does not answer its health check.
	TargetDown TargetState = iota
	// TargetCold means that the target has started and may take only its cold limit.
	TargetCold
	// TargetWarm means that the target has grown past its cold limit.
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

// Load reports how much work a target has and may take.
type Load struct {
	State   TargetState `cbor:"1,keyasint"`
	Running int         `cbor:"2,keyasint"`
	Queued  int         `cbor:"3,keyasint"`
	// Limit is the most requests that the agent runs at once.
	Limit int `cbor:"4,keyasint"`
	// QueueLimit is the most requests that the agent keeps waiting.
	QueueLimit int `cbor:"5,keyasint"`
	// ServiceTime is the recent mean time of one request at the target.
	ServiceTime time.Duration `cbor:"6,keyasint"`
	// WaitTime is the expected wait of a request that arrives now.
	WaitTime time.Duration `cbor:"7,keyasint"`
	// Seq grows with each report of one incarnation, so that a late one is not taken for the newest.
	Seq uint64 `cbor:"8,keyasint,omitempty"`
}

// Heartbeat is sent at a fixed interval and at each change of state.
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

// Members lists entries that the sender has links to or has heard of.
type Members struct {
	Members []Member `cbor:"1,keyasint"`
}

// PoolReport sums up one target pool of an availability zone.
type PoolReport struct {
	Pool string `cbor:"1,keyasint"`
	// Load is the sum over the pool's usable targets.
	Load Load `cbor:"2,keyasint"`
	// Agents are the names of the usable targets' agents.
	// It is empty if ZoneReport.SameAgents is set.
	Agents []string `cbor:"3,keyasint,omitempty"`
}

// ZoneReport tells peer entries what the sender's availability zone can take.
type ZoneReport struct {
	Pools []PoolReport `cbor:"1,keyasint"`
	// Leaving tells that the sender takes no new work.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// ConfigRevision is the highest configuration revision in force at the sender.
	ConfigRevision uint64 `cbor:"3,keyasint"`
	// SameAgents tells that the pools and their agents are those of the last report
	// on this link that named them.
	SameAgents bool `cbor:"4,keyasint,omitempty"`
}
