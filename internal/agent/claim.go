package agent

import "github.com/gentiantrail/gentiantrail/internal/apierr"

// Claimer makes a keyed request run at most once.
type Claimer interface{}

// claim makes sure that no other run of the same idempotency key can happen.
func claim(_ *Agent, r *run) *apierr.Error {
	if r.req.Idempotent || r.req.IdempotencyKey == "" {
		return nil
	}
	return apierr.New(apierr.KindClaimUnavailable, "claims are not configured")
}

// record writes the outcome of a claimed run.
func (a *Agent) record(_ *run, _ *apierr.Error) {}
