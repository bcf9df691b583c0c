package gateway

import "github.com/gentiantrail/gentiantrail/internal/apierr"

// maxInFlight bounds the requests in flight, since each may hold a body and buffers.
const maxInFlight = 1024

// requireRoom refuses the request if the process holds too many bytes for callers. It precedes the
// filters that read the body, because such a request's body has been released.
func requireRoom(_ *Gateway, x *exchange) *apierr.Error {
	if x.noRoom {
		return apierr.New(apierr.KindOverloaded, "the memory for callers' requests is used up")
	}
	return nil
}

// admit counts the request for its service's retry budget and its level. It refuses the request if
// the process has too many in flight, or if it arrived so late in a stop that it might not complete
// before the process ends, as its route's answers have shown or else by admissionTime.
func admit(g *Gateway, x *exchange) *apierr.Error {
	if g.timeSinceSignal() > admissionTime {
		return apierr.New(apierr.KindDraining, g.opts.Settings.Name)
	}
	if err := g.requireTime(x); err != nil {
		return err
	}
	if g.inFlight.Load() > maxInFlight {
		return apierr.New(apierr.KindOverloaded, "too many requests in flight")
	}
	x.setLevel()
	g.countRequest(x)
	return nil
}
