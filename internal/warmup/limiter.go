// Package warmup decides how many requests a target may run at once.
//
// A Limiter starts at the pool's cold limit and probes its way up to the pool's
// limit. It steps up only after enough requests have completed, and keeps the
// step only if an epoch of requests that ran at the new limit was about as fast
// as before; otherwise it steps back and waits for more completions. The number
// of completions between steps follows what the last steps needed, so that a
// target that warms slowly is probed slowly. Time alone never raises the limit. A
// new engine start, a reported cold state, a failed request, or latency far above
// the target's own puts it back to the cold limit.
//
// While the engine reports itself cold, the limit stays at the cold limit, unless
// ProbeWhileCold is set. What a Limiter cannot see, it cannot avoid: a target that
// gives no sign of strain before it fails, and does not report itself cold, is safe
// only up to its cold limit.
package warmup

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Config bounds a Limiter.
type Config struct {
	// Limit is the most requests that a warm target runs at once.
	Limit int
	// ColdLimit is the most requests that a target runs at once just after its start.
	ColdLimit int
	// ProbeWhileCold lets the limit grow while the engine still reports itself cold.
	// It is safe only for engines whose latency shows strain before they fail.
	ProbeWhileCold bool
}

const (
	// growthDivisor sets a step's size: limit/growthDivisor, at least one request.
	growthDivisor = 16
	// firstPace is the number of completions before the first step.
	firstPace = 8
	// minPace is the least number of completions between two steps.
	minPace = 4
	// maxPace bounds the completions between two steps.
	maxPace = 96
	// paceGain scales what the last step needed into what the next one waits for.
	paceGain = 0.75
	// smallLimit is the limit below which one step may pass over the whole range
	// between the first strain and failure, so that each step waits for its pace
	// and for a second good epoch.
	smallLimit = 6
	// checkShare is the share of the limit, in percent, that a check lowers it to.
	checkShare = 75
	// contrastRatio is the latency, against that at checkShare, from which a limit is strained.
	contrastRatio = 1.25
	// slowRatio is the latency, against the usual, from which one observation counts as slow.
	slowRatio = 3.0
	// slowDeviations is the same in standard deviations; the larger of both counts.
	slowDeviations = 2.5
	// slowInRow is the number of slow observations in a row that mark a cold target.
	slowInRow = 3
)

// Sample describes one completed request.
type Sample struct {
	// StartedAt is when the request was given to the target.
	StartedAt time.Duration
	// Running is the number of requests that ran just after the start, this one included.
	Running int
	// ServiceTime is how long the target took.
	ServiceTime time.Duration
	// Work is the size of the request in any unit, for example generated
	// tokens; latency is compared per unit. Zero means one.
	Work float64
	// OK is false when the target failed: reset, unreachable, or overloaded.
	OK bool
}

// latency returns the service time in seconds per unit of work.
func (s Sample) latency() float64 {
	if s.Work <= 0 {
		return s.ServiceTime.Seconds()
	}
	return s.ServiceTime.Seconds() / s.Work
}

// Limiter holds the limit of one target. It is not safe for concurrent use.
type Limiter struct {
	cfg   Config
	limit int
	// confirmed is the highest limit that an epoch has shown to be good.
	confirmed int
	// since counts completions since confirmed last changed.
	since int
	// probed counts completions since the last step up.
	probed int
	// settled tells that the present limit was judged good.
	settled bool
	// failed tells that a step was taken back since confirmed last changed.
	failed bool
	// checking tells that the limit is lowered to check the limit checked, at which
	// the mean logarithm of latencies was atLimit.
	checking bool
	checked  int
	atLimit  float64
	// pace is the value of since from which the next step is taken.
	pace int
	// startID is the engine start that the limit was learned on; zero before the first report.
	startID uint64
	// cold is the engine's last reported cold state.
	cold bool
	// epoch judges the present limit.
	epoch epoch
	// latency is what is known about the target's latency.
	latency latency
	// slow and slowSteps count slow requests and slow steps of requests.
	slow, slowSteps streak
}

// New returns a Limiter at the cold limit.
func New(cfg Config) *Limiter {
	l := &Limiter{}
	l.Configure(cfg)
	l.drop(0)
	return l
}

// Configure changes the bounds. A lowered limit takes effect at once; a raised
// one is grown into.
func (l *Limiter) Configure(cfg Config) {
	cfg.Limit = max(cfg.Limit, 1)
	cfg.ColdLimit = min(max(cfg.ColdLimit, 1), cfg.Limit)
	l.cfg = cfg
	l.limit = min(max(l.limit, cfg.ColdLimit), cfg.Limit)
	l.confirmed = min(max(l.confirmed, cfg.ColdLimit), cfg.Limit)
}

// Limit returns the number of requests that the target may run at once.
func (l *Limiter) Limit() int { return l.limit }

// State returns TargetCold until the limit has grown past the cold limit.
func (l *Limiter) State() message.TargetState {
	if l.limit <= l.cfg.ColdLimit && l.cfg.ColdLimit < l.cfg.Limit {
		return message.TargetCold
	}
	return message.TargetWarm
}

// Report takes in the engine's own, lagging report. A start id other than the
// last one, or a change to cold, drops the limit; it returns true if it did. A
// change from cold to warm of the same start ends the warm-up: the engine knows
// best. A report of warm that follows no report of cold says nothing new, since
// it may be older than a drop.
func (l *Limiter) Report(now time.Duration, startID uint64, cold bool) bool {
	restarted := startID != 0 && l.startID != 0 && startID != l.startID
	turned := cold && !l.cold
	warmed := !cold && l.cold && !restarted
	if startID != 0 {
		l.startID = startID
	}
	if warmed {
		l.trust(now)
	}
	l.cold = cold
	if !restarted && !turned {
		return false
	}
	l.drop(now)
	return true
}

// Finished takes in a completed request and returns true if the limit fell back.
func (l *Limiter) Finished(now time.Duration, s Sample) bool {
	if !s.OK || l.isSlow(s) {
		l.drop(now)
		return true
	}
	l.since++
	l.probed++
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
	return l.judge(now)
}

// Progress takes in the latency of one step of a running request, as a ratio to
// what the target normally needs for it, for example the gap between two tokens
// over the usual gap. It shows a target that turned cold before any request
// completes. It returns true if the limit fell.
func (l *Limiter) Progress(now time.Duration, ratio float64) bool {
	if l.limit == l.cfg.ColdLimit || !l.slowSteps.add(ratio >= slowRatio) {
		return false
	}
	l.drop(now)
	return true
}

// isSlow reports whether s is the last of too many slow requests in a row. At the
// cold limit there is nothing to fall from.
func (l *Limiter) isSlow(s Sample) bool {
	if l.limit == l.cfg.ColdLimit {
		return false
	}
	return l.slow.add(l.latency.unusual(s.latency()))
}

// streak counts slow observations in a row.
type streak int

// add returns true at the last of slowInRow slow observations.
func (n *streak) add(slow bool) bool {
	if !slow {
		*n = 0
		return false
	}
	*n++
	return *n >= slowInRow
}

// trust raises the limit to the pool's on the engine's word.
func (l *Limiter) trust(now time.Duration) {
	l.limit, l.confirmed = l.cfg.Limit, l.cfg.Limit
	l.settled, l.failed, l.checking = true, false, false
	l.since, l.probed = 0, 0
	l.epoch = epoch{start: now}
	l.latency.forget()
}

// drop puts the limit back to the cold limit. After a step that was not
// confirmed yet, the completions so far still count for the pace of the next one.
func (l *Limiter) drop(now time.Duration) {
	probing := l.limit > l.confirmed
	l.limit, l.confirmed = l.cfg.ColdLimit, l.cfg.ColdLimit
	l.settled, l.failed, l.checking = false, probing, false
	if !probing {
		l.since = 0
	}
	l.pace = l.since + max(l.since/4, firstPace)
	l.epoch = epoch{start: now}
	l.latency.forget()
	l.slow, l.slowSteps = 0, 0
}
