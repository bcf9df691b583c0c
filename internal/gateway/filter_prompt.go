package gateway

import "github.com/gentiantrail/gentiantrail/internal/apierr"

// maxSharedParts bounds the parts of a prompt that are considered.
const maxSharedParts = 32

// readPrompt reads the parts of the request's prompt. A list that can't be decoded is passed
// on to the target, which decides about it.
func readPrompt(g *Gateway, x *exchange) *apierr.Error {
	value := x.req.Header.Get(g.opts.Headers.Prompt)
	if value == "" || g.opts.PromptParts == nil {
		return nil
	}
	parts, err := g.opts.PromptParts(value)
	if err != nil {
		g.opts.Logger.Info().Str("event", "prompt-undecodable").Str("request", x.id).Err(err).Msg("")
		return nil
	}
	if shared := len(parts) - 1; shared > 0 {
		x.sharedParts = parts[:min(shared, maxSharedParts)]
	}
	return nil
}
