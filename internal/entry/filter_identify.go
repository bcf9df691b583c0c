package entry

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// bearerPrefix starts an Authorization header with an API key.
const bearerPrefix = "Bearer "

// identify finds the organisation of the API key.
func identify(_ *Entry, x *exchange) *apierr.Error {
	if x.view.index == nil {
		return apierr.New(apierr.KindConfigUnavailable, "")
	}
	key, ok := strings.CutPrefix(string(x.head.Peek(fasthttp.HeaderAuthorization)), bearerPrefix)
	if !ok || key == "" {
		return apierr.New(apierr.KindUnauthenticated, "send Authorization: Bearer KEY")
	}
	o, ok := x.view.index.OrganisationByKey(key)
	if !ok {
		return apierr.New(apierr.KindUnauthenticated, "the API key is unknown")
	}
	x.organisation = o
	x.req.Organisation = o.Name
	return nil
}
