package entry

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

const (
	// reservedHeaderPrefix is the prefix of headers that are meant for gentiantrail itself.
	reservedHeaderPrefix = "gentiantrail-"
	// promptPrefixSize is the number of bytes at the start of a body that identify its
	// prompt prefix.
	promptPrefixSize = 512
)

// checkBodySize refuses a body above the service's limit.
func checkBodySize(_ *Entry, x *exchange) *apierr.Error {
	if len(x.req.Body) > int(x.service.MaxBody) {
		return apierr.New(apierr.KindBodyTooLarge, "the limit is "+x.service.MaxBody.String())
	}
	return nil
}

// prepareRequest copies the headers for the target and, for a pool of kind model,
// hashes the prompt prefix.
func prepareRequest(_ *Entry, x *exchange) *apierr.Error {
	for k, v := range x.header.All() {
		if name := string(k); isForwarded(name) {
			x.req.Headers = append(x.req.Headers, message.Header{Name: name, Value: string(v)})
		}
	}
	pool, ok := x.view.index.Pool(x.service.Pool)
	if ok && pool.Kind == config.TargetModel {
		x.req.PrefixHash = prefixHash(x.organisation.Name, x.req.Body)
	}
	return nil
}

// isForwarded reports whether a caller's header is passed on to the target.
func isForwarded(name string) bool {
	lower := strings.ToLower(name)
	switch lower {
	case "authorization", "expect", "idempotency-key", "host", "content-length", "connection":
		return false
	default:
		return !strings.HasPrefix(lower, reservedHeaderPrefix)
	}
}

// prefixHash identifies the start of an organisation's prompt; it is never zero.
func prefixHash(organisation string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(organisation)
	_, _ = d.Write(body[:min(len(body), promptPrefixSize)])
	return max(d.Sum64(), 1)
}
