// Package fleet holds what a gateway knows of the fleet from the platform's store:
// routes, services, organisations, targets and evacuated availability zones. It
// decides which of that to believe while the store is away; it does no I/O but
// through the Source interface.
package fleet

import "time"

// RunRule says how often a request may run.
type RunRule uint8

// The run rules.
const (
	// AtMostOnce marks requests that run at most once for each attempt of a client.
	AtMostOnce RunRule = iota
	// Idempotent marks requests that may run more than once.
	Idempotent
	// Resumable marks streams that another target may continue after the last event.
	Resumable
)

// Repeatable reports whether a request may run on a second target.
func (r RunRule) Repeatable() bool { return r != AtMostOnce }

// Config is one version of the operators' configuration.
type Config struct {
	// Version grows with each change, in uneven steps.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations is empty if requests need no API key.
	Organisations []Organisation
}

// Route says which requests go to which service, and how they are treated.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Split shares the requests among services; it has one entry for most routes.
	Split []WeightedService
	Run   RunRule
	// Streaming tells that the answer is a series of events.
	Streaming bool
	// Timeout is the longest time to the end of the answer; zero if there is none.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, that operators aim at.
	Objective time.Duration
	// EventGap is the longest pause between a stream's events that operators aim at.
	EventGap time.Duration
	// Attempts is the most targets that one attempt of a client may be sent to.
	Attempts int
	// Priority orders requests; 0 is the most important.
	Priority int
	// Anonymous tells that no API key is needed.
	Anonymous bool
}

// WeightedService is one share of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a kind of target.
type Service struct {
	Name string
	// MaxConnections bounds the connections that one target accepts from all callers.
	MaxConnections int
	// ColdRate is the requests a second that a cold target bears; zero if unbounded.
	ColdRate float64
	// Engine is the law by which a model engine works; nil for plain services.
	Engine *Engine
}

// Engine holds what a model engine publishes about its speed.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// Layers, Experts and Places are the size of an expert map: sets of layers, experts
	// in each, and the most experts of a layer that one rank holds. Zero without experts.
	Layers, Experts, Places int
	// Spare is the most experts of a layer that a rank can copy for one change.
	Spare int
	// CopyTime is the time in which a rank copies one expert.
	CopyTime time.Duration
}

// Limits bound what a client may send.
type Limits struct {
	// HeaderBytes and BodyBytes are sizes in bytes.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the longest time in which a request's head arrives.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time that a connection stays open without a request.
	IdleTimeout time.Duration
}

// Organisation is one calling organisation.
type Organisation struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's, if it is set.
	Priority *int
}

// TargetState is what a target says of itself.
type TargetState uint8

// The target states.
const (
	TargetReady TargetState = iota
	// TargetLeaving marks a target that finishes its work and takes no new.
	TargetLeaving
)

// Target is one lifetime of a back end.
type Target struct {
	// ID names the target; a restart mostly brings a new one.
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	State            TargetState
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Created orders the lifetimes that had one address: the store's revision at which the
	// entry was made.
	Created int64
	// ColdFor is how long the target stays cold, as of its last report.
	ColdFor time.Duration
}
