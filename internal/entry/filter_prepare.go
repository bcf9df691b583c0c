package entry

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

const (
	// ownHeaderPrefix starts the headers that are meant for gentiantrail itself.
	ownHeaderPrefix = "gentiantrail-"
	// prefixBytes is the part of a body that identifies its prompt prefix, in bytes.
	prefixBytes = 512
)

// checkBody bounds the body by the service's limit.
func checkBody(_ *Entry, x *exchange) *apierr.Error {
	if len(x.req.Body) > int(x.service.MaxBody) {
		return apierr.New(apierr.KindBodyTooLarge, "the limit is "+x.service.MaxBody.String())
	}
	return nil
}

// prepare copies the headers for the target and hashes the prompt prefix.
func prepare(_ *Entry, x *exchange) *apierr.Error {
	for k, v := range x.head.All() {
		if name := string(k); forTarget(name) {
			x.req.Headers = append(x.req.Headers, message.Header{Name: name, Value: string(v)})
		}
	}
	pool, ok := x.view.index.Pool(x.service.Pool)
	if ok && pool.Kind == config.TargetModel {
		x.req.PrefixHash = prefixHash(x.organisation.Name, x.req.Body)
	}
	return nil
}

// forTarget reports whether a caller's header is passed on.
func forTarget(name string) bool {
	lower := strings.ToLower(name)
	switch lower {
	case "authorization", "expect", "idempotency-key", "host", "content-length", "connection":
		return false
	default:
		return !strings.HasPrefix(lower, ownHeaderPrefix)
	}
}

// prefixHash identifies the start of an organisation's prompt; it is never zero.
func prefixHash(organisation string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(organisation)
	_, _ = d.Write(body[:min(len(body), prefixBytes)])
	return max(d.Sum64(), 1)
}
