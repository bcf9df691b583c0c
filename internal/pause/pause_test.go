package pause

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const threshold = 250 * time.Millisecond

// running returns a detector of a process that has run until now.
func running(now time.Duration) *Detector {
	d := NewDetector(threshold)
	for at := time.Duration(0); at <= now; at += 100 * time.Millisecond {
		d.Beat(at)
	}
	return d
}

// TestBytesOfAPauseAreAsOldAsThePause guards against taking what was sent to a process that stood
// still for new: it is read before, at and after the first beat that follows.
func TestBytesOfAPauseAreAsOldAsThePause(t *testing.T) {
	d := running(time.Second)
	assert.Equal(t, d.EarliestArrival(1200*time.Millisecond), 1200*time.Millisecond)
	assert.Equal(t, d.EarliestArrival(4*time.Second), time.Second, "read before the first beat")
	assert.Equal(t, d.Beat(4*time.Second), 3*time.Second)
	for at := 4 * time.Second; at <= 7*time.Second; at += 100 * time.Millisecond {
		d.Beat(at)
		assert.Equal(t, d.EarliestArrival(at), time.Second, "retransmitted until %v", at)
	}
	d.Beat(7100 * time.Millisecond)
	assert.Equal(t, d.EarliestArrival(7100*time.Millisecond), 7100*time.Millisecond)
}

// TestPausesInSeriesCountAsOne guards against forgetting a pause when the next one follows before
// everything that was sent in the first has arrived.
func TestPausesInSeriesCountAsOne(t *testing.T) {
	d := running(time.Second)
	d.Beat(3 * time.Second)
	d.Beat(3100 * time.Millisecond)
	d.Beat(5 * time.Second)
	assert.Equal(t, d.EarliestArrival(5*time.Second), time.Second)
}

// TestEarliestArrivalIsNotLaterThanSending sends bytes at random times to a process that stands still at
// random times, and reads them when it runs again.
func TestEarliestArrivalIsNotLaterThanSending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, now := NewDetector(threshold), time.Duration(0)
		for range 200 {
			length := time.Duration(rapid.IntRange(1, 100).Draw(t, "run")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "pause") == 0 {
				length = time.Duration(rapid.IntRange(250, 6000).Draw(t, "length")) * time.Millisecond
			}
			sent := now + time.Duration(rapid.Float64Range(0, 1).Draw(t, "sent")*float64(length))
			now += length
			if rapid.Bool().Draw(t, "beat first") {
				d.Beat(now)
			}
			assert.Assert(t, d.EarliestArrival(now) < sent+threshold)
			d.Beat(now)
		}
	})
}

// TestEarliestSignal guards against a signal that counts as younger than it may be, or as sent before a pause
// that had ended when it came.
func TestEarliestSignal(t *testing.T) {
	d := running(time.Second)
	assert.Equal(t, d.EarliestSignal(1200*time.Millisecond), 1200*time.Millisecond)
	assert.Equal(t, d.EarliestSignal(4*time.Second), time.Second, "noticed before the first beat")
	d.Beat(4 * time.Second)
	assert.Equal(t, d.EarliestSignal(4100*time.Millisecond), time.Second, "noticed just after the pause")
	for at := 4100 * time.Millisecond; at < 4500*time.Millisecond; at += 100 * time.Millisecond {
		d.Beat(at)
	}
	assert.Equal(t, d.EarliestSignal(4500*time.Millisecond), 4500*time.Millisecond, "noticed later")
}

// TestEarliestSignalOfSeveralPauses guards against a signal that is noticed only after the second of two pauses.
func TestEarliestSignalOfSeveralPauses(t *testing.T) {
	d := running(time.Second)
	d.Beat(3 * time.Second)
	d.Beat(3100 * time.Millisecond)
	assert.Equal(t, d.EarliestSignal(5*time.Second), time.Second, "not noticed between the pauses")
	d.Beat(5 * time.Second)
	assert.Equal(t, d.EarliestSignal(5100*time.Millisecond), time.Second, "not noticed between the pauses")
	d.Beat(5200 * time.Millisecond)
	d.Beat(5400 * time.Millisecond)
	assert.Equal(t, d.EarliestSignal(7*time.Second), 5400*time.Millisecond, "the process ran between the pauses")
}
