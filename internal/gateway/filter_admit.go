package gateway

import "github.com/gentiantrail/gentiantrail/internal/apierr"

// maxInFlight bounds the requests in flight: each may hold a body and buffers.
const maxInFlight = 1024

// admit counts the request for its service's retry budget and refuses it if the
// process holds too many.
func admit(g *Gateway, x *exchange) *apierr.Error {
	if g.inFlight.Load() > maxInFlight {
		return apierr.New(apierr.KindOverloaded, "too many requests in flight")
	}
	g.countRequest(x.service)
	return nil
}
