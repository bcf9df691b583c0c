package callerbuf

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a cut that hits callers with small requests, or one whose request moves while
// another of its size stands still.
func TestVictimIsLargeAndSlow(t *testing.T) {
	b := New[string](100)
	small, slow, quick := b.Open("small", 0), b.Open("slow", 0), b.Open("quick", 0)
	b.Set(small, Incomplete, 1, 1)
	b.Set(slow, Incomplete, 50, 2)
	b.Set(quick, Incomplete, 60, 3)
	assert.Assert(t, b.Exceeded())
	victim, part := b.Victim()
	assert.Equal(t, victim.Owner, "slow")
	assert.Equal(t, part, Incomplete)
	b.Close(victim)
	assert.Assert(t, !b.Exceeded())
	assert.Equal(t, b.Used(), int64(61))
}

// Guards against a request that is cut off while it is being handled: it may have run.
func TestHandledRequestIsNoVictim(t *testing.T) {
	b := New[string](10)
	b.Set(b.Open("handled", 0), Handled, 10, 0)
	victim, _ := b.Victim()
	assert.Assert(t, victim == nil)
	reader := b.Open("reader", 0)
	b.Set(reader, Unsent, 5, 0)
	victim, part := b.Victim()
	assert.Equal(t, victim, reader)
	assert.Equal(t, part, Unsent)
}

// Guards against cuts that can't bring the budget back within its limit.
func TestNoVictimIfHandledRequestsExceedTheBudget(t *testing.T) {
	b := New[string](10)
	b.Set(b.Open("handled", 0), Handled, 11, 0)
	for p := range Handled {
		b.Set(b.Open("removable", 0), p, 5, 0)
	}
	victim, _ := b.Victim()
	assert.Assert(t, victim == nil)
}

// Guards against bytes that are counted twice or never released. After every step, cutting off
// victims brings the budget back within its limit unless only handled requests are left.
func TestUsedIsTheSumOfTheAccounts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := New[int](10_000)
	var open []*Account[int]
	for step := range 20_000 {
		now := time.Duration(step)
		switch i := rng.IntN(8); {
		case i == 0 || len(open) == 0:
			open = append(open, b.Open(step, now))
		case i == 1:
			b.Close(open[rng.IntN(len(open))])
		default:
			b.Set(open[rng.IntN(len(open))], Part(rng.IntN(int(partCount))), rng.Int64N(1000), now)
		}
		for b.Exceeded() {
			victim, _ := b.Victim()
			if victim == nil {
				break
			}
			b.Close(victim)
		}
		var sum int64
		for a := range b.accounts {
			for _, n := range a.held {
				sum += n
			}
		}
		assert.Equal(t, b.Used(), sum)
	}
}
