package priority

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which a measured rate loses half of its value.
	halfLife = time.Second
	// refusedHalfLife is the same for the number of refused callers that have not returned.
	// It is longer than most callers wait before they retry; some never do, or retry at another
	// gateway.
	refusedHalfLife = 2 * time.Second
	// maxLevels bounds the levels of a service that are measured.
	maxLevels = 32
	// minRate is the rate, per second, below which a level is no longer kept.
	minRate = 1e-4
)

// perEvent is what one event adds to a decayed rate, per second: events at a constant rate
// lead to that rate.
var perEvent = math.Ln2 / halfLife.Seconds()

// Meter measures the demand of one service's levels in this process. The zero value has
// measured nothing. It is not safe for concurrent use.
type Meter struct {
	levels  Levels
	refused []refusedCallers
	// completions is the rate of ended requests, per second.
	completions float64
	// at is the time to which the decay of all values is applied.
	at time.Duration
}

// refusedCallers is the decayed number of a level's refused callers that have not returned.
type refusedCallers struct {
	priority int
	callers  float64
}

// decay applies the decay since the last call.
func (m *Meter) decay(now time.Duration) {
	if now <= m.at {
		return
	}
	elapsed := float64(now - m.at)
	m.at = now
	f := math.Exp2(-elapsed / float64(halfLife))
	m.levels.Scale(f)
	m.completions *= f
	if len(m.refused) == 0 {
		return
	}
	f = math.Exp2(-elapsed / float64(refusedHalfLife))
	for i := range m.refused {
		m.refused[i].callers *= f
	}
}

// RecordArrival records a caller's request. It is called once for a request, before it is
// checked.
func (m *Meter) RecordArrival(now time.Duration, level int) {
	m.decay(now)
	m.add(level, Rates{Arrivals: perEvent})
	if !Returning(level) {
		return
	}
	for i := range m.refused {
		if m.refused[i].priority == level-1 {
			m.refused[i].callers = max(0, m.refused[i].callers-1)
		}
	}
}

// RecordAdmission records that a request was sent to its first target.
func (m *Meter) RecordAdmission(now time.Duration, priority int) {
	m.decay(now)
	m.add(priority, Rates{Admissions: perEvent})
}

// RecordCompletion records that a request of any level has ended.
func (m *Meter) RecordCompletion(now time.Duration) {
	m.decay(now)
	m.completions += perEvent
}

// RecordRefusal records a caller that was refused for lack of capacity.
func (m *Meter) RecordRefusal(now time.Duration, priority int) {
	m.decay(now)
	for i := range m.refused {
		if m.refused[i].priority == priority {
			m.refused[i].callers++
			return
		}
	}
	if len(m.refused) < maxLevels {
		m.refused = append(m.refused, refusedCallers{priority: priority, callers: 1})
	}
}

// add adds to the rates of a level. If there are too many levels, idle ones are removed; if
// there are none, further levels are not measured.
func (m *Meter) add(priority int, r Rates) {
	if len(m.levels) >= maxLevels {
		kept := m.levels[:0]
		for _, l := range m.levels {
			if l.Arrivals >= minRate || l.Priority == priority {
				kept = append(kept, l)
			}
		}
		m.levels = kept
	}
	levels := m.levels.Add(priority, r)
	if len(levels) <= maxLevels {
		m.levels = levels
	}
}

// Levels returns the measured rates. The result is valid until the next call of a method.
func (m *Meter) Levels(now time.Duration) Levels {
	m.decay(now)
	return m.levels
}

const (
	// MinRetryAfter is the least time after which a refused caller should retry.
	MinRetryAfter = 600 * time.Millisecond
	// maxRetryAfterShare bounds the time as a fraction of the time left to the caller's
	// deadline: callers ignore longer times.
	maxRetryAfterShare = 1.0 / 3
	// minCompletions is the least rate of completions, per second, from which a time follows.
	minCompletions = 0.1
)

// RetryAfter returns the time after which a refused caller of a level should retry: a random
// time up to the one at which the predicted free capacity reaches the level. left is the time
// to the caller's deadline, and point a random number from a uniform distribution over [0, 1).
// ok is false if no rate of completions has been measured.
func (m *Meter) RetryAfter(now time.Duration, priority int, left time.Duration, point float64) (after time.Duration, ok bool) {
	m.decay(now)
	if m.completions < minCompletions {
		return 0, false
	}
	callers := 0.0
	for _, r := range m.refused {
		if r.priority <= priority {
			callers += r.callers
		}
	}
	longest := time.Duration(maxRetryAfterShare * float64(max(0, left)))
	predicted := callers / m.completions
	latest := longest
	if predicted < longest.Seconds() {
		latest = max(MinRetryAfter, time.Duration(predicted*float64(time.Second)))
	}
	after = MinRetryAfter + time.Duration(point*float64(max(0, latest-MinRetryAfter)))
	return min(after, longest), true
}
