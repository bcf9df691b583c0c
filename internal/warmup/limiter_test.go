package warmup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

var testConfig = Config{Limit: 16, ColdLimit: 2, ProbeWhileCold: true}

// completeRequests completes n requests of the same latency, one second apart, each
// of them started while the limit was fully used.
func completeRequests(l *Limiter, now *time.Duration, n int, latency time.Duration) {
	for range n {
		*now += time.Second
		l.HandleCompletion(*now, Sample{StartedAt: *now, Running: l.Limit(), ServiceTime: latency, OK: true})
	}
}

func newWarmLimiter(t *testing.T) (*Limiter, *time.Duration) {
	l, now := New(testConfig), new(time.Duration)
	l.HandleReport(0, 1, true)
	l.HandleReport(0, 1, false)
	completeRequests(l, now, 1000, time.Second)
	assert.Equal(t, l.Limit(), testConfig.Limit)
	assert.Equal(t, l.State(), message.TargetWarm)
	return l, now
}

func TestLimitNeedsCompletedWorkAtFullUse(t *testing.T) {
	l := New(testConfig)
	for i := range 1000 {
		now := time.Duration(i) * time.Minute
		l.HandleReport(now, 1, false)
		l.HandleCompletion(now, Sample{StartedAt: now, Running: 1, ServiceTime: time.Second, OK: true})
	}
	assert.Equal(t, l.Limit(), testConfig.ColdLimit, "the limit must not rise for a target that was never fully used")
	assert.Equal(t, l.State(), message.TargetCold)
}

func TestLimitStepsBackUnderOverload(t *testing.T) {
	l, now := New(testConfig), new(time.Duration)
	highest := 0
	for range 2000 {
		latency := time.Second
		if l.Limit() > 6 {
			latency = 1500 * time.Millisecond
		}
		completeRequests(l, now, 1, latency)
		highest = max(highest, l.Limit())
	}
	assert.Equal(t, highest, 7, "the limit must rise at most one step beyond the first overload")
}

func TestLimitDropsToColdLimit(t *testing.T) {
	causes := []struct {
		name string
		fail func(l *Limiter, now time.Duration)
	}{
		{"failed request", func(l *Limiter, now time.Duration) { l.HandleCompletion(now, Sample{}) }},
		{"new engine start", func(l *Limiter, now time.Duration) { l.HandleReport(now, 2, false) }},
		{"reported cold", func(l *Limiter, now time.Duration) { l.HandleReport(now, 1, true) }},
		{"slow requests", func(l *Limiter, now time.Duration) { completeRequests(l, &now, slowInRow, 4*time.Second) }},
		{"slow steps", func(l *Limiter, now time.Duration) {
			for range slowInRow {
				l.HandleProgress(now, 4)
			}
		}},
	}
	for _, cause := range causes {
		t.Run(cause.name, func(t *testing.T) {
			l, now := newWarmLimiter(t)
			cause.fail(l, *now)
			assert.Equal(t, l.Limit(), testConfig.ColdLimit)
			completeRequests(l, now, 1000, time.Second)
			assert.Equal(t, l.Limit(), testConfig.Limit, "the limit must rise again after the reset")
		})
	}
}

func TestLastingChangeOfWorkloadIsLearned(t *testing.T) {
	l, now := newWarmLimiter(t)
	completeRequests(l, now, 2000, 10*time.Second)
	assert.Equal(t, l.Limit(), testConfig.Limit)
}

func TestLimitIsHeldWhileTheEngineReportsCold(t *testing.T) {
	l := New(Config{Limit: 16, ColdLimit: 2})
	finish := func(n int) {
		for range n {
			l.HandleCompletion(0, Sample{Running: l.Limit(), ServiceTime: time.Second, OK: true})
		}
	}
	l.HandleReport(0, 1, true)
	finish(200)
	assert.Equal(t, l.Limit(), 2)
	l.HandleReport(0, 1, false)
	finish(2000)
	assert.Equal(t, l.Limit(), 16)
}

// TestReportOfWarmAfterColdEndsWarmUp checks that only a change from cold to warm of
// the same start raises the limit. A report of warm that may be older than a reset
// must not raise it.
func TestReportOfWarmAfterColdEndsWarmUp(t *testing.T) {
	l := New(Config{Limit: 16, ColdLimit: 2})
	l.HandleReport(0, 1, false)
	assert.Equal(t, l.Limit(), 2, "a first report of warm must not raise the limit")
	l.HandleReport(0, 1, true)
	l.HandleReport(0, 1, false)
	assert.Equal(t, l.Limit(), 16)
	l.HandleCompletion(0, Sample{Running: 16, ServiceTime: time.Second})
	assert.Equal(t, l.Limit(), 2, "a failure resets the limit")
	l.HandleReport(0, 1, false)
	assert.Equal(t, l.Limit(), 2, "the report may be older than the failure")
	l.HandleReport(0, 1, true)
	l.HandleReport(0, 2, false)
	assert.Equal(t, l.Limit(), 2, "another start begins at the cold limit")
}
