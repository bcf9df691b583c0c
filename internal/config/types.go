// Package config defines the operators' configuration, that is the organisations,
// services, availability zones and target pools. It merges and checks the files of a
// configuration folder, publishes them as a revision in the platform's store, and
// distributes each accepted revision to every process.
package config

import "time"

// Config is one complete, checked configuration.
type Config struct {
	// Revision increases with each accepted change, by one unless Publisher.MinRevision
	// is higher.
	Revision          uint64             `yaml:"-"`
	Organisations     []Organisation     `yaml:"organisations"`
	Services          []Service          `yaml:"services"`
	AvailabilityZones []AvailabilityZone `yaml:"availability_zones"`
	Pools             []Pool             `yaml:"pools"`
	// DrainedInstances lists the names of agents or entries that accept no new work.
	// It is part of the revision, and is set by operators' drains, not by files.
	DrainedInstances []string `yaml:"-"`
}

// Organisation is an organisation that calls services.
type Organisation struct {
	// Name is the organisation's unique name, in lower case.
	Name string `yaml:"name"`
	// KeyDigests are the hex SHA-256 digests of the organisation's API keys.
	KeyDigests []string `yaml:"key_digests"`
	// Weight is the organisation's relative share when capacity is scarce. Default 1,
	// range 1 to 1000.
	Weight int `yaml:"weight"`
	// MaxWaiting is the maximum number of the organisation's requests that wait at one entry.
	// Default 256, range 1 to 65536.
	MaxWaiting int `yaml:"max_waiting"`
}

// Service is one kind of work that callers can request.
type Service struct {
	// Name is the service's unique name; requests arrive under /NAME/.
	Name string `yaml:"name"`
	// Pool is the target pool that runs the service.
	Pool string `yaml:"pool"`
	// Routes are tried in order; a request that matches none is rejected.
	Routes []Route `yaml:"routes"`
	// DefaultTimeout is the time limit for the complete answer to a request if the caller sets none.
	// Default 30s.
	DefaultTimeout time.Duration `yaml:"default_timeout"`
	// MaxTimeout is the longest time limit that a caller may set. Default 120s, at most 10m.
	MaxTimeout time.Duration `yaml:"max_timeout"`
	// MaxBody is the maximum size of a request body, for example 1MiB. Default 1MiB, at most 4MiB.
	MaxBody Size `yaml:"max_body"`
}

// Route defines how requests with one method and path are handled.
type Route struct {
	// Method is the HTTP method, or * for any.
	Method string `yaml:"method"`
	// Path is the path below /SERVICE; a trailing * matches any suffix.
	Path string `yaml:"path"`
	// Idempotent is true if a request may safely be executed more than once. Default false.
	Idempotent bool `yaml:"idempotent"`
	// Priority orders waiting requests; higher values go first. Default 0, range -10 to 10.
	Priority int `yaml:"priority"`
}

// AvailabilityZone is one availability zone.
type AvailabilityZone struct {
	// Name is the availability zone's unique name.
	Name string `yaml:"name"`
	// Region is the name of the zone's region.
	Region string `yaml:"region"`
	// Drained is true if the availability zone accepts no new work. It is part of the
	// revision, and is set by operators' drains, not by files.
	Drained bool `yaml:"-"`
}

// TargetKind is the kind of program that a pool's targets run.
type TargetKind string

// The target kinds.
const (
	// TargetModel is a model engine with continuous batching.
	TargetModel TargetKind = "model"
	// TargetPlain is a plain HTTP service.
	TargetPlain TargetKind = "plain"
)

// Pool is a set of targets that run the same work.
type Pool struct {
	// Name is the pool's unique name; each agent's settings name its pool.
	Name string `yaml:"name"`
	// Kind is model or plain.
	Kind TargetKind `yaml:"kind"`
	// Limit is the maximum number of requests that a warm target runs concurrently.
	// Range 1 to 65536.
	Limit int `yaml:"limit"`
	// ColdLimit is the maximum number of requests that a target runs concurrently just
	// after its start. Range 1 to Limit.
	ColdLimit int `yaml:"cold_limit"`
	// ProbeWhileCold allows a target's limit to grow while the target still reports that
	// it is cold. It is only for targets whose latency rises before they fail under load.
	// Default false.
	ProbeWhileCold bool `yaml:"probe_while_cold"`
	// QueueLimit is the maximum number of requests that wait at one agent. Default: Limit,
	// range 0 to 65536.
	QueueLimit int `yaml:"queue_limit"`
	// ChecksFencing is true if the engines reject orders with an old fencing number. Default false.
	ChecksFencing bool `yaml:"checks_fencing"`
	// Group describes the pool's lock-step groups; nil for pools without any.
	Group *Group `yaml:"group"`
}

// Group describes the lock-step groups of a pool, that is its expert-parallel groups.
type Group struct {
	// Ranks is the number of ranks in a group. Range 2 to 1024.
	Ranks int `yaml:"ranks"`
	// Layers is the number of expert layers. Range 1 to 1024.
	Layers int `yaml:"layers"`
	// Experts is the number of experts in a layer. Range 1 to 4096.
	Experts int `yaml:"experts"`
	// SlotsPerRank is the number of expert replicas that a rank can hold in a
	// layer. Ranks times SlotsPerRank is at least Experts.
	SlotsPerRank int `yaml:"slots_per_rank"`
	// ExpertSize is the size of one expert's weights, for example 64MiB.
	ExpertSize Size `yaml:"expert_size"`
	// WeightRate is the maximum rate, in bytes per second, at which one group may load
	// weights from the weight store. Default 1GiB, range 1MiB to 64GiB.
	WeightRate Size `yaml:"weight_rate"`
	// RebalanceInterval is the interval between two decisions about the expert map.
	// Default 1m, range 1s to 1h.
	RebalanceInterval time.Duration `yaml:"rebalance_interval"`
}
