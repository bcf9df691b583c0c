package experiment

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/admission"
	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// fixedLimit is the baseline admission control: a constant limit without warm-up, and
// one first-in-first-out queue that ignores deadlines and organisations.
type fixedLimit struct {
	limit, queueLimit int
	running           int
	waiting           []uint64
	draining, down    bool
}

func (f *fixedLimit) Offer(_ time.Duration, it admission.Item) admission.Decision {
	switch {
	case f.draining:
		return admission.Decision{Err: apierr.New(apierr.KindDraining, "target")}
	case f.down:
		return admission.Decision{Err: apierr.New(apierr.KindTargetUnreachable, "target")}
	case f.running < f.limit:
		f.running++
		return admission.Decision{Verdict: admission.Run}
	case len(f.waiting) < f.queueLimit:
		f.waiting = append(f.waiting, it.ID)
		return admission.Decision{Verdict: admission.Queue}
	default:
		return admission.Decision{Err: apierr.New(apierr.KindOverloaded, "queue")}
	}
}

func (f *fixedLimit) Finish(time.Duration, uint64, admission.Result) admission.Effects {
	f.running--
	if len(f.waiting) == 0 || f.down {
		return admission.Effects{}
	}
	id := f.waiting[0]
	f.waiting = f.waiting[1:]
	f.running++
	return admission.Effects{Start: []uint64{id}}
}

func (f *fixedLimit) Remove(_ time.Duration, id uint64) bool {
	for i, w := range f.waiting {
		if w == id {
			f.waiting = append(f.waiting[:i:i], f.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (f *fixedLimit) Expire(time.Duration) []admission.Refused { return nil }

func (f *fixedLimit) HandleReport(time.Duration, uint64, bool) admission.Effects {
	return admission.Effects{}
}

func (f *fixedLimit) SetHealthy(_ time.Duration, healthy bool) admission.Effects {
	f.down = !healthy
	var e admission.Effects
	for f.down && len(f.waiting) > 0 {
		err := apierr.New(apierr.KindTargetUnreachable, "target")
		e.Refused = append(e.Refused, admission.Refused{ID: f.waiting[0], Err: err})
		f.waiting = f.waiting[1:]
	}
	return e
}

func (f *fixedLimit) Load(time.Duration) message.Load {
	state := message.TargetWarm
	if f.down {
		state = message.TargetDown
	}
	return message.Load{
		State: state, Running: f.running, Queued: len(f.waiting),
		Limit: f.limit, QueueLimit: f.queueLimit,
	}
}

func (f *fixedLimit) Drain() { f.draining = true }
