package gateway

import (
	"slices"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
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
	shared := slices.DeleteFunc(parts[:max(0, len(parts)-1)], func(id string) bool { return id == "" })
	x.sharedParts = shared[:min(len(shared), maxSharedParts)]
	return nil
}
