package agent

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/claims"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Claimer makes a keyed request run at most once; see package claims.
type Claimer interface {
	// Claim decides whether the caller may run the request with the key.
	Claim(ctx context.Context, key claims.Key, digest claims.Digest) (claims.Result, error)
	// Record keeps the outcome of a claimed request.
	Record(t claims.Token, o claims.Outcome)
	// Flush waits until all outcomes are durable, or ctx ends.
	Flush(ctx context.Context) error
}

// claim makes sure that no other run of the same idempotency key can happen. A
// repeat gets the recorded answer.
func claim(a *Agent, r *run) *apierr.Error {
	if r.req.Idempotent || r.req.IdempotencyKey == "" {
		return nil
	}
	key := claims.Key{
		Organisation:   r.req.Organisation,
		Service:        r.req.Service,
		IdempotencyKey: r.req.IdempotencyKey,
	}
	digest := claims.DigestOf([]byte(r.req.Method), []byte(r.req.Path), r.req.Body)
	result, err := a.opts.Claims.Claim(r.caller, key, digest)
	if err != nil {
		return apierr.Wrap(apierr.KindClaimUnavailable, "", err)
	}
	switch result.Status {
	case claims.Claimed:
		r.claimed = true
		r.token = result.Token
		return runnable(result)
	case claims.Answered:
		return r.replay(result.Answer)
	case claims.AnswerNotKept:
		return apierr.New(apierr.KindAnswerNotKept, "")
	case claims.KeyReused:
		return apierr.New(apierr.KindKeyReused, "")
	default:
		return apierr.New(apierr.KindInProgress, "")
	}
}

// runnable refuses a claim that was decided so late that its key may be forgotten.
func runnable(result claims.Result) *apierr.Error {
	if time.Now().Before(result.RunBefore) {
		return nil
	}
	return apierr.New(apierr.KindClaimUnavailable, "the claim was decided too late")
}

// replay sends the recorded answer of an earlier run.
func (r *run) replay(answer *claims.Answer) *apierr.Error {
	headers := append([]message.Header{{Name: headerReplayed, Value: "true"}}, answer.Headers...)
	length := int64(len(answer.Body))
	head := &message.ResponseHead{ID: r.req.ID, Status: answer.Status, Headers: headers, Length: length}
	if err := send(r.caller, r.peer, head); err != nil {
		return err
	}
	if err := sendData(r.job, answer.Body, 0); err != nil {
		return err
	}
	r.sent = length
	r.replayed = true
	return nil
}

// headerReplayed marks an answer that was recorded at the first run of its key.
const headerReplayed = "Gentiantrail-Replayed"

// releaseTimeout bounds the wait until a released claim is durable.
const releaseTimeout = 500 * time.Millisecond

// record writes the outcome of a claimed run. It waits until a release is durable,
// so that the caller's next attempt at another agent finds the key free.
func (a *Agent) record(r *run, err *apierr.Error) {
	if !r.claimed {
		return
	}
	outcome := claims.Outcome{Ran: ran(r, err)}
	if r.kept.complete && !r.kept.tooLarge {
		outcome.Answer = &claims.Answer{Status: r.kept.status, Headers: r.kept.headers, Body: r.kept.body}
	}
	a.opts.Claims.Record(r.token, outcome)
	if !outcome.Ran {
		ctx, cancel := context.WithTimeout(a.parent, releaseTimeout)
		defer cancel()
		_ = a.opts.Claims.Flush(ctx)
	}
}

// ran tells whether a claimed request may have reached its target.
func ran(r *run, err *apierr.Error) bool {
	return phase(r.phase.Load()) == phaseStarted && (err == nil || err.Answer().Outcome != apierr.OutcomeNotRun)
}
