package fleet

import (
	"time"
)

// LapseGrace is how long after the store's return a target that the store lost
// meanwhile is still believed: live targets register again within two seconds.
const LapseGrace = 2 * time.Second

// Registry is what a gateway believes of the fleet. It is a pure state machine:
// the caller brings the time and owns the value.
type Registry struct {
	config    *Config
	targets   map[string]targetEntry
	evacuated map[string]bool
	gateways  map[string]Gateway
	loaded    [topicCount]bool
	// away tells that the store does not answer for the targets; returned is when its
	// last absence ended.
	away     bool
	returned time.Duration
}

// targetEntry is a target and whether the store has withdrawn its entry.
type targetEntry struct {
	target Target
	// lapsed is when the store was first seen without the entry after an absence; zero
	// while the entry stands.
	lapsed time.Duration
}

// Decision is what the registry did with a change, for the log.
type Decision struct {
	// Subject is the object's name, or a version.
	Subject string
	// Outcome says what is believed now.
	Outcome string
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{targets: map[string]targetEntry{}, evacuated: map[string]bool{}, gateways: map[string]Gateway{}}
}

// Listed takes in a whole list of a topic at time now.
func (r *Registry) Listed(now time.Duration, topic Topic, batch Batch) []Decision {
	present := make(map[string]bool, len(batch.Changes))
	for i := range batch.Changes {
		present[batch.Changes[i].Name] = true
	}
	decisions := r.Changed(now, topic, batch)
	switch topic {
	case TopicTargets:
		for id, e := range r.targets {
			if !present[id] && e.lapsed == 0 {
				decisions = append(decisions, r.removeTarget(now, id))
			}
		}
	case TopicEvacuations:
		for zone := range r.evacuated {
			if !present[zone] {
				delete(r.evacuated, zone)
				decisions = append(decisions, Decision{zone, "evacuation-ended"})
			}
		}
	}
	r.loaded[topic] = true
	return decisions
}

// Changed takes in changes of a topic at time now.
func (r *Registry) Changed(now time.Duration, topic Topic, batch Batch) []Decision {
	var decisions []Decision
	if topic == TopicTargets {
		r.seen(now)
	}
	for i := range batch.Changes {
		if d, ok := r.apply(now, topic, &batch.Changes[i]); ok {
			decisions = append(decisions, d)
		}
	}
	return decisions
}

// Lost notes that the store does not answer.
func (r *Registry) Lost() { r.away = true }

// seen notes an answer of the store.
func (r *Registry) seen(now time.Duration) {
	if r.away {
		r.away = false
		r.returned = now
	}
}

func (r *Registry) apply(now time.Duration, topic Topic, c *Change) (Decision, bool) {
	switch topic {
	case TopicConfig:
		return r.applyConfig(c)
	case TopicTargets:
		return r.applyTarget(now, c)
	case TopicEvacuations:
		return r.applyEvacuation(c)
	default:
		return r.applyGateway(c)
	}
}

// applyConfig keeps the highest version; a configuration is never taken back.
func (r *Registry) applyConfig(c *Change) (Decision, bool) {
	if c.Config == nil || r.config != nil && c.Config.Version <= r.config.Version {
		return Decision{}, false
	}
	r.config = c.Config
	return Decision{c.Name, "in-force"}, true
}

func (r *Registry) applyTarget(now time.Duration, c *Change) (Decision, bool) {
	if c.Removed {
		if e, known := r.targets[c.Name]; !known || e.lapsed != 0 {
			return Decision{}, false
		}
		return r.removeTarget(now, c.Name), true
	}
	if c.Target == nil {
		return Decision{}, false
	}
	old, known := r.targets[c.Name]
	r.targets[c.Name] = targetEntry{target: *c.Target}
	if known && old.lapsed == 0 && old.target == *c.Target {
		return Decision{}, false
	}
	outcome := "ready"
	if c.Target.State == TargetLeaving {
		outcome = "leaving"
	}
	return Decision{c.Name, outcome}, true
}

// removeTarget forgets a target, or keeps it for a while if its entry may only have
// lapsed while the store was away.
func (r *Registry) removeTarget(now time.Duration, id string) Decision {
	e := r.targets[id]
	if e.target.State == TargetReady && r.returned > 0 && now < r.returned+LapseGrace {
		e.lapsed = now
		r.targets[id] = e
		return Decision{id, "lapsed"}
	}
	delete(r.targets, id)
	return Decision{id, "gone"}
}

// Expire drops the targets that did not register again in time. It returns when it
// is due next, or zero.
func (r *Registry) Expire(now time.Duration) (due time.Duration, decisions []Decision) {
	for id, e := range r.targets {
		if e.lapsed == 0 {
			continue
		}
		if now >= r.returned+LapseGrace {
			delete(r.targets, id)
			decisions = append(decisions, Decision{id, "gone"})
			continue
		}
		due = r.returned + LapseGrace
	}
	return due, decisions
}

// View is an immutable copy of what is believed.
type View struct {
	Config  *Config
	Targets []Target
	// Evacuated holds the availability zones whose targets get no new work.
	Evacuated map[string]bool
	// Gateways holds all gateways ever announced, this one included.
	Gateways []Gateway
	// Loaded tells that every topic has been read once.
	Loaded bool
}

// View returns a copy of what is believed.
func (r *Registry) View() View {
	v := View{Config: r.config, Evacuated: make(map[string]bool, len(r.evacuated))}
	v.Loaded = r.config != nil && r.loaded[TopicTargets] && r.loaded[TopicEvacuations]
	newest := make(map[string]int64, len(r.targets))
	for _, e := range r.targets {
		newest[e.target.Address] = max(newest[e.target.Address], e.target.Created)
	}
	for _, e := range r.targets {
		// An older entry with the address of a newer one is of a lifetime that has ended.
		if e.target.Created == newest[e.target.Address] {
			v.Targets = append(v.Targets, e.target)
		}
	}
	for zone := range r.evacuated {
		v.Evacuated[zone] = true
	}
	for _, g := range r.gateways {
		v.Gateways = append(v.Gateways, g)
	}
	return v
}

func (r *Registry) applyEvacuation(c *Change) (Decision, bool) {
	if c.Removed == !r.evacuated[c.Name] {
		return Decision{}, false
	}
	if c.Removed {
		delete(r.evacuated, c.Name)
		return Decision{c.Name, "evacuation-ended"}, true
	}
	r.evacuated[c.Name] = true
	return Decision{c.Name, "evacuated"}, true
}

func (r *Registry) applyGateway(c *Change) (Decision, bool) {
	if c.Gateway == nil || r.gateways[c.Name] == *c.Gateway {
		return Decision{}, false
	}
	r.gateways[c.Name] = *c.Gateway
	return Decision{c.Name, "gateway-known"}, true
}
