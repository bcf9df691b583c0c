// Package pause detects that a process stood still, because it or its machine was stopped or got no
// processor time.
package pause

import "time"

// Detector records the times at which a process was seen running. It reads no clock and is not safe
// for concurrent use.
type Detector struct {
	// threshold is the time between two beats from which they enclose a pause.
	threshold time.Duration
	lastBeat  time.Duration
	// from and to enclose the last pause. Both are zero if there was none.
	from, to time.Duration
	// signalFrom is the earliest time at which a signal may have been sent that was noticed at the end of
	// the last pause.
	signalFrom time.Duration
}

// NewDetector returns a detector for a process that starts at time zero. Pauses shorter than threshold
// are not detected.
func NewDetector(threshold time.Duration) *Detector { return &Detector{threshold: threshold} }

// Beat records that the process runs. It returns the time for which the process stood still before, or
// zero.
func (d *Detector) Beat(now time.Duration) time.Duration {
	silent := now - d.lastBeat
	if silent >= d.threshold {
		d.signalFrom = d.EarliestSignal(d.lastBeat)
		d.from, d.to = d.earliestArrival(d.lastBeat), now
	}
	d.lastBeat = max(now, d.lastBeat)
	if silent < d.threshold {
		return 0
	}
	return silent
}

// EarliestArrival returns the earliest time at which bytes that the process has read at the given time
// may have been sent to it, apart from the time of the network and pauses below the threshold. Bytes that
// were lost in a pause arrive up to its length after it, since senders double the time between
// retransmissions.
func (d *Detector) EarliestArrival(read time.Duration) time.Duration {
	if read-d.lastBeat >= d.threshold {
		return d.earliestArrival(d.lastBeat)
	}
	return d.earliestArrival(read)
}

// EarliestSignal returns the earliest time at which a signal that the process notices at the given time may
// have been sent to it, apart from delays below the threshold. Other than bytes, a signal is never sent
// again: one that is noticed later than the threshold after a pause was sent after the pause.
func (d *Detector) EarliestSignal(noticed time.Duration) time.Duration {
	switch {
	case noticed-d.lastBeat >= d.threshold:
		return d.EarliestSignal(d.lastBeat)
	case d.to > 0 && noticed-d.to < d.threshold:
		return d.signalFrom
	default:
		return noticed
	}
}

func (d *Detector) earliestArrival(read time.Duration) time.Duration {
	if d.to > 0 && read-d.to <= d.to-d.from {
		return min(read, d.from)
	}
	return read
}
