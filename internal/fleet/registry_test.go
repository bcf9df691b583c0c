package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const drainTimeout = 2 * time.Second

func target(id string, state TargetState) Change {
	return Change{Name: id, Target: &Target{ID: id, Service: "s", Address: "10.0.0.1:1", AvailabilityZone: "z", Slots: 4, State: state}}
}

func batch(changes ...Change) Batch { return Batch{Changes: changes} }

func ids(v View) map[string]TargetState {
	m := map[string]TargetState{}
	for _, t := range v.Targets {
		m[t.ID] = t.State
	}
	return m
}

func TestRemovedTargetIsDroppedAtOnceWhileTheStoreIsAvailable(t *testing.T) {
	r := NewRegistry(drainTimeout)
	r.ApplyList(0, TopicTargets, batch(target("a", TargetReady), target("b", TargetReady)))
	r.ApplyChanges(time.Minute, TopicTargets, batch(Change{Name: "a", Removed: true}))
	assert.DeepEqual(t, ids(r.View()), map[string]TargetState{"b": TargetReady})
}

// Guards against an entry of another writer that takes a live target out of use: it names a service
// that does not exist, and the target's address.
func TestEntryOfAnUnknownServiceHidesNoTarget(t *testing.T) {
	r := NewRegistry(drainTimeout)
	odd := target("odd", TargetReady)
	odd.Target.Service, odd.Target.Created = "unknown", Position{Revision: 9}
	r.ApplyList(0, TopicTargets, batch(target("a", TargetReady), odd))
	r.ApplyList(0, TopicConfig, batch(Change{Name: "main", Config: &Config{Version: 1, Services: []Service{{Name: "s"}}}}))
	assert.DeepEqual(t, ids(r.View()), map[string]TargetState{"a": TargetReady})
	// A later configuration may name the service; then the address has gone to its target.
	r.ApplyChanges(0, TopicConfig, batch(Change{Name: "main", Config: &Config{Version: 2, Services: []Service{{Name: "s"}, {Name: "unknown"}}}}))
	assert.DeepEqual(t, ids(r.View()), map[string]TargetState{"odd": TargetReady})
}

// Entries of live targets may expire during an outage of the store. A target that does not
// register again is removed after the grace period and no earlier. The period ends early
// enough for the target to get no work drainTimeout after it left, if it left on purpose
// just before its gateway could watch again.
func TestLapsedTargetsAreKeptForTheGracePeriodAfterAnOutage(t *testing.T) {
	r := NewRegistry(drainTimeout)
	r.ApplyList(0, TopicTargets, batch(target("a", TargetReady), target("b", TargetReady)))
	lastFailure := time.Minute
	recovered := lastFailure + outageSpacing
	r.RecordStoreFailure(lastFailure)
	r.ApplyList(recovered, TopicTargets, batch())
	assert.Equal(t, len(r.View().Targets), 2)
	r.ApplyChanges(recovered+time.Second, TopicTargets, batch(target("a", TargetReady)))
	graceEnd := recovered + drainTimeout - noticeTime(drainTimeout)
	due, _ := r.Expire(graceEnd - time.Millisecond)
	assert.Equal(t, due, graceEnd)
	assert.Equal(t, len(r.View().Targets), 2)
	_, gone := r.Expire(graceEnd)
	assert.Equal(t, len(gone), 1)
	assert.DeepEqual(t, ids(r.View()), map[string]TargetState{"a": TargetReady})
	assert.Assert(t, noticeTime(drainTimeout) > maxWatchPause(drainTimeout))
}

// Guards against a grace period that starts again with each failed call: a target whose
// entry is missing is dropped at the time that was set when its entry was found missing.
func TestLaterFailureDoesNotExtendTheGracePeriod(t *testing.T) {
	r := NewRegistry(drainTimeout)
	r.ApplyList(0, TopicTargets, batch(target("a", TargetReady)))
	lapsed := time.Minute
	r.RecordStoreFailure(lapsed - outageSpacing)
	r.ApplyChanges(lapsed, TopicTargets, batch(Change{Name: "a", Removed: true}))
	due, _ := r.Expire(lapsed)
	assert.Assert(t, due > lapsed)
	r.RecordStoreFailure(due - 2*time.Millisecond)
	r.ApplyChanges(due-time.Millisecond, TopicTargets, batch())
	r.Expire(due)
	assert.Equal(t, len(r.View().Targets), 0)
}

// A drain timeout that leaves no time for a grace period must not extend it.
func TestShortDrainTimeoutLeavesNoGracePeriod(t *testing.T) {
	r := NewRegistry(noticeSlack)
	r.ApplyList(0, TopicTargets, batch(target("a", TargetReady)))
	r.RecordStoreFailure(time.Minute - outageSpacing)
	r.ApplyList(time.Minute, TopicTargets, batch())
	assert.Equal(t, len(r.View().Targets), 0)
}

// Guards against a service without targets for as long as they need to register again: the
// entries of all targets lapse during an outage, which a gateway whose watch waits all the
// while does not notice. Targets do not leave a service all at once on purpose, but a single
// one may.
func TestEntriesThatLapseTogetherDoNotEmptyAService(t *testing.T) {
	both := batch(Change{Name: "a", Removed: true}, Change{Name: "b", Removed: true})
	for name, remove := range map[string]func(*Registry) []Decision{
		"watch": func(r *Registry) []Decision { return r.ApplyChanges(time.Minute, TopicTargets, both) },
		"list":  func(r *Registry) []Decision { return r.ApplyList(time.Minute, TopicTargets, batch()) },
	} {
		r := NewRegistry(drainTimeout)
		r.ApplyList(0, TopicTargets, batch(target("a", TargetReady), target("b", TargetReady)))
		decisions := remove(r)
		assert.Equal(t, len(decisions), 2, name)
		for _, d := range decisions {
			assert.Equal(t, d.Outcome, "lapsed", name)
		}
		assert.Equal(t, len(r.View().Targets), 2, name)
		r.Expire(time.Minute + drainTimeout - noticeTime(drainTimeout))
		assert.Equal(t, len(r.View().Targets), 0, name)
	}
	r := NewRegistry(drainTimeout)
	r.ApplyList(0, TopicTargets, batch(target("a", TargetReady), target("b", TargetLeaving)))
	r.ApplyChanges(time.Minute, TopicTargets, both)
	assert.Equal(t, len(r.View().Targets), 0, "one ready and one leaving target")
}

// A leaving target stays in the view while the store is unavailable, and is removed
// without a grace period once its entry is missing.
func TestLeavingTargetGetsNoGracePeriod(t *testing.T) {
	r := NewRegistry(drainTimeout)
	r.ApplyList(0, TopicTargets, batch(target("a", TargetLeaving)))
	r.RecordStoreFailure(time.Minute - outageSpacing)
	assert.DeepEqual(t, ids(r.View()), map[string]TargetState{"a": TargetLeaving})
	r.ApplyList(time.Minute, TopicTargets, batch())
	assert.Equal(t, len(r.View().Targets), 0)
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	r := NewRegistry(drainTimeout)
	r.ApplyChanges(0, TopicConfig, batch(Change{Name: "main", Config: &Config{Version: 7}}))
	r.ApplyChanges(1, TopicConfig, batch(Change{Name: "main", Config: &Config{Version: 4}}))
	r.ApplyList(2, TopicConfig, batch())
	assert.Equal(t, r.View().Config.Version, int64(7))
}

func TestEvacuationEndsWhenItsEntryIsRemoved(t *testing.T) {
	r := NewRegistry(drainTimeout)
	r.ApplyChanges(0, TopicEvacuations, batch(Change{Name: "z"}))
	assert.Assert(t, r.View().Evacuated["z"])
	r.ApplyList(1, TopicEvacuations, batch())
	assert.Assert(t, !r.View().Evacuated["z"])
}

func TestNotLoadedUntilEveryTopicIsRead(t *testing.T) {
	r := NewRegistry(drainTimeout)
	r.ApplyList(0, TopicConfig, batch(Change{Name: "main", Config: &Config{Version: 1}}))
	r.ApplyList(0, TopicTargets, batch())
	assert.Assert(t, !r.View().Loaded)
	r.ApplyList(0, TopicEvacuations, batch())
	assert.Assert(t, r.View().Loaded)
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	x := NewIndex(&Config{Routes: []Route{
		{Name: "short", Host: "H.example", PathPrefix: "/a/"},
		{Name: "long", Host: "h.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "o.example", PathPrefix: "/a/b/c/"},
	}})
	for path, want := range map[string]string{"/a/x": "short", "/a/b/c/d": "long", "/a/bc": "short"} {
		route, ok := x.Route("h.example:80", path)
		assert.Assert(t, ok)
		assert.Equal(t, route.Name, want)
	}
	_, ok := x.Route("h.example", "/b/")
	assert.Assert(t, !ok)
}

func TestSplitFollowsItsWeights(t *testing.T) {
	r := Route{Split: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}}
	count := map[string]int{}
	for i := range 1000 {
		count[r.PickService(float64(i)/1000)]++
	}
	assert.DeepEqual(t, count, map[string]int{"a": 900, "b": 100})
}
