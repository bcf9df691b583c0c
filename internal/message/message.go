// Package message defines the typed frames that gentiantrail's processes
// exchange over their links, and their encoding.
//
// A frame is one binary WebSocket message: a version byte, a type byte and a
// CBOR map with integer keys. The number of a type and the key of a field never
// change their meaning; a new field gets a new key and an old reader ignores it.
package message

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// Type is the type byte of a frame.
type Type uint8

// The frame types. Append only.
const (
	TypeHello Type = iota + 1
	TypeWelcome
	TypeAuth
	TypeHeartbeat
	TypeRequest
	TypeAccepted
	TypeResponseHead
	TypeResponseData
	TypeResponseEnd
	TypeCredit
	TypeCancel
	TypeWithdraw
	TypeWithdrawn
	TypeMembers
	TypeConfigHead
	TypeConfigFetch
	TypeConfigFiles
	TypeMapPrepare
	TypeMapPromise
	TypeMapDecide
	TypeMapQuery
	TypeMapState
	TypeZoneReport
	TypeMapJoin
)

// Message is implemented by every frame body.
type Message interface {
	// FrameType returns the type byte of the frame.
	FrameType() Type
}

// Role tells what kind of process is at the other end of a link.
type Role uint8

// The roles.
const (
	RoleEntry Role = iota + 1
	RoleAgent
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case RoleEntry:
		return "entry"
	case RoleAgent:
		return "agent"
	default:
		return "unknown"
	}
}

// Identity names one incarnation of a process.
type Identity struct {
	Role             Role   `cbor:"1,keyasint"`
	Name             string `cbor:"2,keyasint"`
	AvailabilityZone string `cbor:"3,keyasint"`
	// Incarnation is random for each start of the process.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Address is where the process accepts links, empty if it accepts none.
	Address string `cbor:"5,keyasint"`
	// Pool is the target pool of an agent's target.
	Pool string `cbor:"6,keyasint,omitempty"`
}

// Hello opens the handshake from the dialling side.
type Hello struct {
	Identity Identity `cbor:"1,keyasint"`
	Nonce    []byte   `cbor:"2,keyasint"`
}

// Welcome answers Hello with a proof that the accepting side knows the link key.
type Welcome struct {
	Identity Identity `cbor:"1,keyasint"`
	Nonce    []byte   `cbor:"2,keyasint"`
	MAC      []byte   `cbor:"3,keyasint"`
}

// Auth ends the handshake with the dialling side's proof.
type Auth struct {
	MAC []byte `cbor:"1,keyasint"`
}

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

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request asks an agent, or a peer entry, to run a request.
type Request struct {
	// ID is unique for the sender's incarnation.
	ID uint64 `cbor:"1,keyasint"`
	// Trace is the request id in logs and answers of all processes.
	Trace string `cbor:"2,keyasint"`
	// Incarnation is the agent incarnation that the request is meant for; zero for an entry.
	Incarnation  uint64        `cbor:"3,keyasint"`
	Organisation string        `cbor:"4,keyasint"`
	Service      string        `cbor:"5,keyasint"`
	Method       string        `cbor:"6,keyasint"`
	Path         string        `cbor:"7,keyasint"`
	Headers      []Header      `cbor:"8,keyasint,omitempty"`
	Body         []byte        `cbor:"9,keyasint,omitempty"`
	Timeout      time.Duration `cbor:"10,keyasint"`
	Priority     int           `cbor:"11,keyasint,omitempty"`
	// Idempotent tells whether the request may run more than once.
	Idempotent bool `cbor:"12,keyasint,omitempty"`
	// IdempotencyKey is the caller's key for a non-idempotent request.
	IdempotencyKey string `cbor:"13,keyasint,omitempty"`
	// Hops counts the entries that have passed the request on.
	Hops int `cbor:"14,keyasint,omitempty"`
	// Window is the number of body bytes that may be sent before the first Credit.
	Window int `cbor:"15,keyasint"`
	// PrefixHash identifies the prompt prefix for cache affinity; zero means none.
	PrefixHash uint64 `cbor:"16,keyasint,omitempty"`
	// NoWait asks for a refusal instead of a place in the agent's queue.
	NoWait bool `cbor:"17,keyasint,omitempty"`
	// MaxWait asks for a refusal if the wait in the agent's queue would be longer; zero sets no bound.
	MaxWait time.Duration `cbor:"18,keyasint,omitempty"`
}

// Accepted tells that the agent has taken the request into its queue.
type Accepted struct {
	ID   uint64 `cbor:"1,keyasint"`
	Load Load   `cbor:"2,keyasint"`
}

// ResponseHead carries the status and the headers of an answer.
type ResponseHead struct {
	ID      uint64   `cbor:"1,keyasint"`
	Status  int      `cbor:"2,keyasint"`
	Headers []Header `cbor:"3,keyasint,omitempty"`
	// Length is the body's length in bytes, or -1 for a streamed body.
	Length int64 `cbor:"4,keyasint"`
	// Whole tells that Body is the whole body and that no further frame follows.
	Whole bool   `cbor:"5,keyasint,omitempty"`
	Body  []byte `cbor:"6,keyasint,omitempty"`
	// Load is set if Whole is.
	Load Load `cbor:"7,keyasint"`
}

// ResponseData carries the next piece of an answer's body.
type ResponseData struct {
	ID uint64 `cbor:"1,keyasint"`
	// Offset is the position of Data in the body.
	Offset int64  `cbor:"2,keyasint"`
	Data   []byte `cbor:"3,keyasint"`
}

// Failure is the link form of an apierr.Error.
type Failure struct {
	Kind       apierr.Kind   `cbor:"1,keyasint"`
	Detail     string        `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// ResponseEnd ends an answer. Failure is nil exactly when the answer is whole.
type ResponseEnd struct {
	ID uint64 `cbor:"1,keyasint"`
	// Length is the number of body bytes sent.
	Length  int64    `cbor:"2,keyasint"`
	Failure *Failure `cbor:"3,keyasint,omitempty"`
	Load    Load     `cbor:"4,keyasint"`
}

// Credit allows Bytes more body bytes for a request.
type Credit struct {
	ID    uint64 `cbor:"1,keyasint"`
	Bytes int    `cbor:"2,keyasint"`
}

// Cancel tells that the caller has gone.
type Cancel struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Withdraw asks whether a request can still be kept from running.
type Withdraw struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Withdrawn answers Withdraw.
type Withdrawn struct {
	ID uint64 `cbor:"1,keyasint"`
	// NotRun is true when the request has not started and never will.
	NotRun bool `cbor:"2,keyasint"`
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

// ConfigHead announces the sender's configuration revision.
type ConfigHead struct {
	// Head is the encoded head object of the configuration.
	Head []byte `cbor:"1,keyasint"`
}

// ConfigFetch asks for the contents of configuration files by digest.
type ConfigFetch struct {
	Digests []string `cbor:"1,keyasint"`
}

// ConfigFile is one content-addressed configuration file.
type ConfigFile struct {
	Digest  string `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// ConfigFiles answers ConfigFetch.
type ConfigFiles struct {
	Files []ConfigFile `cbor:"1,keyasint"`
}

// MapPrepare asks a rank to load an expert map and not to enter Step undecided.
type MapPrepare struct {
	Group   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Step    uint64 `cbor:"3,keyasint"`
	Fence   uint64 `cbor:"4,keyasint"`
	Map     []byte `cbor:"5,keyasint"`
}

// MapPromise answers MapPrepare.
type MapPromise struct {
	Group   string       `cbor:"1,keyasint"`
	Rank    int          `cbor:"2,keyasint"`
	Version uint64       `cbor:"3,keyasint"`
	Fence   uint64       `cbor:"4,keyasint"`
	Step    uint64       `cbor:"5,keyasint"`
	Refused *apierr.Kind `cbor:"6,keyasint,omitempty"`
}

// MapDecide commits or aborts a prepared map.
type MapDecide struct {
	Group   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Fence   uint64 `cbor:"3,keyasint"`
	Commit  bool   `cbor:"4,keyasint"`
	// Release tells that all ranks have committed: the rank may switch.
	Release bool `cbor:"5,keyasint,omitempty"`
}

// MapQuery asks a rank for its state and binds it to Fence.
type MapQuery struct {
	Group string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
	// Round grows with each round of queries that the holder of Fence sends.
	Round uint64 `cbor:"3,keyasint,omitempty"`
	// WantMaps asks for the bytes of the active and the pending map.
	WantMaps bool `cbor:"4,keyasint,omitempty"`
}

// MapState answers MapQuery, MapDecide and MapJoin; a restarted rank also sends it unasked.
type MapState struct {
	Group string `cbor:"1,keyasint"`
	Rank  int    `cbor:"2,keyasint"`
	// Fence is the highest fence that the rank is bound to.
	Fence uint64 `cbor:"3,keyasint"`
	// Committed is the latest committed version; zero means that the rank holds no map.
	Committed uint64 `cbor:"4,keyasint"`
	// Prepared is the version that waits for a decision; zero means none.
	Prepared uint64 `cbor:"5,keyasint"`
	// Step is the last step entered, or the step to join at when Entered is false.
	Step uint64 `cbor:"6,keyasint"`
	// Incarnation is random for each start of the rank's agent or engine.
	Incarnation uint64 `cbor:"7,keyasint,omitempty"`
	// Round is the highest round of queries of Fence that the rank has seen.
	Round uint64 `cbor:"8,keyasint,omitempty"`
	// Active is the version used in Step; it differs from Committed until the switch.
	Active uint64 `cbor:"9,keyasint,omitempty"`
	// Entered tells that the rank has entered Step.
	Entered bool `cbor:"10,keyasint,omitempty"`
	// PendingStep is the step at which the prepared or committed version takes over.
	PendingStep uint64 `cbor:"11,keyasint,omitempty"`
	// ActiveMap and PendingMap are set when the query wants maps.
	ActiveMap  []byte `cbor:"12,keyasint,omitempty"`
	PendingMap []byte `cbor:"13,keyasint,omitempty"`
	// Released tells that the rank may switch to Committed at PendingStep.
	Released bool `cbor:"14,keyasint,omitempty"`
}

// PendingVersion returns the version that takes over at PendingStep, or zero.
func (m *MapState) PendingVersion() uint64 {
	switch {
	case m.Prepared != 0:
		return m.Prepared
	case m.Committed != m.Active:
		return m.Committed
	default:
		return 0
	}
}

// MapJoin gives a rank without a map the state of its group.
type MapJoin struct {
	Group string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
	Round uint64 `cbor:"3,keyasint"`
	// Incarnation is the rank incarnation that the state is meant for.
	Incarnation uint64 `cbor:"4,keyasint"`
	Step        uint64 `cbor:"5,keyasint"`
	Active      uint64 `cbor:"6,keyasint"`
	ActiveMap   []byte `cbor:"7,keyasint"`
	// Pending is a committed version that takes over at PendingStep; zero means none.
	Pending     uint64 `cbor:"8,keyasint,omitempty"`
	PendingStep uint64 `cbor:"9,keyasint,omitempty"`
	PendingMap  []byte `cbor:"10,keyasint,omitempty"`
}

// PoolReport sums up one target pool of an availability zone.
type PoolReport struct {
	Pool string `cbor:"1,keyasint"`
	// Load is the sum over the pool's usable targets.
	Load Load `cbor:"2,keyasint"`
	// Agents are the names of the usable targets' agents.
	Agents []string `cbor:"3,keyasint,omitempty"`
}

// ZoneReport tells peer entries what the sender's availability zone can take.
type ZoneReport struct {
	Pools []PoolReport `cbor:"1,keyasint"`
	// Leaving tells that the sender takes no new work.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// ConfigRevision is the highest configuration revision in force at the sender.
	ConfigRevision uint64 `cbor:"3,keyasint"`
}
