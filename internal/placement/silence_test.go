package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that wait for an instance that stands still until their callers
// leave: the other ranks of its group go on, so only the target itself is silent. It gets no
// work while it is silent, nor for a while after its last request has been taken away, and
// again at once when it is heard.
func TestSilentTargetGetsNoWorkUntilItIsHeard(t *testing.T) {
	for name, hear := range map[string]func(b *Balancer, now time.Duration){
		"event":  func(b *Balancer, now time.Duration) { b.RecordEvent(now, "t0", 0, 0) },
		"answer": func(b *Balancer, now time.Duration) { b.HandleLoadReport(now, "t0", 1, 0) },
		"report": func(b *Balancer, now time.Duration) { b.HandleGroupReport(now, "t0", "x", 1, true) },
	} {
		b := newGroupedBalancer(4, 12)
		now := second
		b.HandleGroupReport(now, "t0", "x", 1, true)
		others := Request{Service: "s", Tried: []string{"t1", "t2", "t3"}}
		_, refusal := b.Choose(now, others)
		assert.Equal(t, refusal, NotRefused, name)
		pass := func(n int) {
			for range n {
				now += 60 * time.Millisecond
				b.RecordEvent(now, "t1", 60*time.Millisecond, 0)
			}
		}
		pass(5)
		assert.Assert(t, !b.IsStalled(now, "t0"), "%s: too early", name)
		pass(10)
		assert.Assert(t, b.IsStalled(now, "t0"), name)
		assert.Assert(t, !b.IsStalled(now, "t1"), name)
		_, refusal = b.Choose(now, others)
		assert.Equal(t, refusal, Unreachable, name)
		assert.Assert(t, b.HasAlternative(now, "t0"), "%s: t1 is in the same group and runs", name)
		assert.Equal(t, b.RecordStall(now, "t0"), "", name)
		b.RecordResult(now, "t0", Inconclusive)
		pass(10)
		_, refusal = b.Choose(now, others)
		assert.Equal(t, refusal, Unreachable, "%s: after its last request", name)
		hear(b, now)
		_, refusal = b.Choose(now, others)
		assert.Equal(t, refusal, NotRefused, "%s: heard again", name)
	}
}

// A target that is never heard again is tried again after a while, by few requests.
func TestSilentTargetIsTriedAgain(t *testing.T) {
	b := newGroupedBalancer(2, 12)
	r := Request{Service: "s", Tried: []string{"t1"}}
	_, refusal := b.Choose(0, r)
	assert.Equal(t, refusal, NotRefused)
	b.RecordResult(2*second, "t0", Inconclusive)
	_, refusal = b.Choose(2*second+silenceHold-1, r)
	assert.Equal(t, refusal, Unreachable)
	_, refusal = b.Choose(2*second+silenceHold, r)
	assert.Equal(t, refusal, NotRefused)
}

// A request that waits in the queue of a busy target must not make it count as silent: the
// target's instance reports, or other streams of the target go on.
func TestBusyTargetIsNotSilent(t *testing.T) {
	for name, hear := range map[string]func(b *Balancer, now time.Duration){
		"report": func(b *Balancer, now time.Duration) { b.HandleGroupReport(now, "t0", "x", 1, true) },
		"event":  func(b *Balancer, now time.Duration) { b.RecordEvent(now, "t0", 250*time.Millisecond, 0) },
	} {
		b := newGroupedBalancer(2, 12)
		_, refusal := b.Choose(0, Request{Service: "s", Tried: []string{"t1"}})
		assert.Equal(t, refusal, NotRefused)
		for now := time.Duration(0); now < 4*second; now += 250 * time.Millisecond {
			hear(b, now)
			assert.Assert(t, !b.IsStalled(now+249*time.Millisecond, "t0"), "%s at %v", name, now)
		}
	}
}
