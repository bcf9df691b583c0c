// Package config holds the operators' configuration: what organisations,
// services, availability zones and target pools exist, how the files of a
// configuration folder are merged and checked, and how an accepted revision
// reaches every process.
package config

import "time"

// Config is one whole, checked configuration.
type Config struct {
	// Revision grows by one with each accepted change.
	Revision          uint64             `yaml:"-"`
	Organisations     []Organisation     `yaml:"organisations"`
	Services          []Service          `yaml:"services"`
	AvailabilityZones []AvailabilityZone `yaml:"availability_zones"`
	Pools             []Pool             `yaml:"pools"`
	// DrainedInstances lists the names of agents or entries that take no new work.
	// It is part of the revision and set by operators' drains, not by files.
	DrainedInstances []string `yaml:"-"`
}

// Organisation is one calling organisation.
type Organisation struct {
	// Name is the organisation's unique name, in lower case.
	Name string `yaml:"name"`
	// KeyDigests are the hex SHA-256 digests of the organisation's API keys.
	KeyDigests []string `yaml:"key_digests"`
	// Weight is the organisation's share when capacity is short. Default 1, range 1 to 1000.
	Weight int `yaml:"weight"`
	// MaxWaiting is the most requests an entry keeps waiting for the organisation. Default 256, range 1 to 65536.
	MaxWaiting int `yaml:"max_waiting"`
}

// Service is one kind of work that callers may ask for.
type Service struct {
	// Name is the service's unique name; requests arrive under /NAME/.
	Name string `yaml:"name"`
	// Pool is the target pool that runs the service.
	Pool string `yaml:"pool"`
	// Routes are tried in order; a request that matches none is refused.
	Routes []Route `yaml:"routes"`
	// DefaultTimeout is a request's time to its complete answer if the caller names none. Default 30s.
	DefaultTimeout time.Duration `yaml:"default_timeout"`
	// MaxTimeout is the longest time that a caller may ask for. Default 120s, at most 10m.
	MaxTimeout time.Duration `yaml:"max_timeout"`
	// MaxBody is the largest request body, for example 1MiB. Default 1MiB, at most 4MiB.
	MaxBody Size `yaml:"max_body"`
}

// Route says how requests of one method and path are treated.
type Route struct {
	// Method is the HTTP method, or * for any.
	Method string `yaml:"method"`
	// Path is the path below /SERVICE; a trailing * matches any suffix.
	Path string `yaml:"path"`
	// Idempotent tells that a request may safely run more than once. Default false.
	Idempotent bool `yaml:"idempotent"`
	// Priority orders waiting requests; higher goes first. Default 0, range -10 to 10.
	Priority int `yaml:"priority"`
}

// AvailabilityZone is one availability zone.
type AvailabilityZone struct {
	// Name is the availability zone's unique name.
	Name string `yaml:"name"`
	// Region is the name of the zone's region.
	Region string `yaml:"region"`
	// Drained tells that the availability zone takes no new work. It is part of the
	// revision and set by operators' drains, not by files.
	Drained bool `yaml:"-"`
}

// TargetKind tells what kind of program a pool's targets are.
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
	// Limit is the most requests that a warm target runs at once. Range 1 to 65536.
	Limit int `yaml:"limit"`
	// ColdLimit is the most requests that a target runs at once just after its start. Range 1 to Limit.
	ColdLimit int `yaml:"cold_limit"`
	// ProbeWhileCold lets a target's limit grow while the target still reports itself
	// cold; only for targets whose latency shows strain before they fail. Default false.
	ProbeWhileCold bool `yaml:"probe_while_cold"`
	// QueueLimit is the most requests that wait at one agent. Default: Limit, range 0 to 65536.
	QueueLimit int `yaml:"queue_limit"`
	// ChecksFencing tells that the engines refuse orders with an old fencing number. Default false.
	ChecksFencing bool `yaml:"checks_fencing"`
	// Group describes the expert-parallel group; nil for pools without one.
	Group *Group `yaml:"group"`
}

// Group describes the expert-parallel groups of a pool.
type Group struct {
	// Ranks is the number of ranks in a group. Range 2 to 1024.
	Ranks int `yaml:"ranks"`
	// Layers is the number of expert layers. Range 1 to 1024.
	Layers int `yaml:"layers"`
	// Experts is the number of experts in a layer. Range 1 to 4096.
	Experts int `yaml:"experts"`
	// SlotsPerRank is the number of expert replicas that a rank holds in a
	// layer. Ranks times SlotsPerRank is at least Experts.
	SlotsPerRank int `yaml:"slots_per_rank"`
	// ExpertSize is the size of one expert's weights, for example 64MiB.
	ExpertSize Size `yaml:"expert_size"`
	// WeightRate is the share of the weight store's rate that one group may use,
	// per second. Default 1GiB, range 1MiB to 64GiB.
	WeightRate Size `yaml:"weight_rate"`
	// RebalanceInterval is the time between two decisions about the expert map.
	// Default 1m, range 1s to 1h.
	RebalanceInterval time.Duration `yaml:"rebalance_interval"`
}
