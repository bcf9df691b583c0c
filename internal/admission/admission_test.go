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

// tracker records the decisions of a Controller on each request and checks that they are
// consistent.
type tracker struct {
	t       *rapid.T
	c       *Controller
	now     time.Duration
	waiting map[uint64]time.Duration
	running map[uint64]bool
	ended   map[uint64]bool
}

func (tr *tracker) start(id uint64) {
	assert.Assert(tr.t, !tr.ended[id] && !tr.running[id], "request %d starts twice or after its end", id)
	delete(tr.waiting, id)
	tr.running[id] = true
	assert.Assert(tr.t, len(tr.running) <= tr.c.Load(tr.now).Limit, "more run than the limit allows")
}

func (tr *tracker) refuse(r Refused) {
	_, waited := tr.waiting[r.ID]
	assert.Assert(tr.t, waited, "request %d is refused but was not waiting", r.ID)
	assert.Equal(tr.t, r.Err.Answer().Outcome, apierr.OutcomeNotRun)
	delete(tr.waiting, r.ID)
	tr.ended[r.ID] = true
}

func (tr *tracker) apply(e Effects) {
	for _, r := range e.Refused {
		tr.refuse(r)
	}
	for _, id := range e.Start {
		tr.start(id)
	}
}

// TestRequestsEndOnceWithinLimit drives a Controller with random events and checks it
// against the tracker after each of them.
func TestRequestsEndOnceWithinLimit(t *testing.T) {
	cfg := Config{Limit: 8, ColdLimit: 2, QueueLimit: 6, ServiceTime: time.Second, MaxWait: 20 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		tr := &tracker{t: t, c: New(cfg), waiting: map[uint64]time.Duration{}, running: map[uint64]bool{}, ended: map[uint64]bool{}}
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
			tr.now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2, 3:
				id++
				it := Item{
					ID: id, Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Priority: rapid.IntRange(0, 1).Draw(t, "priority"), NoWait: rapid.Bool().Draw(t, "no wait"),
					Deadline: tr.now + time.Duration(rapid.IntRange(0, 9000).Draw(t, "deadline"))*time.Millisecond,
				}
				d := tr.c.Offer(tr.now, it)
				assert.Equal(t, d.Verdict == Refuse, d.Err != nil)
				switch d.Verdict {
				case Run:
					tr.start(id)
				case Queue:
					assert.Assert(t, !it.NoWait)
					tr.waiting[id] = it.Deadline
				default:
					tr.ended[id] = true
				}
				tr.apply(d.Effects)
			case 4, 5, 6:
				if done := pick(tr.running); done != 0 {
					delete(tr.running, done)
					tr.ended[done] = true
					tr.apply(tr.c.Finish(tr.now, done, Result{
						ServiceTime: time.Second, OK: rapid.IntRange(0, 9).Draw(t, "failed") > 0,
						Cancelled: rapid.IntRange(0, 9).Draw(t, "cancelled") == 0,
					}))
				}
			case 7:
				victim := uint64(rapid.IntRange(1, int(id)+1).Draw(t, "victim"))
				_, waits := tr.waiting[victim]
				assert.Equal(t, tr.c.Remove(tr.now, victim), waits, "true exactly if it never starts")
				delete(tr.waiting, victim)
				if waits {
					tr.ended[victim] = true
				}
			case 8:
				tr.apply(tr.c.HandleReport(tr.now, uint64(rapid.IntRange(1, 2).Draw(t, "start id")), false))
			default:
				tr.apply(Effects{Refused: tr.c.Expire(tr.now)})
				for waiting, deadline := range tr.waiting {
					assert.Assert(t, deadline > tr.now, "request %d is held past its deadline", waiting)
				}
			}
			load := tr.c.Load(tr.now)
			assert.Equal(t, load.Running, len(tr.running))
			assert.Equal(t, load.Queued, len(tr.waiting))
			assert.Assert(t, load.Queued <= cfg.QueueLimit)
		}
	})
}

func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	c := New(Config{Limit: 1, ColdLimit: 1, QueueLimit: 100, ServiceTime: time.Second})
	for id := uint64(1); id <= 4; id++ {
		assert.Assert(t, c.Offer(0, Item{ID: id, Organisation: "a", Deadline: 10 * time.Second}).Err == nil)
	}
	d := c.Offer(0, Item{ID: 5, Organisation: "a", Deadline: 3 * time.Second})
	assert.Equal(t, d.Err.Kind, apierr.KindDeadlineUnreachable)
	assert.Assert(t, d.Err.Answer().RetryAfter >= 2*time.Second)
	// The request of a small organisation is served before the remaining requests of the
	// large one.
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
