// Package membership decides which peers of a process are live, suspect, dead or
// leaving, from their heartbeats, the ends of their links and failed dispatches.
//
// A frozen, a cut-off and a dead peer look alike at first: all stop being heard.
// The package is pure: times are passed in, and it is used by one goroutine.
package membership

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// State is what is believed of a peer.
type State uint8

// The states.
const (
	// Live marks a peer that was heard lately.
	Live State = iota + 1
	// Suspect marks a peer that missed heartbeats, lost its link or failed dispatches.
	Suspect
	// Dead marks a peer that was not heard for the dead timeout.
	Dead
	// Leaving marks a peer that has said that it takes no new work.
	Leaving
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Leaving:
		return "leaving"
	default:
		return "unknown"
	}
}

// Reason tells what led to a State.
type Reason uint8

// The reasons.
const (
	// ReasonHeard means that a heartbeat arrived in time.
	ReasonHeard Reason = iota + 1
	// ReasonSilent means that heartbeats are missing.
	ReasonSilent
	// ReasonLinkLost means that the last link to the peer ended.
	ReasonLinkLost
	// ReasonFailures means that dispatches to the peer failed in a row.
	ReasonFailures
	// ReasonAnnounced means that the peer itself said so.
	ReasonAnnounced
)

// String returns the reason's name.
func (r Reason) String() string {
	switch r {
	case ReasonHeard:
		return "heard"
	case ReasonSilent:
		return "silent"
	case ReasonLinkLost:
		return "link-lost"
	case ReasonFailures:
		return "failures"
	case ReasonAnnounced:
		return "announced"
	default:
		return "unknown"
	}
}

// Config holds the limits of a Tracker. Zero values select the defaults.
type Config struct {
	// SuspectAfter is the silence after which a peer is suspect. Default 1.2 s.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a peer is dead. Default 2.5 s.
	DeadAfter time.Duration
	// ForgetAfter is the silence after which a peer is forgotten. Default 10 min.
	ForgetAfter time.Duration
	// FailureLimit is the number of failed dispatches in a row that make a peer suspect. Default 3.
	FailureLimit int
	// FailureHold is the time after the last failed dispatch for which the peer stays suspect. Default 1 s.
	FailureHold time.Duration
}

// Defaults of Config.
const (
	defaultSuspectAfter = 1200 * time.Millisecond
	defaultDeadAfter    = 2500 * time.Millisecond
	defaultForgetAfter  = 10 * time.Minute
	defaultFailureLimit = 3
	defaultFailureHold  = time.Second
)

func (c Config) withDefaults() Config {
	if c.SuspectAfter <= 0 {
		c.SuspectAfter = defaultSuspectAfter
	}
	if c.DeadAfter <= 0 {
		c.DeadAfter = defaultDeadAfter
	}
	if c.ForgetAfter <= 0 {
		c.ForgetAfter = defaultForgetAfter
	}
	if c.FailureLimit <= 0 {
		c.FailureLimit = defaultFailureLimit
	}
	if c.FailureHold <= 0 {
		c.FailureHold = defaultFailureHold
	}
	return c
}

// Peer is what is believed of one peer at one time.
type Peer struct {
	// Identity is the peer's latest incarnation.
	Identity message.Identity
	// State is the belief and Reason what led to it.
	State  State
	Reason Reason
	// Silence is the time since the peer was last heard.
	Silence time.Duration
}

// TakesWork reports whether new work may be given to the peer. Suspect peers take
// work only when no live peer can; the caller orders them.
func (p Peer) TakesWork() bool { return p.State == Live || p.State == Suspect }
