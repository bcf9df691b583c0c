package entry

import "github.com/gentiantrail/gentiantrail/internal/apierr"

// admit acquires a slot for the request. It refuses the request if there is none, or if
// the entry is stopping.
func admit(e *Entry, x *exchange) *apierr.Error {
	if err := e.limiter.acquire(x.organisation); err != nil {
		return err
	}
	x.holdsSlot = true
	e.requests.record(x)
	// The slot is acquired before the check, so that either the stop counts the request
	// as in flight, or the request sees the stop.
	if e.view.Load().stopping {
		return apierr.New(apierr.KindDraining, e.opts.Identity.Name)
	}
	return nil
}

// releaseSlot releases the slot of the exchange, if it holds one.
func (e *Entry) releaseSlot(x *exchange) {
	if x.holdsSlot {
		x.holdsSlot = false
		e.requests.remove(x)
		e.limiter.release(x.organisation)
	}
}
