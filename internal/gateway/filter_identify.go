package gateway

import (
	"strings"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

const (
	headerAuthorization = "Authorization"
	// bearerScheme is the prefix of an Authorization value with an API key (RFC 6750,
	// section 2.1).
	bearerScheme = "bearer "
)

// identify finds the organisation of the request's API key. It refuses requests without a
// valid key, unless the route allows anonymous requests or no organisation is configured.
func identify(_ *Gateway, x *exchange) *apierr.Error {
	if !x.view.index.NeedsKeys() {
		return nil
	}
	value := x.req.Header.Get(headerAuthorization)
	if len(value) > len(bearerScheme) && strings.EqualFold(value[:len(bearerScheme)], bearerScheme) {
		if o, ok := x.view.index.Organisation(strings.TrimSpace(value[len(bearerScheme):])); ok {
			x.organisation = o
			return nil
		}
	}
	if x.route.AllowAnonymous {
		return nil
	}
	return apierr.New(apierr.KindUnauthenticated, "")
}
