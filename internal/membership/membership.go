// Package membership determines which peers of a process are live, suspect, dead or
// leaving, based on heartbeats, ended links and failed dispatches.
//
// A frozen peer, a peer behind a network partition and a dead peer cannot be
// distinguished at first, because the heartbeats of all of them stop. The package
// reads no clock: times are passed in. It is not safe for concurrent use.
package membership

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// State is the estimated state of a peer.
type State uint8

// States of a peer.
const (
	// Live is the state of a peer that recently gave a sign of life, such as a
	// heartbeat.
	Live State = iota + 1
	// Suspect is the state of a peer whose heartbeats are missing, whose last link
	// ended, or to which dispatches failed.
	Suspect
	// Dead is the state of a peer that was silent for Config.DeadAfter.
	Dead
	// Leaving is the state of a peer that has announced that it takes no new work.
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

// Reason is the reason for a State.
type Reason uint8

// Reasons for a State.
const (
	// ReasonActive means that a sign of life arrived in time.
	ReasonActive Reason = iota + 1
	// ReasonSilent means that heartbeats are missing.
	ReasonSilent
	// ReasonLinkLost means that the last link to the peer ended.
	ReasonLinkLost
	// ReasonFailures means that consecutive dispatches to the peer failed.
	ReasonFailures
	// ReasonAnnounced means that the peer itself announced that it is leaving.
	ReasonAnnounced
)

// String returns the reason's name.
func (r Reason) String() string {
	switch r {
	case ReasonActive:
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

// Config contains the timeouts and limits of a Tracker. Zero fields take the
// defaults.
type Config struct {
	// SuspectAfter is the silence after which a peer is suspect. Default 1.2 s.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a peer is dead. Default 2.5 s.
	DeadAfter time.Duration
	// ForgetAfter is the silence after which a peer is removed. Default 10 min.
	ForgetAfter time.Duration
	// FailureLimit is the number of consecutive failed dispatches after which a peer is
	// suspect. Default 3.
	FailureLimit int
	// FailureHold is the time after the last failed dispatch for which the peer stays
	// suspect. Default 1 s.
	FailureHold time.Duration
}

// Default values of Config.
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

// Peer is the estimated state of one peer at one time.
type Peer struct {
	// Identity is the identity of the peer's latest incarnation.
	Identity message.Identity
	// State is the peer's state and Reason the reason for it.
	State  State
	Reason Reason
	// Silence is the time since the peer's last sign of life.
	Silence time.Duration
}

// AcceptsWork reports whether new work may be assigned to the peer. A suspect peer is
// meant to get work only if no live peer can take it; the caller is responsible for
// this order.
func (p Peer) AcceptsWork() bool { return p.State == Live || p.State == Suspect }
