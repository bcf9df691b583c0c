package membership

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/platform"
)

var start = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func agent(incarnation uint64) message.Identity {
	return message.Identity{Role: message.RoleAgent, Name: "a", Incarnation: incarnation}
}

func stateAt(t *Tracker, now time.Time) State {
	p, _ := t.State(now, "a")
	return p.State
}

func TestSilentPeersTurnSuspectThenDeadThenForgotten(t *testing.T) {
	for name, silence := range map[string]func(*Tracker){
		"frozen":      func(*Tracker) {},
		"partitioned": func(*Tracker) {},
		"killed":      func(tr *Tracker) { tr.RecordLinkLoss("a") },
	} {
		tr := New(Config{})
		tr.RecordActivity(start, agent(1), false)
		assert.Equal(t, stateAt(tr, start), Live, name)
		silence(tr)
		assert.Equal(t, stateAt(tr, start.Add(defaultSuspectAfter)), Suspect, name)
		assert.Equal(t, stateAt(tr, start.Add(defaultDeadAfter)), Dead, name)
		tr.RecordActivity(start.Add(time.Minute), agent(1), false)
		assert.Equal(t, stateAt(tr, start.Add(time.Minute)), Live, name)
		assert.Equal(t, len(tr.States(start.Add(time.Minute+defaultForgetAfter))), 0, name)
	}
}

func TestLostLinkAndFailedDispatchesMakeSuspect(t *testing.T) {
	tr := New(Config{})
	tr.RecordActivity(start, agent(1), false)
	tr.RecordLinkLoss("a")
	assert.Equal(t, stateAt(tr, start), Suspect)
	tr.RecordActivity(start, agent(1), false)
	for range defaultFailureLimit {
		assert.Equal(t, stateAt(tr, start), Live)
		tr.RecordFailure(start, "a")
	}
	tr.RecordActivity(start, agent(1), false)
	assert.Equal(t, stateAt(tr, start), Suspect)
	tr.RecordSuccess("a")
	assert.Equal(t, stateAt(tr, start), Live)
}

// TestReplacedIncarnationsNeverTakeWork sends late and repeated heartbeats of
// several incarnations in random order. An incarnation that was replaced or has
// announced that it is leaving must never take work again.
func TestReplacedIncarnationsNeverTakeWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New(Config{})
		now := start
		newest, left := uint64(0), map[uint64]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			inc := uint64(rapid.IntRange(1, min(int(newest)+1, maxRetired)).Draw(t, "incarnation"))
			leaving := rapid.Bool().Draw(t, "leaving")
			tr.RecordActivity(now, agent(inc), leaving)
			newest = max(newest, inc)
			left[inc] = left[inc] || leaving
			p, _ := tr.State(now, "a")
			assert.Equal(t, p.Identity.Incarnation, newest)
			assert.Assert(t, !left[newest] || !p.AcceptsWork())
		}
	})
}

// laggingList is the naive alternative: the platform's list of instances, which is
// delayed by lag.
type laggingList struct {
	lag     time.Duration
	leaveAt time.Time
}

func (l laggingList) state(now time.Time) platform.InstanceState {
	if now.Before(l.leaveAt.Add(l.lag)) {
		return platform.InstanceLive
	}
	return platform.InstanceLeaving
}

// TestLeavingPeerGetsNoWorkAfterThreeSeconds checks that a peer takes no work from
// 3 s after it began to leave, even if heartbeats are lost or delayed. The
// platform's list, which is delayed by 30 s, would not achieve that.
func TestLeavingPeerGetsNoWorkAfterThreeSeconds(t *testing.T) {
	const bound, interval, step = 3 * time.Second, 500 * time.Millisecond, 20 * time.Millisecond
	naive := laggingList{lag: 30 * time.Second, leaveAt: start.Add(5 * time.Second)}
	assert.Equal(t, naive.state(naive.leaveAt.Add(bound)), platform.InstanceLive, "the platform's list alone must be too late")
	rapid.Check(t, func(t *rapid.T) {
		tr := New(Config{})
		leaveAt := start.Add(time.Duration(rapid.IntRange(1000, 5000).Draw(t, "leave")) * time.Millisecond)
		partitionedAt := start.Add(time.Duration(rapid.IntRange(500, 9000).Draw(t, "partition")) * time.Millisecond)
		delay := time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * time.Millisecond
		for now := start; now.Before(leaveAt.Add(2 * bound)); now = now.Add(step) {
			sent := now.Add(-delay)
			if sent.Sub(start)%interval < step && sent.Before(partitionedAt) {
				tr.RecordActivity(now, agent(1), !sent.Before(leaveAt))
			}
			p, known := tr.State(now, "a")
			late := now.Sub(leaveAt) >= bound
			assert.Assert(t, !known || !late || !p.AcceptsWork(), "takes work %v after leaving", now.Sub(leaveAt))
		}
	})
}
