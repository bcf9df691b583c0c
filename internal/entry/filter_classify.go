package entry

import (
	"strings"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

const (
	// headerIdempotencyKey carries the caller's key for a request that must run at most once.
	headerIdempotencyKey = "Idempotency-Key"
	// maxIdempotencyKeySize is the maximum size of an idempotency key in bytes.
	maxIdempotencyKeySize = 255
)

// classify finds the service and the route. The route determines whether the request
// may run more than once.
func classify(_ *Entry, x *exchange) *apierr.Error {
	path := string(x.header.RequestURI())
	name, rest := splitService(path)
	s, ok := x.view.index.Service(name)
	if !ok {
		return apierr.New(apierr.KindUnknownService, name)
	}
	routePath, _, _ := strings.Cut(rest, "?")
	method := string(x.header.Method())
	route, found, pathKnown := s.Route(method, routePath)
	if !found && pathKnown {
		return apierr.New(apierr.KindMethodNotAllowed, method+" "+routePath)
	}
	if !found {
		return apierr.New(apierr.KindUnknownService, path)
	}
	x.service = s
	x.route = route
	x.req.Service = s.Name
	x.req.Method = method
	x.req.Path = rest
	x.req.Idempotent = route.Idempotent
	x.req.Priority = route.Priority
	return readIdempotencyKey(x)
}

// readIdempotencyKey reads and checks the caller's idempotency key. The key of an
// idempotent request is ignored, as such a request needs none.
func readIdempotencyKey(x *exchange) *apierr.Error {
	key := x.header.Peek(headerIdempotencyKey)
	if len(key) == 0 || x.req.Idempotent {
		return nil
	}
	if len(key) > maxIdempotencyKeySize {
		return apierr.New(apierr.KindBadIdempotencyKey, "the key is longer than 255 bytes")
	}
	for _, b := range key {
		if b < ' ' || b > '~' {
			return apierr.New(apierr.KindBadIdempotencyKey, "the key has a character that is not printable ASCII")
		}
	}
	x.req.IdempotencyKey = string(key)
	return nil
}

// splitService splits /SERVICE/REST into its parts.
func splitService(path string) (name, rest string) {
	path = strings.TrimPrefix(path, "/")
	name, rest, _ = strings.Cut(path, "/")
	name, _, _ = strings.Cut(name, "?")
	return name, "/" + rest
}
