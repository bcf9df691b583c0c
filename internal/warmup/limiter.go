// Package warmup decides how many requests a target may run at once.
//
// A Limiter starts at the pool's cold limit and grows step by step up to the
// pool's limit. A step is taken only after a full epoch of requests that started
// and completed at the present limit, with the limit in use and the latency
// good: time alone never raises it. A new engine start, a reported cold state, a
// failed request, or latency far above the target's own baseline puts it back to
// the cold limit.
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
}

const (
	// minEpochSamples is the least number of completions that judge a limit.
	minEpochSamples = 8
	// growthDivisor sets a step's size: limit/growthDivisor, at least one request.
	growthDivisor = 16
	// goodRatio is the highest epoch latency, in best epochs, at which the limit grows.
	goodRatio = 1.25
	// coldRatio is the epoch latency, in best epochs, from which the target counts as cold.
	coldRatio = 2.5
	// bestDrift lets the best epoch age, so that a lasting change of workload is accepted.
	bestDrift = 1.02
	// relearnShare is the weight of a bad epoch at the cold limit in the best one.
	relearnShare = 0.25
	// baselineShare is the weight of one request in the baseline.
	baselineShare = 1.0 / 32
	// slowRatio is the latency, in baselines, from which one request counts as slow.
	slowRatio = 3.0
	// slowInRow is the number of slow requests in a row that mark a cold target.
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
	// startID is the engine start that the limit was learned on; zero before the first report.
	startID uint64
	// cold is the engine's last reported cold state.
	cold  bool
	epoch epoch
	// best is the lowest epoch latency, slowly ageing; zero before the first.
	best float64
	// baseline is the smoothed latency of all requests; zero before the first.
	baseline float64
	// slow counts slow requests in a row.
	slow int
}

// epoch gathers what is known about the present limit: requests that started
// after it was set, and at a time when it was fully used.
type epoch struct {
	start     time.Duration
	completed int
	latency   float64
}

// New returns a Limiter at the cold limit.
func New(cfg Config) *Limiter {
	l := &Limiter{}
	l.Configure(cfg)
	l.limit = l.cfg.ColdLimit
	return l
}

// Configure changes the bounds. A lowered limit takes effect at once; a raised
// one is grown into.
func (l *Limiter) Configure(cfg Config) {
	cfg.Limit = max(cfg.Limit, 1)
	cfg.ColdLimit = min(max(cfg.ColdLimit, 1), cfg.Limit)
	l.cfg = cfg
	l.limit = min(max(l.limit, cfg.ColdLimit), cfg.Limit)
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
// last one, or a change to cold, drops the limit; it returns true if it did.
func (l *Limiter) Report(now time.Duration, startID uint64, cold bool) bool {
	restarted := startID != 0 && l.startID != 0 && startID != l.startID
	turned := cold && !l.cold
	if startID != 0 {
		l.startID = startID
	}
	l.cold = cold
	if !restarted && !turned {
		return false
	}
	l.drop(now)
	return true
}

// Finished takes in a completed request and returns true if the limit fell.
func (l *Limiter) Finished(now time.Duration, s Sample) bool {
	if !s.OK || l.isSlow(s) {
		l.drop(now)
		return true
	}
	l.learnBaseline(s.latency())
	if s.StartedAt < l.epoch.start || s.Running < l.limit {
		return false
	}
	l.epoch.completed++
	l.epoch.latency += s.latency()
	if l.epoch.completed < max(l.limit, minEpochSamples) {
		return false
	}
	return l.endEpoch(now)
}

// Progress takes in the latency of one step of a running request, as a ratio to
// what the target normally needs for it, for example the gap between two tokens
// over the usual gap. It shows a target that turned cold before any request
// completes. It returns true if the limit fell.
func (l *Limiter) Progress(now time.Duration, ratio float64) bool {
	if !l.countSlow(ratio >= slowRatio) {
		return false
	}
	l.drop(now)
	return true
}

// isSlow tells whether s is the last of too many slow requests in a row. At the
// cold limit there is nothing to fall from.
func (l *Limiter) isSlow(s Sample) bool {
	if l.baseline == 0 || l.limit == l.cfg.ColdLimit {
		return false
	}
	return l.countSlow(s.latency() >= slowRatio*l.baseline)
}

func (l *Limiter) learnBaseline(latency float64) {
	if l.baseline == 0 {
		l.baseline = latency
		return
	}
	l.baseline += baselineShare * (latency - l.baseline)
}

// countSlow returns true at the last of slowInRow slow observations.
func (l *Limiter) countSlow(slow bool) bool {
	if !slow {
		l.slow = 0
		return false
	}
	l.slow++
	return l.slow >= slowInRow
}

// endEpoch judges the present limit and starts the next epoch. At the cold limit
// a worse latency is learned as the new best, so that a lasting change of the
// workload cannot hold the limit down for good.
func (l *Limiter) endEpoch(now time.Duration) bool {
	mean := l.epoch.latency / float64(l.epoch.completed)
	l.epoch = epoch{start: now}
	switch {
	case l.best == 0:
		l.best = mean
		l.grow()
	case mean <= goodRatio*l.best:
		l.best = min(l.best*bestDrift, mean)
		l.grow()
	case l.limit == l.cfg.ColdLimit:
		l.best += relearnShare * (mean - l.best)
	case mean >= coldRatio*l.best:
		l.drop(now)
		return true
	default:
		l.best *= bestDrift
	}
	return false
}

// grow takes one step, unless the engine itself still reports cold.
func (l *Limiter) grow() {
	if l.cold {
		return
	}
	l.limit = min(l.limit+max(1, l.limit/growthDivisor), l.cfg.Limit)
}

// drop puts the limit back to the cold limit. The baseline is kept: it is the
// latency of the warm target.
func (l *Limiter) drop(now time.Duration) {
	l.limit = l.cfg.ColdLimit
	l.epoch = epoch{start: now}
	l.best = 0
	l.slow = 0
}
