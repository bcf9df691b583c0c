// Package warmup determines how many requests a target may run at once while it
// warms up and afterwards.
//
// A Limiter starts at the pool's cold limit and raises the limit in steps up to the
// pool's limit. It takes a step only after enough requests have completed, and
// keeps it only if an epoch of requests that ran at the new limit was about as fast
// as before. Otherwise it takes the step back and waits for more completions. The
// number of completions between steps is derived from the number that the last
// steps needed, so that a target that warms up slowly is probed slowly. Time alone
// never raises the limit. A new engine start, a reported cold state, a failed
// request, or latency far above the target's usual latency resets the limit to the
// cold limit.
//
// While the engine reports that it is cold, the limit stays at the cold limit,
// unless ProbeWhileCold is set. A Limiter depends on visible signs: a target whose
// latency does not rise before it fails, and which does not report that it is cold,
// is safe only up to its cold limit.
package warmup

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Config contains the settings of a Limiter.
type Config struct {
	// Limit is the maximum number of requests that a warm target runs concurrently.
	Limit int
	// ColdLimit is the maximum number of requests that a target runs concurrently
	// right after its start.
	ColdLimit int
	// ProbeWhileCold allows the limit to rise while the engine still reports that it
	// is cold. This is safe only for engines whose latency rises before they fail
	// under load.
	ProbeWhileCold bool
}

const (
	// growthDivisor determines the size of a step: limit/growthDivisor, but at least
	// one request.
	growthDivisor = 16
	// firstStepCompletions is the number of completions before the first step after a
	// reset, and the minimum number of further completions after a step back.
	firstStepCompletions = 8
	// minStepCompletions is the minimum number of completions between two steps.
	minStepCompletions = 4
	// maxStepCompletions is the maximum number of completions between two steps.
	maxStepCompletions = 96
	// completionsGain is the ratio of the completions that the next step waits for to
	// the completions that the last step needed.
	completionsGain = 0.75
	// smallLimit is the limit below which a single step may cross the whole range
	// between the first sign of overload and failure. Below it, each step therefore
	// waits for its completions and for a second good epoch.
	smallLimit = 6
	// checkPercent is the percentage of the limit that a check lowers it to.
	checkPercent = 75
	// checkOverloadRatio is the ratio of the latency at a limit to the latency at the
	// lowered limit of a check above which the limit counts as overloaded.
	checkOverloadRatio = 1.25
	// slowRatio is the ratio to the usual latency from which an observation counts as slow.
	slowRatio = 3.0
	// slowDeviations is the same threshold in standard deviations; the larger of the
	// two thresholds applies.
	slowDeviations = 2.5
	// slowInRow is the number of consecutive slow observations after which a target
	// counts as cold.
	slowInRow = 3
)

// Sample describes one completed request.
type Sample struct {
	// StartedAt is the time at which the request was sent to the target.
	StartedAt time.Duration
	// Running is the number of requests that ran just after the start, including this one.
	Running int
	// ServiceTime is the time that the target took.
	ServiceTime time.Duration
	// Work is the size of the request in any unit, for example generated tokens.
	// Latency is compared per unit of work. Zero means one unit.
	Work float64
	// OK is false if the target failed: reset, unreachable, or overloaded.
	OK bool
}

// latency returns the service time in seconds per unit of work.
func (s Sample) latency() float64 {
	if s.Work <= 0 {
		return s.ServiceTime.Seconds()
	}
	return s.ServiceTime.Seconds() / s.Work
}

// Limiter determines the limit of one target. It is not safe for concurrent use.
type Limiter struct {
	cfg   Config
	limit int
	// confirmed is the highest limit that an epoch has found good.
	confirmed int
	// completionsSinceConfirmed is the number of completions since confirmed last changed.
	completionsSinceConfirmed int
	// completionsSinceStep is the number of completions since the last step up.
	completionsSinceStep int
	// limitIsGood is true if the current limit was found good.
	limitIsGood bool
	// stepFailed is true if a step was taken back since confirmed last changed.
	stepFailed bool
	// checking is true while the limit is lowered to check checkedLimit, at which the
	// mean logarithm of latencies was checkedMean.
	checking     bool
	checkedLimit int
	checkedMean  float64
	// nextStepAfter is the value of completionsSinceConfirmed from which the next step
	// is taken.
	nextStepAfter int
	// startID identifies the engine start in the last report that had one; zero
	// before that.
	startID uint64
	// cold is the engine's last reported cold state.
	cold bool
	// epoch contains the requests that ran at the current limit.
	epoch epoch
	// latency contains the statistics of the target's latency.
	latency latencyStats
	// slow and slowSteps count consecutive slow requests and slow steps of requests.
	slow, slowSteps streak
}

// New returns a Limiter at the cold limit.
func New(cfg Config) *Limiter {
	l := &Limiter{}
	l.Configure(cfg)
	l.resetToCold(0)
	return l
}

// Configure changes the settings. A lowered limit takes effect immediately; a raised
// one is reached in steps.
func (l *Limiter) Configure(cfg Config) {
	cfg.Limit = max(cfg.Limit, 1)
	cfg.ColdLimit = min(max(cfg.ColdLimit, 1), cfg.Limit)
	l.cfg = cfg
	l.limit = min(max(l.limit, cfg.ColdLimit), cfg.Limit)
	l.confirmed = min(max(l.confirmed, cfg.ColdLimit), cfg.Limit)
}

// Limit returns the maximum number of requests that the target may run concurrently.
func (l *Limiter) Limit() int { return l.limit }

// State returns TargetCold while the limit is at the cold limit and the cold limit
// is below the pool's limit, and TargetWarm otherwise.
func (l *Limiter) State() message.TargetState {
	if l.limit <= l.cfg.ColdLimit && l.cfg.ColdLimit < l.cfg.Limit {
		return message.TargetCold
	}
	return message.TargetWarm
}

// HandleReport handles a report of the engine, which may be delayed. A start id
// other than the last one, or a change to cold, resets the limit; HandleReport
// returns true in that case. A change from cold to warm of the same start ends the
// warm-up, because the engine has the best information. A report of warm that does
// not follow a report of cold has no effect, because it may be older than a reset.
func (l *Limiter) HandleReport(now time.Duration, startID uint64, cold bool) bool {
	restarted := startID != 0 && l.startID != 0 && startID != l.startID
	becameCold := cold && !l.cold
	becameWarm := !cold && l.cold && !restarted
	if startID != 0 {
		l.startID = startID
	}
	if becameWarm {
		l.endWarmUp(now)
	}
	l.cold = cold
	if !restarted && !becameCold {
		return false
	}
	l.resetToCold(now)
	return true
}

// HandleCompletion handles a completed request and returns true if the limit was
// lowered.
func (l *Limiter) HandleCompletion(now time.Duration, s Sample) bool {
	if !s.OK || l.isSlow(s) {
		l.resetToCold(now)
		return true
	}
	l.completionsSinceConfirmed++
	l.completionsSinceStep++
	l.latency.add(s.latency())
	if l.limit >= smallLimit {
		l.stepUp(now)
	}
	if s.StartedAt < l.epoch.start || s.Running < l.limit {
		return false
	}
	l.epoch.add(s.latency())
	if l.epoch.samples < l.latency.samplesNeeded() {
		return false
	}
	return l.endEpoch(now)
}

// HandleProgress handles the latency of one step of a running request, given as the
// ratio to the target's usual latency of the step, for example the gap between two
// tokens divided by the usual gap. It thereby detects that a target has turned cold
// before any request completes. It returns true if the limit was lowered.
func (l *Limiter) HandleProgress(now time.Duration, ratio float64) bool {
	if l.limit == l.cfg.ColdLimit || !l.slowSteps.add(ratio >= slowRatio) {
		return false
	}
	l.resetToCold(now)
	return true
}

// isSlow reports whether s completes a series of slowInRow consecutive slow
// requests. At the cold limit it is always false, because the limit cannot be
// lowered further.
func (l *Limiter) isSlow(s Sample) bool {
	if l.limit == l.cfg.ColdLimit {
		return false
	}
	return l.slow.add(l.latency.isOutlier(s.latency()))
}

// streak is the number of consecutive slow observations.
type streak int

// add counts an observation and returns true once slowInRow or more consecutive
// observations were slow.
func (n *streak) add(slow bool) bool {
	if !slow {
		*n = 0
		return false
	}
	*n++
	return *n >= slowInRow
}

// endWarmUp raises the limit to the pool's limit after the engine has reported that
// it is warm.
func (l *Limiter) endWarmUp(now time.Duration) {
	l.limit, l.confirmed = l.cfg.Limit, l.cfg.Limit
	l.limitIsGood, l.stepFailed, l.checking = true, false, false
	l.completionsSinceConfirmed, l.completionsSinceStep = 0, 0
	l.epoch = epoch{start: now}
	l.latency.resetLevel()
}

// resetToCold resets the limit to the cold limit. After a step that was not
// confirmed yet, the completions so far still count towards those that the next
// step needs.
func (l *Limiter) resetToCold(now time.Duration) {
	probing := l.limit > l.confirmed
	l.limit, l.confirmed = l.cfg.ColdLimit, l.cfg.ColdLimit
	l.limitIsGood, l.stepFailed, l.checking = false, probing, false
	if !probing {
		l.completionsSinceConfirmed = 0
	}
	l.nextStepAfter = l.completionsSinceConfirmed + max(l.completionsSinceConfirmed/4, firstStepCompletions)
	l.epoch = epoch{start: now}
	l.latency.resetLevel()
	l.slow, l.slowSteps = 0, 0
}
