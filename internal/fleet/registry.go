package fleet

import (
	"maps"
	"slices"
	"time"
)

const (
	// outageWindow is how long after the beginning of the last failed call to the store a
	// missing entry may have lapsed during an outage. It covers a call that hangs and the
	// time to the next one.
	outageWindow = 2800 * time.Millisecond
	// noticeSlack is the time, beside the pause between watches, that a gateway may need to learn
	// that an entry was removed and to send the requests for which the target was chosen before.
	noticeSlack = 200 * time.Millisecond
)

// noticeTime returns the time that a gateway may need to act on the removal of an entry.
func noticeTime(drainTimeout time.Duration) time.Duration {
	return maxWatchPause(drainTimeout) + noticeSlack
}

// Registry is a gateway's view of the fleet. It is a state machine without I/O: the
// caller passes in the time and must not use it concurrently.
type Registry struct {
	config  *Config
	targets map[string]targetEntry
	// evacuated contains the evacuated availability zones.
	evacuated map[string]evacuation
	gateways  map[string]Gateway
	loaded    [TopicCount]bool
	// drainTimeout is the time within which a target that has left must get no more work.
	drainTimeout time.Duration
	// departures contains the targets that have left in the last departureMemory, by id.
	departures map[string]departure
	// outdated contains the entries that are not used, by id.
	outdated map[string]outdatedEntry
	// eras contains the store's era in the last list of each topic.
	eras [TopicCount]int64
	// restoredAt is the time of the first list of targets after the last restore of the store;
	// nil before.
	restoredAt *time.Duration
	// lastFailure is the time at which the last failed call to the store began; nil if no
	// call has failed.
	lastFailure *time.Duration
}

// targetEntry is a target whose entry the store has, or had before an outage.
type targetEntry struct {
	target Target
	// lapsed is true if the store does not have the entry; the target is kept until keepUntil.
	lapsed    bool
	keepUntil time.Duration
}

// Decision describes how the registry handled a change, for the log.
type Decision struct {
	Topic Topic
	// Subject is the name of the object.
	Subject string
	// Outcome is the object's new state.
	Outcome string
	// Keep is how long a lapsed target or evacuation is kept at most; zero for all other
	// outcomes.
	Keep time.Duration
}

// NewRegistry returns an empty registry. drainTimeout is the time within which a target that
// has left must get no more work.
func NewRegistry(drainTimeout time.Duration) *Registry {
	return &Registry{
		drainTimeout: drainTimeout, targets: map[string]targetEntry{}, evacuated: map[string]evacuation{}, gateways: map[string]Gateway{},
		departures: map[string]departure{}, outdated: map[string]outdatedEntry{},
	}
}

// ApplyList applies a complete list of a topic's objects at time now.
func (r *Registry) ApplyList(now time.Duration, topic Topic, batch Batch) []Decision {
	present := make(map[string]bool, len(batch.Changes))
	for i := range batch.Changes {
		present[batch.Changes[i].Name] = true
	}
	for _, name := range r.names(topic) {
		if !present[name] {
			batch.Changes = append(slices.Clip(batch.Changes), Change{Name: name, Removed: true})
		}
	}
	restored := r.loaded[topic] && batch.Position.Era > r.eras[topic]
	r.loaded[topic], r.eras[topic] = true, batch.Position.Era
	var decisions []Decision
	switch topic {
	case TopicEvacuations:
		batch.Changes, decisions = r.keepEvacuations(now, batch.Changes, restored)
	case TopicTargets:
		if restored {
			r.restoredAt = &now
		}
		batch.Changes, decisions = r.withoutOutdated(now, batch.Changes, restored)
	}
	return append(decisions, r.ApplyChanges(now, topic, batch)...)
}

// names returns the names of the known objects of a topic whose removal matters.
func (r *Registry) names(topic Topic) []string {
	switch topic {
	case TopicTargets:
		return slices.Collect(maps.Keys(r.targets))
	case TopicEvacuations:
		return slices.Collect(maps.Keys(r.evacuated))
	default:
		return nil
	}
}

// ApplyChanges applies changes of a topic at time now.
func (r *Registry) ApplyChanges(now time.Duration, topic Topic, batch Batch) []Decision {
	var emptied map[string]bool
	if topic == TopicTargets {
		emptied = r.emptiedServices(batch)
	}
	var decisions []Decision
	for i := range batch.Changes {
		if d, ok := r.apply(now, topic, &batch.Changes[i], emptied); ok {
			d.Topic = topic
			decisions = append(decisions, d)
		}
	}
	return decisions
}

// emptiedServices returns the services that lose several ready targets with a batch and
// have none left.
func (r *Registry) emptiedServices(batch Batch) map[string]bool {
	lost, left := map[string]int{}, map[string]int{}
	removed := make(map[string]bool, len(batch.Changes))
	for i := range batch.Changes {
		c := &batch.Changes[i]
		removed[c.Name] = c.Removed
		if c.Target != nil && !c.Removed && c.Target.State == TargetReady {
			left[c.Target.Service]++
		}
	}
	for id, e := range r.targets {
		switch {
		case e.lapsed || e.target.State != TargetReady:
		case removed[id]:
			lost[e.target.Service]++
		default:
			left[e.target.Service]++
		}
	}
	emptied := map[string]bool{}
	for service, n := range lost {
		emptied[service] = n > 1 && left[service] == 0
	}
	return emptied
}

// RecordStoreFailure records that a call to the store failed that would have been answered
// at once if the store had been available. The call began at time began.
func (r *Registry) RecordStoreFailure(began time.Duration) {
	if r.lastFailure == nil || began > *r.lastFailure {
		r.lastFailure = &began
	}
}

// SetDrainTimeout changes the time within which a target that has left must get no more work.
func (r *Registry) SetDrainTimeout(d time.Duration) { r.drainTimeout = d }

// DrainTimeout returns the time within which a target that has left must get no more work.
func (r *Registry) DrainTimeout() time.Duration { return r.drainTimeout }

// afterOutage reports whether entries that are found missing may have lapsed during an
// outage of the store, or may be younger than the copy that it was restored from.
func (r *Registry) afterOutage(now time.Duration) bool {
	return r.lastFailure != nil && now < *r.lastFailure+outageWindow ||
		r.restoredAt != nil && now < *r.restoredAt+outageWindow
}

func (r *Registry) apply(now time.Duration, topic Topic, c *Change, emptied map[string]bool) (Decision, bool) {
	switch topic {
	case TopicConfig:
		return r.applyConfig(c)
	case TopicTargets:
		return r.applyTarget(now, c, emptied)
	case TopicEvacuations:
		return r.applyEvacuation(c)
	default:
		return r.applyGateway(c)
	}
}

// applyConfig applies a configuration if its version is higher than the current one.
// Neither an older version nor a removal replaces it.
func (r *Registry) applyConfig(c *Change) (Decision, bool) {
	if c.Config == nil || r.config != nil && c.Config.Version <= r.config.Version {
		return Decision{}, false
	}
	r.config = c.Config
	return Decision{Subject: c.Name, Outcome: "in-force"}, true
}

// applyTarget applies a change of a target. emptied contains the services that lose all
// their targets at the same time.
func (r *Registry) applyTarget(now time.Duration, c *Change, emptied map[string]bool) (Decision, bool) {
	delete(r.outdated, c.Name)
	if c.Removed {
		e, known := r.targets[c.Name]
		if !known || e.lapsed {
			return Decision{}, false
		}
		mayHaveLapsed := r.afterOutage(now) || emptied[e.target.Service]
		return r.removeTarget(now, c.Name, mayHaveLapsed), true
	}
	if c.Target == nil {
		return Decision{}, false
	}
	old, known := r.targets[c.Name]
	r.targets[c.Name] = targetEntry{target: *c.Target}
	if known && !old.lapsed && old.target == *c.Target {
		return Decision{}, false
	}
	outcome := "ready"
	if c.Target.State == TargetLeaving {
		outcome = "leaving"
	}
	return Decision{Subject: c.Name, Outcome: outcome}, true
}

// removeTarget removes a target, or keeps it for a while if its entry may only have
// lapsed during an outage of the store: live targets register again within two seconds.
// The target may also have left on purpose while the store was out of reach, so it is kept
// no longer than drainTimeout allows.
func (r *Registry) removeTarget(now time.Duration, id string, mayHaveLapsed bool) Decision {
	e := r.targets[id]
	if keep := r.drainTimeout - noticeTime(r.drainTimeout); mayHaveLapsed && keep > 0 && e.target.State == TargetReady {
		e.lapsed, e.keepUntil = true, now+keep
		r.targets[id] = e
		return Decision{Subject: id, Outcome: "lapsed", Keep: keep}
	}
	delete(r.targets, id)
	r.recordDeparture(now, &e.target)
	return Decision{Subject: id, Outcome: "gone"}
}

// Expire removes the targets that did not register again in time, and puts those into use
// whose entries count as outdated no longer. It returns the time at which it is due next, or
// zero if nothing is pending.
func (r *Registry) Expire(now time.Duration) (due time.Duration, decisions []Decision) {
	due, decisions = r.expireRestored(now)
	for id, e := range r.targets {
		switch {
		case !e.lapsed:
		case now >= e.keepUntil:
			delete(r.targets, id)
			r.recordDeparture(now, &e.target)
			decisions = append(decisions, Decision{Topic: TopicTargets, Subject: id, Outcome: "gone"})
		default:
			due = earliest(due, e.keepUntil)
		}
	}
	return due, decisions
}

// View is an immutable copy of a Registry's state.
type View struct {
	Config  *Config
	Targets []Target
	// Evacuated contains the availability zones whose targets get no new work.
	Evacuated map[string]bool
	// Gateways contains all gateways that were ever registered, including this one.
	Gateways []Gateway
	// Loaded is true once the configuration, targets and evacuations have been read.
	Loaded bool
}

// View returns a copy of the current state.
func (r *Registry) View() View {
	v := View{Config: r.config, Evacuated: make(map[string]bool, len(r.evacuated))}
	v.Loaded = r.config != nil && r.loaded[TopicTargets] && r.loaded[TopicEvacuations]
	newest := make(map[string]Position, len(r.targets))
	for _, e := range r.targets {
		if !r.config.hasService(e.target.Service) {
			continue
		}
		if known, ok := newest[e.target.Address]; !ok || e.target.Created.Compare(known) > 0 {
			newest[e.target.Address] = e.target.Created
		}
	}
	for _, e := range r.targets {
		// An older entry with the address of a newer one belongs to a lifetime that has ended. An
		// entry of a service that the configuration does not name may be anyone's.
		if r.config.hasService(e.target.Service) && e.target.Created == newest[e.target.Address] {
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
	_, known := r.evacuated[c.Name]
	if c.Removed {
		delete(r.evacuated, c.Name)
		return Decision{Subject: c.Name, Outcome: "evacuation-ended"}, known
	}
	r.evacuated[c.Name] = evacuation{}
	if known {
		return Decision{}, false
	}
	return Decision{Subject: c.Name, Outcome: "evacuated"}, true
}

func (r *Registry) applyGateway(c *Change) (Decision, bool) {
	if c.Gateway == nil || r.gateways[c.Name] == *c.Gateway {
		return Decision{}, false
	}
	r.gateways[c.Name] = *c.Gateway
	return Decision{Subject: c.Name, Outcome: "gateway-known"}, true
}
