package objectstore

import "time"

// Faults are the failures that the store simulates.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// LatencyMS is the delay in milliseconds of every call before it takes effect.
	LatencyMS int `json:"latency_ms"`
	// LoseAnswers is the fraction of writes, 0 to 1, that take effect but get no answer.
	LoseAnswers float64 `json:"lose_answers"`
	// LoseNext is the number of coming writes that take effect but get no answer.
	LoseNext int `json:"lose_next"`
	// DropNext is the number of coming writes that neither take effect nor get an answer.
	DropNext int `json:"drop_next"`
	// DelayNext is the number of coming writes that get no answer and take effect DelayMS
	// later.
	DelayNext int `json:"delay_next"`
	// DelayMS is the delay in milliseconds of the writes that DelayNext counts.
	DelayMS int `json:"delay_ms"`
	// MissEvents is the fraction of watch events, 0 to 1, that are never reported.
	MissEvents float64 `json:"miss_events"`
	// RepeatEvents is the fraction of watch events, 0 to 1, that are reported twice.
	RepeatEvents float64 `json:"repeat_events"`
	// InstanceLagMS is the age of the instance list in milliseconds.
	InstanceLagMS int `json:"instance_lag_ms"`
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// writeOutcome is the simulated outcome of one write.
type writeOutcome uint8

const (
	writeApplied           writeOutcome = iota // takes effect, answered
	writeAppliedUnanswered                     // takes effect, not answered
	writeDropped                               // no effect, not answered
	writeDelayed                               // takes effect later, not answered
)

// nextWriteOutcome returns the outcome of the next write and counts down the faults;
// the caller holds m.mu.
func (m *Memory) nextWriteOutcome() writeOutcome {
	f := &m.faults
	switch {
	case f.LoseNext > 0:
		f.LoseNext--
		return writeAppliedUnanswered
	case f.DropNext > 0:
		f.DropNext--
		return writeDropped
	case f.DelayNext > 0:
		f.DelayNext--
		return writeDelayed
	case f.LoseAnswers > 0 && m.random.Float64() < f.LoseAnswers:
		return writeAppliedUnanswered
	default:
		return writeApplied
	}
}

// Counters counts the calls that reached the store by kind. A waiting watch counts once.
type Counters struct {
	Get       uint64 `json:"get"`
	Put       uint64 `json:"put"`
	Delete    uint64 `json:"delete"`
	List      uint64 `json:"list"`
	Watch     uint64 `json:"watch"`
	Instances uint64 `json:"instances"`
	// BytesWritten is the total size of the values of all Put calls.
	BytesWritten uint64 `json:"bytes_written"`
	// Conflicts counts the writes that failed because the object had another version.
	Conflicts uint64 `json:"conflicts"`
}

// Writes returns the number of Put and Delete calls.
func (c Counters) Writes() uint64 { return c.Put + c.Delete }

// SetFaults replaces the faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// ChangeFaults calls change with the current faults, which it may modify.
func (m *Memory) ChangeFaults(change func(*Faults)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.faults)
}

// Counters returns the calls counted so far.
func (m *Memory) Counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counters
}

// Compact discards all watch events so far. Watches from an earlier revision get
// platform.ErrCompacted.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compactLocked()
}

func (m *Memory) compactLocked() {
	m.events = nil
	m.compacted = m.revision
	m.wakeWatches()
}
