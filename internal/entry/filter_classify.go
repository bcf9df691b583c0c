package entry

import (
	"strings"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

const (
	// headerIdempotencyKey carries the caller's key for a request that must run at most once.
	headerIdempotencyKey = "Idempotency-Key"
	// maxIdempotencyKey bounds an idempotency key in bytes.
	maxIdempotencyKey = 255
)

// classify finds the service and the route, and with it whether the request may
// run more than once.
func classify(_ *Entry, x *exchange) *apierr.Error {
	path := string(x.head.RequestURI())
	name, rest := splitService(path)
	s, ok := x.view.index.Service(name)
	if !ok {
		return apierr.New(apierr.KindUnknownService, name)
	}
	routePath, _, _ := strings.Cut(rest, "?")
	method := string(x.head.Method())
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
	return idempotencyKey(x)
}

// idempotencyKey reads the caller's key; idempotent requests need none.
func idempotencyKey(x *exchange) *apierr.Error {
	key := x.head.Peek(headerIdempotencyKey)
	if len(key) == 0 || x.req.Idempotent {
		return nil
	}
	if len(key) > maxIdempotencyKey {
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
