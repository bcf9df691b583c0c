package entry

import "github.com/gentiantrail/gentiantrail/internal/apierr"

// admit takes the organisation's place, or refuses new work of a stopping entry.
func admit(e *Entry, x *exchange) *apierr.Error {
	if err := e.gate.enter(x.organisation); err != nil {
		return err
	}
	x.admitted = true
	// The place is taken before the check, so that a stop either sees the request
	// in flight or the request sees the stop.
	if e.view.Load().stopping {
		return apierr.New(apierr.KindDraining, e.opts.Identity.Name)
	}
	return nil
}

// leave gives the organisation's place back.
func (e *Entry) leave(x *exchange) {
	if x.admitted {
		x.admitted = false
		e.gate.leave(x.organisation)
	}
}
