package admission

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// ledger is a naive record of what the Controller said about each request.
type ledger struct {
	t       *rapid.T
	c       *Controller
	now     time.Duration
	waiting map[uint64]time.Duration
	running map[uint64]bool
	over    map[uint64]bool
}

func (l *ledger) start(id uint64) {
	assert.Assert(l.t, !l.over[id] && !l.running[id], "request %d starts twice or after its end", id)
	delete(l.waiting, id)
	l.running[id] = true
	assert.Assert(l.t, len(l.running) <= l.c.Load(l.now).Limit, "more run than the limit allows")
}

func (l *ledger) refuse(r Refused) {
	_, waited := l.waiting[r.ID]
	assert.Assert(l.t, waited, "request %d is refused but does not wait", r.ID)
	assert.Equal(l.t, r.Err.Answer().Outcome, apierr.OutcomeNotRun)
	delete(l.waiting, r.ID)
	l.over[r.ID] = true
}

func (l *ledger) apply(e Effects) {
	for _, r := range e.Refused {
		l.refuse(r)
	}
	for _, id := range e.Start {
		l.start(id)
	}
}

// TestEveryRequestEndsOnceAndNeverBeyondTheLimit drives a Controller with random
// events and checks it against the ledger after each.
func TestEveryRequestEndsOnceAndNeverBeyondTheLimit(t *testing.T) {
	cfg := Config{Limit: 8, ColdLimit: 2, QueueLimit: 6, ServiceTime: time.Second, MaxWait: 20 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		l := &ledger{t: t, c: New(cfg), waiting: map[uint64]time.Duration{}, running: map[uint64]bool{}, over: map[uint64]bool{}}
		id := uint64(0)
		pick := func(from map[uint64]bool) uint64 {
			least := uint64(0)
			for k := range from {
				if least == 0 || k < least {
					least = k
				}
			}
			return least
		}
		for range 200 {
			l.now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2, 3:
				id++
				it := Item{
					ID: id, Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Priority: rapid.IntRange(0, 1).Draw(t, "priority"), NoWait: rapid.Bool().Draw(t, "no wait"),
					Deadline: l.now + time.Duration(rapid.IntRange(0, 9000).Draw(t, "deadline"))*time.Millisecond,
				}
				d := l.c.Offer(l.now, it)
				assert.Equal(t, d.Verdict == Refuse, d.Err != nil)
				switch d.Verdict {
				case Run:
					l.start(id)
				case Queue:
					assert.Assert(t, !it.NoWait)
					l.waiting[id] = it.Deadline
				default:
					l.over[id] = true
				}
				l.apply(d.Effects)
			case 4, 5, 6:
				if done := pick(l.running); done != 0 {
					delete(l.running, done)
					l.over[done] = true
					l.apply(l.c.Finish(l.now, done, Result{
						ServiceTime: time.Second, OK: rapid.IntRange(0, 9).Draw(t, "failed") > 0,
						Cancelled: rapid.IntRange(0, 9).Draw(t, "cancelled") == 0,
					}))
				}
			case 7:
				victim := uint64(rapid.IntRange(1, int(id)+1).Draw(t, "victim"))
				_, waits := l.waiting[victim]
				assert.Equal(t, l.c.Remove(l.now, victim), waits, "true exactly if it never starts")
				delete(l.waiting, victim)
				if waits {
					l.over[victim] = true
				}
			case 8:
				l.apply(l.c.Report(l.now, uint64(rapid.IntRange(1, 2).Draw(t, "start id")), false))
			default:
				l.apply(Effects{Refused: l.c.Expire(l.now)})
				for waiting, deadline := range l.waiting {
					assert.Assert(t, deadline > l.now, "request %d is held past its deadline", waiting)
				}
			}
			load := l.c.Load(l.now)
			assert.Equal(t, load.Running, len(l.running))
			assert.Equal(t, load.Queued, len(l.waiting))
			assert.Assert(t, load.Queued <= cfg.QueueLimit)
		}
	})
}

func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	c := New(Config{Limit: 1, ColdLimit: 1, QueueLimit: 100, ServiceTime: time.Second})
	for id := uint64(1); id <= 4; id++ {
		assert.Assert(t, c.Offer(0, Item{ID: id, Organisation: "a", Deadline: 10 * time.Second}).Err == nil)
	}
	d := c.Offer(0, Item{ID: 5, Organisation: "a", Deadline: 3 * time.Second})
	assert.Equal(t, d.Err.Kind, apierr.KindDeadlineUnreachable)
	assert.Assert(t, d.Err.Answer().RetryAfter >= 2*time.Second)
	// A small organisation's request goes before the rest of the large one's.
	d = c.Offer(0, Item{ID: 6, Organisation: "b", Deadline: 3 * time.Second})
	assert.Equal(t, d.Verdict, Queue)
}

func TestDrainRefusesNewWorkAndFinishesTheRest(t *testing.T) {
	c := New(Config{Limit: 1, ColdLimit: 1, QueueLimit: 10})
	c.Offer(0, Item{ID: 1, Organisation: "a", Deadline: time.Minute})
	c.Offer(0, Item{ID: 2, Organisation: "a", Deadline: time.Minute})
	c.Drain()
	d := c.Offer(0, Item{ID: 3, Organisation: "a", Deadline: time.Minute})
	assert.Equal(t, d.Err.Kind, apierr.KindDraining)
	e := c.Finish(time.Second, 1, Result{ServiceTime: time.Second, OK: true})
	assert.DeepEqual(t, e.Start, []uint64{2})
	c.Finish(2*time.Second, 2, Result{ServiceTime: time.Second, OK: true})
	assert.Assert(t, c.Idle())
}
