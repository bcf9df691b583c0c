package gateway

import (
	"math/rand/v2"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// findRoute finds the request's route and service in the current configuration.
func findRoute(g *Gateway, x *exchange) *apierr.Error {
	x.id = x.req.Header.Get(g.opts.Headers.Attempt)
	if !x.view.loaded {
		return apierr.New(apierr.KindConfigUnavailable, "")
	}
	route, ok := x.view.index.Route(x.req.Header.Get("Host"), x.req.Path())
	if !ok {
		return apierr.New(apierr.KindUnknownService, x.req.Path())
	}
	x.route = route
	x.service = route.PickService(rand.Float64())
	return nil
}
