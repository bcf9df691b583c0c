package priority

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = time.Second

func demand(arrivals ...float64) Levels {
	var l Levels
	for i, a := range arrivals {
		l = l.Add(i, Rates{Arrivals: a, Admissions: a})
	}
	return l
}

// Guards against a reserve that leaves less than half of the limit, and against one for levels
// that are not more important.
func TestReserveAndHeadroom(t *testing.T) {
	l := demand(100, 50, 900)
	for priority, want := range []struct{ reserve, headroom float64 }{{0, 40}, {50, 40}, {75, 0}, {100, 0}} {
		assert.Equal(t, math.Round(l.Reserve(priority, 200)), want.reserve, "priority %d", priority)
		assert.Equal(t, math.Round(l.Headroom(priority, 200)), want.headroom, "priority %d", priority)
	}
	assert.Equal(t, l.Headroom(0, 10_000), 475.0)
}

// Guards against a route that precedes a more important organisation, and against callers that
// return before new requests of their level or after those of the next one.
func TestOrderOfLevels(t *testing.T) {
	order := []int{
		LevelOf(0, 2, false), LevelOf(0, 2, true), LevelOf(1, 0, false), LevelOf(1, 0, true), LevelOf(1, 1, false),
		LevelOf(1, 255, true), LevelOf(2, 0, false), LevelOf(300, 300, true),
	}
	assert.Assert(t, slices.IsSorted(order), "%v", order)
	assert.Equal(t, LevelOf(300, -1, false), LevelOf(255, 0, false))
	assert.Equal(t, LevelName(LevelOf(1, 2, true)), "1.2-returning")
	assert.Assert(t, Returning(LevelOf(1, 2, true)) && !Returning(LevelOf(1, 2, false)))
}

// Guards against a level that is starved, and against one without requests that counts as such.
func TestDeprivedLevelHasNoReserve(t *testing.T) {
	l := Levels{{0, Rates{100, 100}}, {1, Rates{100, 26}}, {2, Rates{100, 50}}}
	assert.Assert(t, !l.Deprived(2))
	assert.Assert(t, !l.Deprived(3))
	assert.Assert(t, !l.Deprived(1)) // 0.26 of 0.587 is above 0.35
	l[1].Admissions = 14
	assert.Assert(t, l.Deprived(1))
	c := NewCheck(l, 1, 199, 200)
	assert.Assert(t, c.Admitted() && c.Reserve == 0)
	assert.Assert(t, !NewCheck(l, 2, 199, 200).Admitted())
	// It competes with the most important level, which may use the headroom as well.
	assert.Assert(t, NewCheck(l, 1, 239, 200).Admitted())
	assert.Assert(t, !NewCheck(l, 1, 240, 200).Admitted())
}

// Guards against rates that do not follow the requests, and against rates of a process that was
// suspended which are used as if no time had passed.
func TestRatesFollowTheRequestsAndDecay(t *testing.T) {
	var m Meter
	now := time.Duration(0)
	for ; now < 10*second; now += 10 * time.Millisecond {
		m.RecordArrival(now, 3)
		if now/(10*time.Millisecond)%4 == 0 {
			m.RecordAdmission(now, 3)
		}
	}
	r := m.Levels(now)[0].Rates
	assert.Assert(t, math.Abs(r.Arrivals-100) < 2 && math.Abs(r.Admissions-25) < 2, "%+v", r)
	r = m.Levels(now + 10*second)[0].Rates
	assert.Assert(t, r.Arrivals < 0.2, "%+v", r)
}

// Guards against levels without bound, of which most have no requests any more.
func TestNumberOfLevelsIsBounded(t *testing.T) {
	var m Meter
	for i := range 100 {
		m.RecordArrival(0, i)
		m.RecordRefusal(0, i)
	}
	assert.Equal(t, len(m.Levels(0)), maxLevels)
	m.RecordArrival(60*second, 99)
	assert.Equal(t, len(m.Levels(60*second)), 1)
}

// The times of refused callers follow the refused ones of their level and of more important ones,
// and callers that return no longer count. No time is longer than callers accept.
func TestRetryAfter(t *testing.T) {
	var m Meter
	_, ok := m.RetryAfter(0, 0, 9*second, 1)
	assert.Assert(t, !ok)
	now := time.Duration(0)
	for ; now < 10*second; now += 20 * time.Millisecond {
		m.RecordCompletion(now)
	}
	for range 50 {
		m.RecordRefusal(now, 2)
	}
	for range 100 {
		m.RecordRefusal(now, 4)
	}
	latest := func(priority int, left time.Duration) time.Duration {
		first, _ := m.RetryAfter(now, priority, left, 0)
		assert.Equal(t, first, min(MinRetryAfter, max(0, left/3)))
		after, ok := m.RetryAfter(now, priority, left, 1)
		assert.Assert(t, ok)
		return after.Round(100 * time.Millisecond)
	}
	assert.Equal(t, latest(0, 30*second), MinRetryAfter)
	assert.Equal(t, latest(2, 30*second), second)
	assert.Equal(t, latest(4, 30*second), 3*second)
	assert.Equal(t, latest(4, 6*second), 2*second)
	assert.Equal(t, latest(4, 900*time.Millisecond), 300*time.Millisecond)
	assert.Equal(t, latest(4, -second), time.Duration(0))
	for range 100 {
		m.RecordArrival(now, 5)
	}
	assert.Equal(t, latest(4, 30*second), second)
}

// Guards against unusable numbers of other gateways, and against sums that keep the rates of
// reports which are no longer valid.
func TestReportsOfOtherGateways(t *testing.T) {
	var reports []Report
	for i, rate := range []float64{-1, math.NaN(), math.Inf(1), 100_001, 100_000, 0.1} {
		reports = append(reports, Report{Service: 1, Priority: i, Rates: Rates{Arrivals: rate}}, Report{Service: 2, Priority: i, Rates: Rates{Admissions: rate}})
	}
	valid := ValidReports(reports)
	assert.Equal(t, len(valid), 4)
	assert.Equal(t, valid[len(valid)-1].Admissions, 0.0, "admissions without arrivals")
	for _, level := range []int{-1, maxLevel + 1, math.MaxInt} {
		assert.Equal(t, len(ValidReports([]Report{{Priority: level}})), 0, "level %d", level)
	}
	assert.Equal(t, len(ValidReports(make([]Report, 100))), MaxReports)
	var totals Totals
	for range 1000 {
		totals.Add(valid, 1)
	}
	assert.Equal(t, math.Round(totals.AddTo(nil, 1)[1].Arrivals), 100.0)
	for range 1000 {
		totals.Add(valid, -1)
	}
	assert.Equal(t, len(totals.services), 0)
}
