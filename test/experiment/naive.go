package experiment

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/admission"
	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// fixedLimit is the baseline admission: a fixed limit from the first moment on
// and one first-in-first-out queue, with no regard to deadlines or organisations.
type fixedLimit struct {
	limit, queueLimit int
	running           int
	waiting           []uint64
	draining, down    bool
}

func (d *fixedLimit) Offer(_ time.Duration, it admission.Item) admission.Decision {
	switch {
	case d.draining:
		return admission.Decision{Err: apierr.New(apierr.KindDraining, "target")}
	case d.down:
		return admission.Decision{Err: apierr.New(apierr.KindTargetUnreachable, "target")}
	case d.running < d.limit:
		d.running++
		return admission.Decision{Verdict: admission.Run}
	case len(d.waiting) < d.queueLimit:
		d.waiting = append(d.waiting, it.ID)
		return admission.Decision{Verdict: admission.Queue}
	default:
		return admission.Decision{Err: apierr.New(apierr.KindOverloaded, "queue")}
	}
}

func (d *fixedLimit) Finish(time.Duration, uint64, admission.Result) admission.Effects {
	d.running--
	if len(d.waiting) == 0 || d.down {
		return admission.Effects{}
	}
	id := d.waiting[0]
	d.waiting = d.waiting[1:]
	d.running++
	return admission.Effects{Start: []uint64{id}}
}

func (d *fixedLimit) Remove(_ time.Duration, id uint64) bool {
	for i, w := range d.waiting {
		if w == id {
			d.waiting = append(d.waiting[:i:i], d.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (d *fixedLimit) Expire(time.Duration) []admission.Refused { return nil }

func (d *fixedLimit) Report(time.Duration, uint64, bool) admission.Effects {
	return admission.Effects{}
}

func (d *fixedLimit) SetHealthy(_ time.Duration, healthy bool) admission.Effects {
	d.down = !healthy
	var e admission.Effects
	for d.down && len(d.waiting) > 0 {
		err := apierr.New(apierr.KindTargetUnreachable, "target")
		e.Refused = append(e.Refused, admission.Refused{ID: d.waiting[0], Err: err})
		d.waiting = d.waiting[1:]
	}
	return e
}

func (d *fixedLimit) Load(time.Duration) message.Load {
	state := message.TargetWarm
	if d.down {
		state = message.TargetDown
	}
	return message.Load{
		State: state, Running: d.running, Queued: len(d.waiting),
		Limit: d.limit, QueueLimit: d.queueLimit,
	}
}

func (d *fixedLimit) Drain() { d.draining = true }
