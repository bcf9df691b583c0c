package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newModelBalancer returns a balancer with a group of ranks of 10 slots whose pass takes three times
// as long with full slots as without requests.
func newModelBalancer(ranks int) *Balancer {
	targets := engineTargets(ranks, 10)
	for i := range targets {
		targets[i].StepTime, targets[i].StepTimePerRequest = 50*time.Millisecond, 10*time.Millisecond
	}
	b := New("g", "a", rand.New(rand.NewPCG(1, 2)))
	b.SetTargets(0, targets)
	for _, t := range targets {
		b.SetGroup(t.ID, "x")
	}
	return b
}

// newHalfFullBalancer returns a balancer with a group of 2 ranks that has had 10 requests since second.
func newHalfFullBalancer() *Balancer {
	b := newModelBalancer(2)
	for range 10 {
		_, _ = b.Choose(second, Request{Service: "s"})
	}
	return b
}

// passes records passes with the gaps for two streams, and returns the time of the last one.
func passes(b *Balancer, now time.Duration, gaps ...time.Duration) time.Duration {
	for _, gap := range gaps {
		now += gap
		b.RecordEvent(now, "t0", gap, 120*time.Millisecond)
		b.RecordEvent(now+5*time.Millisecond, "t1", gap, 120*time.Millisecond)
	}
	return now
}

func gapsOf(gap time.Duration, n int) []time.Duration {
	gaps := make([]time.Duration, n)
	for i := range gaps {
		gaps[i] = gap
	}
	return gaps
}

// The share follows the published times of a step: at a load of 0.5 a pass of 120 ms is to become one
// of 111.6 ms, which is the case at 50 + 100 u = 0.93 (50 + 100 x 0.5).
func TestModelSetsTheShareAtOnce(t *testing.T) {
	b := newHalfFullBalancer()
	now := passes(b, 3*second, gapsOf(120*time.Millisecond, 3)...)
	s := b.GroupShares(now)[0]
	assert.Assert(t, math.Abs(s.Share-minShare) < 1e-9, "%+v", s) // 0.43 is below the least share
	assert.Equal(t, s.LongestGap, 120*time.Millisecond)
	assert.Equal(t, s.Load, 0.5)
	// At 80 ms the share may be 0.895. It grows by a step each 250 ms, once the long passes are old.
	now = passes(b, now, gapsOf(80*time.Millisecond, 13)...)
	before := b.GroupShares(now)[0].Share
	now = passes(b, now, gapsOf(80*time.Millisecond, 13)...)
	grown := b.GroupShares(now)[0].Share - before
	assert.Assert(t, grown >= 0.05 && grown <= 0.09, "%.3f", grown)
	now = passes(b, now, gapsOf(80*time.Millisecond, 100)...)
	assert.Assert(t, math.Abs(b.GroupShares(now)[0].Share-0.895) < 1e-9)
}

// Guards against less work because of a pass that was held or a packet that was lost, also if the
// first pass that is seen is one, and against ignoring long passes that keep coming.
func TestModelIgnoresSinglePauses(t *testing.T) {
	const normal, held = 60 * time.Millisecond, 260 * time.Millisecond
	share := func(gaps ...time.Duration) float64 {
		b := newHalfFullBalancer()
		return b.GroupShares(passes(b, 3*second, gaps...))[0].Share
	}
	assert.Assert(t, share(append(gapsOf(normal, 30), held, normal, normal, held, normal)...) >= idleShare)
	assert.Assert(t, share(held, normal, normal, normal) >= idleShare)
	assert.Equal(t, share(append(gapsOf(normal, 30), 190*time.Millisecond, 190*time.Millisecond, 190*time.Millisecond)...), minShare)
}

// A gap that began before the end of a counted pause shows the same held pass, as with streams that
// get an event only every few passes.
func TestModelCountsAHeldPassOnce(t *testing.T) {
	b := newHalfFullBalancer()
	now := passes(b, 3*second, gapsOf(60*time.Millisecond, 30)...)
	for i := range 4 {
		b.RecordEvent(now+time.Duration(260+30*i)*time.Millisecond, "t0", 260*time.Millisecond, 120*time.Millisecond)
	}
	assert.Assert(t, b.GroupShares(now)[0].Share >= idleShare)
}

// A slow rank is no reason for less work. Without gaps the share must grow again: a gateway whose
// share forbids requests would see none for good.
func TestModelWithSlowRankOrWithoutGaps(t *testing.T) {
	b := newHalfFullBalancer()
	now := passes(b, 3*second, gapsOf(200*time.Millisecond, 20)...)
	assert.Equal(t, b.GroupShares(now)[0].Share, maxShare)

	b = newHalfFullBalancer()
	now = passes(b, 3*second, gapsOf(150*time.Millisecond, 20)...)
	assert.Equal(t, b.GroupShares(now + gapMaxAge)[0].Share, minShare)
	assert.Assert(t, math.Abs(b.GroupShares(now + gapMaxAge + second)[0].Share-0.58) < 1e-9)
	later := b.GroupShares(now + gapMaxAge + 10*second)[0]
	assert.Equal(t, later.Share, idleShare)
	assert.Equal(t, later.LongestGap, time.Duration(0))
}

// Targets without step times keep the former controller, and the model none of its state.
func TestGroupWithoutStepTimesHasNoModel(t *testing.T) {
	b := newGroupedBalancer(4, 10)
	passes(b, 3*second, gapsOf(119*time.Millisecond, 30)...)
	assert.Equal(t, len(b.GroupShares(second)), 0)
	assert.Assert(t, b.groups["x"].reduction > 0)
	assert.Equal(t, len(b.groups["x"].model.passes), 0)
}

// Guards against slots that stay unused because a count of a group's requests was not decreased when
// a request ended, its target restarted, or its group became known or changed.
func TestRequestsOfAGroupAreCountedOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	b := newModelBalancer(4)
	targets := engineTargets(4, 10)
	for i := range 2000 {
		id := fmt.Sprint("t", rng.IntN(4))
		switch now := time.Duration(i) * 10 * time.Millisecond; rng.IntN(6) {
		case 0, 1:
			_, _ = b.Choose(now, Request{Service: "s"})
		case 2, 3:
			b.RecordResult(now, id, Answered)
		case 4:
			b.SetGroup(id, []string{"", "x", "y"}[rng.IntN(3)])
		default:
			targets[rng.IntN(4)].Lifetime++
			b.SetTargets(now, targets[:2+rng.IntN(3)])
		}
		sums := map[string]int{}
		for _, s := range b.targets {
			sums[s.group] += s.inFlight
		}
		for name, g := range b.groups {
			assert.Equal(t, g.inFlight, sums[name], "step %d, group %s", i, name)
		}
	}
}

func BenchmarkRecordEvent(b *testing.B) {
	m := newModelBalancer(72)
	for i := range b.N {
		// A pass of 110 ms has 15 events.
		now := time.Duration(i/15)*110*time.Millisecond + time.Duration(i%15)*time.Millisecond
		m.RecordEvent(now, "t0", 110*time.Millisecond, 120*time.Millisecond)
	}
}

func BenchmarkChooseWithModel(b *testing.B) {
	m := newModelBalancer(72)
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		if c, refusal := m.Choose(now, Request{Service: "s"}); refusal == NotRefused {
			m.RecordResult(now, c.Target.ID, Answered)
		}
	}
}
