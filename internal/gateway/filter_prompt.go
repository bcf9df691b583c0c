package gateway

import (
	"slices"
	"strings"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/quarantine"
)

// maxSharedParts bounds the parts of a prompt that are considered.
const maxSharedParts = 32

// readPrompt reads the parts of the request's prompt. Entries that can't be decoded are passed
// on to the target, which decides about them.
func readPrompt(g *Gateway, x *exchange) *apierr.Error {
	value := x.req.Header.List(g.opts.Headers.Prompt)
	if value == "" || g.opts.PromptParts == nil {
		return nil
	}
	parts, err := g.opts.PromptParts(value)
	if err != nil {
		g.opts.Logger.Info().Str("event", "prompt-undecodable").Str("request", x.id).Err(err).Msg("")
	}
	if len(parts) == 0 {
		return nil
	}
	last := len(parts) - 1
	shared := slices.DeleteFunc(parts[:last:last], func(id string) bool { return !isPartID(id) })
	x.sharedParts = shared[:min(len(shared), maxSharedParts)]
	if isPartID(parts[last]) {
		x.ownPart = parts[last]
	}
	return nil
}

// isPartID reports whether id, which the caller chose, is that of a part and can't be taken for the
// fingerprint of a request.
func isPartID(id string) bool {
	return id != "" && !strings.HasPrefix(id, quarantine.RequestPrefix)
}
