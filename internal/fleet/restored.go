package fleet

import "time"

const (
	// departureMemory is how long a target that has left is remembered. A copy that a store is
	// restored from is some seconds old.
	departureMemory = 30 * time.Second
	// outdatedTime is how long the entry of a target that has left is not used after a restore
	// brought it back. It is longer than the store keeps an entry that is not renewed, so a
	// target whose entry is still there then is alive.
	outdatedTime = 5 * time.Second
	// evacuationKeepTime is how long an evacuation that a restored store lacks stays in force:
	// what was written since the copy is written again within about two seconds.
	evacuationKeepTime = 3 * time.Second
)

// departure is the end of a target's entry.
type departure struct {
	created Position
	at      time.Duration
}

// outdatedEntry is an entry that a restore of the store brought back although its target has
// left or is leaving. It is not used until it is written again.
type outdatedEntry struct {
	target Target
	// written is the position of the entry's last change.
	written Position
	// until is the time at which the entry is used after all; zero for a leaving target.
	until time.Duration
}

// recordDeparture remembers the end of a target's entry.
func (r *Registry) recordDeparture(now time.Duration, t *Target) {
	for id, d := range r.departures {
		if now > d.at+departureMemory {
			delete(r.departures, id)
		}
	}
	r.departures[t.ID] = departure{created: t.Created, at: now}
}

// withoutOutdated returns the objects of a list of targets without the outdated ones, and the
// decisions on entries that are newly found outdated. restored is true for the first list
// after a restore of the store.
func (r *Registry) withoutOutdated(now time.Duration, changes []Change, restored bool) (current []Change, decisions []Decision) {
	for i := range changes {
		c := &changes[i]
		if o, ok := r.outdated[c.Name]; ok && o.written == c.Written {
			continue
		}
		if o, ok := r.findOutdated(now, c); ok && restored {
			r.outdated[c.Name] = o
			decisions = append(decisions, Decision{Topic: TopicTargets, Subject: c.Name, Outcome: "outdated"})
			continue
		}
		current = append(current, *c)
	}
	return current, decisions
}

// findOutdated reports whether a target's entry says that it is ready although it has left, or
// is leaving, since it wrote that entry.
func (r *Registry) findOutdated(now time.Duration, c *Change) (outdatedEntry, bool) {
	if c.Target == nil || c.Target.State != TargetReady {
		return outdatedEntry{}, false
	}
	o := outdatedEntry{target: *c.Target, written: c.Written}
	if known, ok := r.targets[c.Name]; ok {
		return o, known.target.State == TargetLeaving && isCopy(c.Target.Created, known.target.Created)
	}
	d, ok := r.departures[c.Name]
	o.until = now + outdatedTime
	return o, ok && now <= d.at+departureMemory && isCopy(c.Target.Created, d.created)
}

// isCopy reports whether an entry that was created at a position is a copy of the one that was
// created at another position in an earlier era.
func isCopy(created, original Position) bool {
	return created.Era > original.Era && created.Revision == original.Revision
}

// evacuation is the evacuation of an availability zone.
type evacuation struct {
	// until is the time at which the evacuation ends since the store does not have it; zero
	// while the store has it.
	until time.Duration
}

// keepEvacuations returns the changes of a list of evacuations without the removals that are
// due to a restore of the store: a copy that is older than an evacuation lacks it until the
// operators write it again. restored is true for the first list after a restore.
func (r *Registry) keepEvacuations(now time.Duration, changes []Change, restored bool) (current []Change, decisions []Decision) {
	for i := range changes {
		zone := changes[i].Name
		switch {
		case !changes[i].Removed || !restored && r.evacuated[zone].until == 0:
			current = append(current, changes[i])
		case restored:
			r.evacuated[zone] = evacuation{until: now + evacuationKeepTime}
			decisions = append(decisions, Decision{Topic: TopicEvacuations, Subject: zone, Outcome: "lapsed", Keep: evacuationKeepTime})
		}
	}
	return current, decisions
}

// expireRestored puts the targets into use whose entries count as outdated no longer, and
// ends the evacuations that were not written again. It returns the time at which it is due
// next, or zero if nothing is pending.
func (r *Registry) expireRestored(now time.Duration) (due time.Duration, decisions []Decision) {
	for id, o := range r.outdated {
		switch {
		case o.until == 0:
		case now >= o.until:
			delete(r.outdated, id)
			r.targets[id] = targetEntry{target: o.target}
			decisions = append(decisions, Decision{Topic: TopicTargets, Subject: id, Outcome: "ready"})
		default:
			due = earliest(due, o.until)
		}
	}
	for zone, e := range r.evacuated {
		switch {
		case e.until == 0:
		case now >= e.until:
			delete(r.evacuated, zone)
			decisions = append(decisions, Decision{Topic: TopicEvacuations, Subject: zone, Outcome: "evacuation-ended"})
		default:
			due = earliest(due, e.until)
		}
	}
	return due, decisions
}

// earliest returns the earlier of two times, of which zero means never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
