package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = time.Second

func engineTargets(n, slots int) []Target {
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{
			ID: fmt.Sprintf("t%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i+1), AvailabilityZone: "a",
			Slots: slots, Accepting: true, Lockstep: true,
		}
	}
	return targets
}

func newBalancer(targets []Target) *Balancer {
	b := New("g", "a", rand.New(rand.NewPCG(1, 2)))
	b.SetTargets(0, targets)
	return b
}

// newGroupedBalancer returns a balancer with the first half of n targets in group x and
// the others in group y.
func newGroupedBalancer(n, slots int) *Balancer {
	b := newBalancer(engineTargets(n, slots))
	for i := range n {
		b.SetGroup(fmt.Sprintf("t%d", i), map[bool]string{true: "x", false: "y"}[i < n/2])
	}
	return b
}

// An overload of requests to one service fills all targets evenly; requests beyond the
// slots and a short queue are refused.
func TestOverloadFillsTargetsEvenlyAndRefusesTheRest(t *testing.T) {
	b := newBalancer(engineTargets(4, 12))
	count := map[string]int{}
	refused := 0
	for range 100 {
		c, refusal := b.Choose(second, Request{Service: "s"})
		if refusal == Full {
			refused++
			continue
		}
		count[c.Target.ID]++
	}
	assert.Equal(t, refused, 100-4*15)
	for id, n := range count {
		assert.Equal(t, n, 15, id)
	}
}

// The work of another gateway counts as long as its report is recent.
func TestWorkOfOtherGatewaysCounts(t *testing.T) {
	b := newBalancer(engineTargets(2, 12))
	b.HandlePeerReport(second, "g2", map[uint32]int{TargetKey("t0"): 9})
	for range 8 {
		c, _ := b.Choose(second, Request{Service: "s"})
		assert.Equal(t, c.Target.ID, "t1")
	}
	c, _ := b.Choose(3*second, Request{Service: "s"})
	assert.Equal(t, c.Target.ID, "t0")
}

// Many gateways may see the same idle cold target; each stays within its share of starts
// in any second. This one is alone.
func TestStartsWithinAnySecondAreBounded(t *testing.T) {
	targets := engineTargets(1, 100)
	targets[0].StartRate = 5
	b := newBalancer(targets)
	b.AddMembers(0, nil)
	var starts []time.Duration
	for now := time.Duration(0); now < 10*second; now += 37 * time.Millisecond {
		c, refusal := b.Choose(now, Request{Service: "s"})
		if refusal != NotRefused {
			continue
		}
		starts = append(starts, now)
		b.RecordResult(now, c.Target.ID, Answered)
		n := 0
		for _, s := range starts {
			if now-s < second {
				n++
			}
		}
		assert.Assert(t, n <= 5, "%d starts in the second before %v", n, now)
	}
	assert.Assert(t, len(starts) >= 45)
}

// Guards against a bound on starts that is not applied if it is higher than the number of
// start times that are kept.
func TestHighStartRatesAreBounded(t *testing.T) {
	const rate = 200
	targets := engineTargets(1, 10*rate)
	targets[0].StartRate = rate
	b := newBalancer(targets)
	b.AddMembers(0, nil)
	started := 0
	for range 2 * rate {
		if _, refusal := b.Choose(second, Request{Service: "s"}); refusal == NotRefused {
			started++
		}
	}
	assert.Equal(t, started, rate)
	_, refusal := b.Choose(2*second, Request{Service: "s"})
	assert.Equal(t, refusal, NotRefused)
}

// Guards against a group that counts as stalled for good: a rank leaves the set of targets
// while it still produces streams, and the end of these streams must be counted.
func TestStreamsOfARemovedTargetDoNotStallItsGroup(t *testing.T) {
	all := engineTargets(2, 12)
	for name, later := range map[string][]Target{"stays removed": all[:1], "returns": all} {
		b := newBalancer(all)
		for _, id := range []string{"t0", "t1"} {
			b.SetGroup(id, "x")
		}
		_, refusal := b.Choose(0, Request{Service: "s", Tried: []string{"t0"}})
		assert.Equal(t, refusal, NotRefused)
		b.AddActiveStreams(0, "t1", 1)
		b.SetTargets(0, all[:1])
		assert.Assert(t, b.IsStalled(2*second, "t0"), "%s: t1 still has a stream", name)
		b.SetTargets(0, later)
		b.AddActiveStreams(3*second, "t1", -1)
		b.RecordResult(3*second, "t1", Inconclusive)
		assert.Assert(t, !b.IsStalled(10*second, "t0"), name)
		assert.Equal(t, len(b.targets), len(later), name)
		_, refusal = b.Choose(10*second, Request{Service: "s", Tried: []string{"t1"}})
		assert.Equal(t, refusal, NotRefused, name)
	}
}

// The loss of a rank stalls its whole group. New and moving requests go to other groups
// once the stall is detected, and the group is used again from its next event.
func TestStalledGroupGetsNoWorkUntilItsNextEvent(t *testing.T) {
	b := newGroupedBalancer(4, 12)
	for i := range 4 {
		b.AddActiveStreams(0, fmt.Sprintf("t%d", i), 1)
	}
	now := time.Duration(0)
	for range 10 {
		now += 80 * time.Millisecond
		b.RecordEvent(now, "t2", 80*time.Millisecond, 0)
		b.RecordEvent(now, "t3", 80*time.Millisecond, 0)
	}
	assert.Assert(t, b.IsStalled(now, "t0"))
	for range 10 {
		c, refusal := b.Choose(now, Request{Service: "s"})
		assert.Equal(t, refusal, NotRefused)
		assert.Equal(t, b.Group(c.Target.ID), "y")
	}
	b.RecordEvent(now, "t1", 0, 0)
	assert.Assert(t, !b.IsStalled(now, "t0"))
	assert.Assert(t, b.HasOtherTarget(now, "s", []string{"t2", "t3"}))
}

// A slow group is used only when the other one is full.
func TestSlowGroupIsUsedLast(t *testing.T) {
	b := newGroupedBalancer(4, 12)
	now := second
	for range 60 {
		now += 20 * time.Millisecond
		b.RecordEvent(now, "t0", 200*time.Millisecond, 0)
		b.RecordEvent(now, "t2", 60*time.Millisecond, 0)
	}
	r := Request{Service: "s", EventGap: 120 * time.Millisecond}
	for range 24 {
		c, _ := b.Choose(now, r)
		assert.Equal(t, b.Group(c.Target.ID), "y")
	}
	groups := map[string]int{}
	for range 12 {
		c, refusal := b.Choose(now, r)
		assert.Equal(t, refusal, NotRefused)
		groups[b.Group(c.Target.ID)]++
	}
	assert.Assert(t, groups["x"] >= 5, "%v", groups)
}

// Regular long gaps are not a stall: the stall timeout grows with the group's mean gap.
func TestLongGapsAreNotAStall(t *testing.T) {
	b := newGroupedBalancer(2, 12)
	b.AddActiveStreams(0, "t0", 1)
	now := time.Duration(0)
	for range 20 {
		now += 240 * time.Millisecond
		assert.Assert(t, b.RecordEvent(now, "t0", 240*time.Millisecond, 0) >= 500*time.Millisecond)
	}
	assert.Assert(t, !b.IsStalled(now+700*time.Millisecond, "t0"))
	assert.Assert(t, b.IsStalled(now+maxStallTimeout, "t0"))
}

// A group that refuses work although it has free slots gets none for a while, longer
// after each refusal, and is used again at once after an event.
func TestRefusingGroupGetsNoWorkForAWhile(t *testing.T) {
	b := newGroupedBalancer(2, 12)
	c, _ := b.Choose(0, Request{Service: "s", Tried: []string{"t1"}})
	assert.Equal(t, c.Target.ID, "t0")
	b.RecordResult(0, "t0", Refused)
	_, refusal := b.Choose(minDownTime/2, Request{Service: "s", Tried: []string{"t1"}})
	assert.Equal(t, refusal, GroupDown)
	_, refusal = b.Choose(minDownTime, Request{Service: "s", Tried: []string{"t1"}})
	assert.Equal(t, refusal, NotRefused)
	b.RecordResult(minDownTime, "t0", Refused)
	_, refusal = b.Choose(2*minDownTime, Request{Service: "s", Tried: []string{"t1"}})
	assert.Equal(t, refusal, GroupDown)
	b.RecordEvent(2*minDownTime, "t0", 0, 0)
	_, refusal = b.Choose(2*minDownTime, Request{Service: "s", Tried: []string{"t1"}})
	assert.Equal(t, refusal, NotRefused)
}

// A target that fails some of its requests gets fewer, but is never excluded: failures
// misdetected under load must not leave a service without targets.
func TestFailuresRaiseCostButNeverExcludeTargets(t *testing.T) {
	targets := engineTargets(3, 6)
	for i := range targets {
		targets[i].Lockstep = false
	}
	b := newBalancer(targets)
	now := time.Duration(0)
	count := map[string]int{}
	for range 300 {
		now += 50 * time.Millisecond
		c, refusal := b.Choose(now, Request{Service: "s"})
		assert.Equal(t, refusal, NotRefused)
		count[c.Target.ID]++
		result := Answered
		if c.Target.ID == "t0" {
			result = Failed
		}
		b.RecordResult(now, c.Target.ID, result)
	}
	assert.Assert(t, count["t0"] < 40, "%v", count)
	for range 300 {
		c, _ := b.Choose(now, Request{Service: "s"})
		b.RecordResult(now, c.Target.ID, Failed)
	}
	_, refusal := b.Choose(now, Request{Service: "s"})
	assert.Equal(t, refusal, NotRefused)
}

func TestUnreachableTargetIsRetriedAfterGrowingBlocks(t *testing.T) {
	b := newBalancer(engineTargets(1, 4))
	_, _ = b.Choose(0, Request{Service: "s"})
	b.RecordResult(0, "t0", ConnectFailed)
	_, refusal := b.Choose(minBlockTime-1, Request{Service: "s"})
	assert.Equal(t, refusal, Unreachable)
	_, refusal = b.Choose(minBlockTime, Request{Service: "s"})
	assert.Equal(t, refusal, NotRefused)
	b.RecordResult(minBlockTime, "t0", ConnectFailed)
	_, refusal = b.Choose(minBlockTime+2*minBlockTime-1, Request{Service: "s"})
	assert.Equal(t, refusal, Unreachable)
}

// A target gets no requests once another target has its address, until its entry is
// replaced.
func TestReplacedTargetIsBlocked(t *testing.T) {
	b := newBalancer(engineTargets(1, 4))
	_, _ = b.Choose(0, Request{Service: "s"})
	b.RecordResult(0, "t0", Replaced)
	_, refusal := b.Choose(replacedBlockTime-1, Request{Service: "s"})
	assert.Equal(t, refusal, Unreachable)
}

func TestLeavingAndUnknownTargetsGetNoWork(t *testing.T) {
	targets := engineTargets(1, 4)
	targets[0].Accepting = false
	b := newBalancer(targets)
	_, refusal := b.Choose(0, Request{Service: "s"})
	assert.Equal(t, refusal, NoTarget)
	_, refusal = b.Choose(0, Request{Service: "other"})
	assert.Equal(t, refusal, NoTarget)
}

// Many gateways that see the same idle target must not all choose it before they receive
// each other's next report.
func TestGatewaysDoNotAllChooseTheLeastLoadedTarget(t *testing.T) {
	const gateways, targets = 40, 64
	work := map[uint32]int{}
	for i := 1; i < targets; i++ {
		work[TargetKey(fmt.Sprintf("t%d", i))] = 6
	}
	onLeastLoaded := 0
	for g := range gateways {
		b := New("g", "a", rand.New(rand.NewPCG(uint64(g), 7)))
		b.SetTargets(0, engineTargets(targets, 10))
		b.HandlePeerReport(second, "others", work)
		c, refusal := b.Choose(second, Request{Service: "s"})
		assert.Equal(t, refusal, NotRefused)
		if c.Target.ID == "t0" {
			onLeastLoaded++
		}
	}
	assert.Assert(t, onLeastLoaded <= 10, "%d of %d requests went to one target with 10 slots", onLeastLoaded, gateways)
}

// While passes take nearly as long as the objective for the gap between events, the group
// gets less work, so that its current streams stay within the objective. When passes are
// short again the share grows back slowly. A rank that is slow at any load does not reduce
// the share.
func TestLongPassesReduceAGroupsShare(t *testing.T) {
	const objective = 120 * time.Millisecond
	admitted := func(b *Balancer, now time.Duration) int {
		n := 0
		for {
			if _, refusal := b.Choose(now, Request{Service: "s"}); refusal != NotRefused {
				return n
			}
			n++
		}
	}
	runPasses := func(b *Balancer, now time.Duration, gap time.Duration, passes int) time.Duration {
		for range passes {
			now += gap
			b.RecordEvent(now, "t0", gap, objective)
			for _, id := range []string{"t1", "t2", "t3"} {
				b.HandleGroupReport(now, id, b.Group(id), 1, true)
			}
		}
		return now
	}
	b := newGroupedBalancer(4, 10)
	now := runPasses(b, second, 100*time.Millisecond, 20)
	assert.Assert(t, admitted(b, now) >= 40)

	b = newGroupedBalancer(4, 10)
	b.SetGroup("t2", "x")
	b.SetGroup("t3", "x")
	now = runPasses(b, second, 118*time.Millisecond, 40)
	n := admitted(b, now)
	assert.Assert(t, n >= 20 && n <= 24, "%d requests for 40 slots", n)
	now = runPasses(b, now, 60*time.Millisecond, 20)
	assert.Assert(t, admitted(b, now) < 10) // the share grows only a little within 1.2 s
	now = runPasses(b, now, 60*time.Millisecond, 400)
	assert.Assert(t, n+admitted(b, now) >= 35)

	b = newGroupedBalancer(4, 10)
	now = runPasses(b, second, 300*time.Millisecond, 40)
	assert.Assert(t, admitted(b, now) >= 40)
}

// Guards against work for a target that has said that it leaves, and against a target that gets
// none after it has started again under its id.
func TestLeavingTargetIsUsedAgainOnlyInAnotherLifetime(t *testing.T) {
	targets := engineTargets(1, 4)
	targets[0].Lifetime = 7
	b := newBalancer(targets)
	assert.Assert(t, b.HandleLeaving("t0"))
	assert.Assert(t, !b.HandleLeaving("t0"))
	chosen := func(lifetime int64) Refusal {
		targets[0].Lifetime = lifetime
		b.SetTargets(0, targets)
		_, refusal := b.Choose(second, Request{Service: "s"})
		return refusal
	}
	assert.Equal(t, chosen(7), NoTarget)
	assert.Equal(t, chosen(0), NoTarget)
	assert.Equal(t, chosen(7), NoTarget)
	assert.Equal(t, chosen(8), NotRefused)
}

// A target's pause ends in time, is not shortened by a later one, and has an upper bound.
func TestPausedTargetGetsNothing(t *testing.T) {
	b := newBalancer(engineTargets(1, 4))
	refusal := func(at time.Duration) Refusal {
		_, r := b.Choose(at, Request{Service: "s"})
		if r == NotRefused {
			b.RecordResult(at, "t0", Answered)
		}
		return r
	}
	b.HandlePause(10*second, "t0", 3*second)
	b.HandlePause(11*second, "t0", second)
	assert.Equal(t, refusal(12900*time.Millisecond), Full)
	assert.Equal(t, refusal(13*second), NotRefused)
	b.HandlePause(20*second, "t0", 1000*time.Hour)
	assert.Equal(t, refusal(20*second+maxPause), NotRefused)
}
