package objectstore

import "time"

// Faults are the failures that the store shows to its clients.
type Faults struct {
	// Down refuses every call; nothing takes effect.
	Down bool `json:"down"`
	// LatencyMS delays every call before it takes effect.
	LatencyMS int `json:"latency_ms"`
	// LoseAnswers is the share of writes, 0 to 1, that take effect without an answer.
	LoseAnswers float64 `json:"lose_answers"`
	// LoseNext is the number of next writes that take effect without an answer.
	LoseNext int `json:"lose_next"`
	// DropNext is the number of next writes that neither take effect nor get an answer.
	DropNext int `json:"drop_next"`
	// DelayNext is the number of next writes that get no answer and take effect DelayMS later.
	DelayNext int `json:"delay_next"`
	// DelayMS is the delay of the writes that DelayNext counts.
	DelayMS int `json:"delay_ms"`
	// MissEvents is the share of watch events, 0 to 1, that are never reported.
	MissEvents float64 `json:"miss_events"`
	// RepeatEvents is the share of watch events, 0 to 1, that are reported twice.
	RepeatEvents float64 `json:"repeat_events"`
	// InstanceLagMS is the age of the instance list.
	InstanceLagMS int `json:"instance_lag_ms"`
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// fate is what becomes of one write.
type fate uint8

const (
	fateDone    fate = iota // takes effect, answered
	fateLost                // takes effect, not answered
	fateDropped             // no effect, not answered
	fateDelayed             // takes effect later, not answered
)

// writeFate decides about the next write; the caller holds m.mu.
func (m *Memory) writeFate() fate {
	f := &m.faults
	switch {
	case f.LoseNext > 0:
		f.LoseNext--
		return fateLost
	case f.DropNext > 0:
		f.DropNext--
		return fateDropped
	case f.DelayNext > 0:
		f.DelayNext--
		return fateDelayed
	case f.LoseAnswers > 0 && m.random.Float64() < f.LoseAnswers:
		return fateLost
	default:
		return fateDone
	}
}

// Counters counts the calls that reached the store, by kind; a waiting watch counts once.
type Counters struct {
	Get       uint64 `json:"get"`
	Put       uint64 `json:"put"`
	Delete    uint64 `json:"delete"`
	List      uint64 `json:"list"`
	Watch     uint64 `json:"watch"`
	Instances uint64 `json:"instances"`
	// BytesWritten is the sum of the values' sizes of all Put calls.
	BytesWritten uint64 `json:"bytes_written"`
	// Conflicts counts the writes that failed because of the object's version.
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

// ChangeFaults lets change modify the current faults.
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

// Compact forgets all watch events so far; older watches get platform.ErrCompacted.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compactLocked()
}

func (m *Memory) compactLocked() {
	m.events = nil
	m.compacted = m.revision
	m.wake()
}
