package answertime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestNothingIsUsualWithoutAnswers guards against a route whose requests are judged although nothing is known.
func TestNothingIsUsualWithoutAnswers(t *testing.T) {
	var r Route
	_, known := r.Usual(time.Hour)
	assert.Check(t, !known)
	r.Record(time.Hour, time.Second)
	_, known = r.Usual(time.Hour + span)
	assert.Check(t, known)
	_, known = r.Usual(time.Hour + 3*span)
	assert.Check(t, !known, "what was learnt long ago counts")
}

// TestUsualIsNotTheExtreme guards against a single answer that stands for all, and against a tail of one in ten
// that is taken for rare.
func TestUsualIsNotTheExtreme(t *testing.T) {
	for slow, want := range map[int]time.Duration{4: 100 * time.Millisecond, 10: 4 * time.Second} {
		var r Route
		for i := range 100 {
			took := 100 * time.Millisecond
			if i < slow {
				took = 4 * time.Second
			}
			r.Record(time.Duration(i)*time.Millisecond, took)
		}
		got, known := r.Usual(time.Second)
		assert.Check(t, known && got >= want && got < want*11/10, "%d slow: %v", slow, got)
	}
}

// TestUsualFollowsTheRecentAnswers guards against a route that stays slow after its answers have become fast.
func TestUsualFollowsTheRecentAnswers(t *testing.T) {
	var r Route
	for at := time.Duration(0); at < 4*span; at += span / 100 {
		took := 4 * time.Second
		if at >= 2*span {
			took = 100 * time.Millisecond
		}
		r.Record(at, took)
	}
	got, _ := r.Usual(4 * span)
	assert.Check(t, got < 110*time.Millisecond, "%v", got)
}

// TestUsualIsAmongTheDurations guards against a usual duration that is longer than all answers or much shorter,
// or that nearly none of them has kept to.
func TestUsualIsAmongTheDurations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Route
		took := rapid.SliceOfN(rapid.Int64Range(int64(time.Millisecond), int64(time.Hour)), 1, 100).Draw(t, "took")
		for i, d := range took {
			r.Record(time.Duration(i), time.Duration(d))
		}
		usual, known := r.Usual(time.Duration(len(took)))
		assert.Assert(t, known)
		longest, within := time.Duration(0), 0
		for _, d := range took {
			longest = max(longest, time.Duration(d))
			if time.Duration(d) <= usual {
				within++
			}
		}
		assert.Assert(t, usual < longest*11/10, "%v", usual)
		assert.Assert(t, float64(within) >= quantile*float64(len(took)))
	})
}
