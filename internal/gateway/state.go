package gateway

import (
	"cmp"
	"slices"

	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/quarantine"
	"github.com/gentiantrail/gentiantrail/internal/retry"
)

// State is the state dump of a gateway.
type State struct {
	Name          string        `json:"name"`
	ConfigVersion int64         `json:"config_version"`
	Loaded        bool          `json:"loaded"`
	Stopping      bool          `json:"stopping"`
	InFlight      int64         `json:"in_flight"`
	Gateways      int           `json:"gateways"`
	Targets       []TargetState `json:"targets"`
	// Groups contains the lock-step groups whose share of work is set by a model.
	Groups []GroupState `json:"groups,omitempty"`
	// RetryBudgets contains what the retry budget of each service counts.
	RetryBudgets map[string]retry.FleetStatus `json:"retry_budgets,omitempty"`
	// Quarantine contains the requests and parts of prompts that targets are suspected to crash on.
	Quarantine []quarantine.Status `json:"quarantine,omitempty"`
	// Zones contains the routing between availability zones, by service and zone.
	Zones []placement.ZoneStatus `json:"zones,omitempty"`
}

// TargetState is the state of one target in the state dump.
type TargetState struct {
	ID               string  `json:"id"`
	Service          string  `json:"service"`
	AvailabilityZone string  `json:"availability_zone"`
	Leaving          bool    `json:"leaving"`
	Group            string  `json:"group,omitempty"`
	InFlight         int     `json:"in_flight"`
	Load             int     `json:"load"`
	FailureRate      float64 `json:"failure_rate"`
	Blocked          bool    `json:"blocked"`
	// RateLimit is the rate that the target states, in requests per second; nil if it states
	// none.
	RateLimit *float64 `json:"rate_limit,omitempty"`
}

// State returns the state dump.
func (g *Gateway) State() any {
	v := g.view.Load()
	s := State{
		Name: g.opts.Settings.Name, Loaded: v.loaded, Stopping: v.stopping,
		InFlight: g.inFlight.Load(), Gateways: v.shares.gateways,
	}
	if v.index != nil {
		s.ConfigVersion = v.index.Config.Version
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, t := range v.targets {
		ts := TargetState{
			ID: id, Service: t.Service, AvailabilityZone: t.AvailabilityZone, Leaving: t.State != 0,
			Group: g.balancer.Group(id),
		}
		ts.InFlight, ts.Load, ts.FailureRate, ts.Blocked = g.balancer.TargetStatus(g.now(), id)
		if limit := g.balancer.TargetLimit(g.now(), id); limit.Limited {
			ts.RateLimit = &limit.Rate
		}
		s.Targets = append(s.Targets, ts)
	}
	s.RetryBudgets = make(map[string]retry.FleetStatus, len(g.budgets))
	for service, b := range g.budgets {
		s.RetryBudgets[service] = b.Status(g.now())
	}
	s.Groups = groupStates(g.balancer.GroupShares(g.now()))
	s.Zones = g.balancer.ZoneStatus(g.now())
	s.Quarantine = g.quarantine.Status(g.now())
	slices.SortFunc(s.Targets, func(a, b TargetState) int { return cmp.Compare(a.ID, b.ID) })
	return s
}
