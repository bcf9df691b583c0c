package entry

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// bearerPrefix precedes the API key in an Authorization header.
const bearerPrefix = "Bearer "

// identify finds the organisation that the caller's API key belongs to.
func identify(_ *Entry, x *exchange) *apierr.Error {
	if x.view.index == nil {
		return apierr.New(apierr.KindConfigUnavailable, "")
	}
	key, ok := strings.CutPrefix(string(x.header.Peek(fasthttp.HeaderAuthorization)), bearerPrefix)
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
