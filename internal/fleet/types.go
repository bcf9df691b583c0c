// Package fleet maintains a gateway's view of the fleet as read from the platform's
// store: routes, services, organisations, targets and evacuated availability zones. It
// decides which entries stay valid while the store is unavailable. It does I/O only
// through the Source interface.
package fleet

import (
	"slices"
	"time"
)

// RepeatPolicy defines whether a request may run more than once.
type RepeatPolicy uint8

// The repeat policies.
const (
	// AtMostOnce marks requests that run at most once for each attempt of a client.
	AtMostOnce RepeatPolicy = iota
	// Idempotent marks requests that may run more than once.
	Idempotent
	// Resumable marks streams that another target may continue after the last event.
	Resumable
)

// Repeatable reports whether a request may run on a second target.
func (r RepeatPolicy) Repeatable() bool { return r != AtMostOnce }

// Config is one version of the operators' configuration.
type Config struct {
	// Version increases with each change, by 1 or more.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations is empty if requests need no API key.
	Organisations []Organisation
}

// hasService reports whether the configuration names a service. Before it is known, any service
// may exist.
func (c *Config) hasService(name string) bool {
	return c == nil || slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == name })
}

// PriorityLevels returns the distinct priorities of the routes that send requests to a service, in
// ascending order. The service has levels if there are several.
func (c *Config) PriorityLevels(service string) []int {
	var levels []int
	for i := range c.Routes {
		r := &c.Routes[i]
		leads := func(s WeightedService) bool { return s.Service == service && s.Weight > 0 }
		if slices.ContainsFunc(r.Split, leads) {
			levels = append(levels, r.Priority)
		}
	}
	slices.Sort(levels)
	return slices.Compact(levels)
}

// Route defines which requests go to which services, and how they are handled.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Split divides the requests among services by weight; most routes have one entry.
	Split  []WeightedService
	Repeat RepeatPolicy
	// Streaming is true if the answer is a stream of events.
	Streaming bool
	// Timeout is the longest time to the end of the answer; zero if there is no bound.
	Timeout time.Duration
	// Objective is the operators' objective for the time to the answer, or to the first
	// event of a stream.
	Objective time.Duration
	// EventGap is the operators' objective for the longest gap between a stream's events.
	EventGap time.Duration
	// MaxAttempts is the highest number of targets that one attempt of a client may be sent
	// to.
	MaxAttempts int
	// Priority orders requests; 0 is the most important.
	Priority int
	// AllowAnonymous is true if requests need no API key.
	AllowAnonymous bool
}

// WeightedService is a service's share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a set of targets of one kind.
type Service struct {
	Name string
	// MaxConnections bounds the connections that one target accepts from all callers.
	MaxConnections int
	// ColdRate is the rate that a cold target can handle, in requests per second; zero if
	// unbounded.
	ColdRate float64
	// Engine contains the parameters of a model engine; nil for plain services.
	Engine *Engine
}

// Engine contains the size and speed parameters that a model engine publishes.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// Layers, Experts and SlotsPerRank are the dimensions of an expert map: the number of
	// sets of layers, of experts in each set, and the highest number of experts of a layer
	// that one rank holds. They are zero without experts.
	Layers, Experts, SlotsPerRank int
	// MaxCopiesPerChange is the highest number of experts of a layer that a rank can copy
	// for one map change.
	MaxCopiesPerChange int
	// CopyTime is the time that a rank needs to copy one expert.
	CopyTime time.Duration
	// StepTime is the time of a token step without requests, and StepTimePerRequest the time
	// that each request that is generating output adds to it. They are zero if unknown.
	StepTime, StepTimePerRequest time.Duration
	// Delays are the delays of the network between availability zones, as far as they are known.
	Delays []ZoneDelay
}

// ZoneDelay is the time that a message takes from one availability zone to another.
type ZoneDelay struct {
	From, To string
	Delay    time.Duration
}

// Limits bound what a client may send.
type Limits struct {
	// HeaderBytes and BodyBytes are sizes in bytes.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the longest time that a request's head may take to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time that a connection stays open without a request.
	IdleTimeout time.Duration
}

// Organisation is a group of callers that is identified by its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority, if set, takes precedence over the route's priority.
	Priority *int
}

// TargetState is the state that a target reports of itself.
type TargetState uint8

// The target states.
const (
	TargetReady TargetState = iota
	// TargetLeaving marks a target that completes its current work and accepts no more.
	TargetLeaving
)

// Target is a server to which requests are forwarded. It covers one lifetime of the server,
// from its start to its end.
type Target struct {
	// ID identifies the target; it usually changes with a restart.
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	State            TargetState
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Lifetime identifies the target's current run; zero if the target does not tell it.
	Lifetime int64
	// Created is the store's position at which the entry was created. It orders the lifetimes
	// that had the same address.
	Created Position
	// ColdRemaining is how much longer the target stays cold, as of its last report.
	ColdRemaining time.Duration
}
