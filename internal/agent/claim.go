package agent

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/claims"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Claimer ensures that a request with an idempotency key runs at most once; see package claims.
type Claimer interface {
	// Claim decides whether the agent may run the request with the key.
	Claim(ctx context.Context, key claims.Key, digest claims.Digest) (claims.Result, error)
	// Record records the outcome of a claimed request.
	Record(t claims.Token, o claims.Outcome)
	// Flush waits until all recorded outcomes are durable or ctx ends.
	Flush(ctx context.Context) error
}

// claim claims the request's idempotency key, so that no other request with the key runs.
// A repeated request gets the recorded answer.
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
	result, err := a.opts.Claims.Claim(r.callerCtx, key, digest)
	if err != nil {
		return apierr.Wrap(apierr.KindClaimUnavailable, "", err)
	}
	switch result.Status {
	case claims.Claimed:
		r.claimed = true
		r.token = result.Token
		r.runBefore = result.RunBefore
		return nil
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

// replay sends the recorded answer of an earlier run.
func (r *run) replay(answer *claims.Answer) *apierr.Error {
	headers := append([]message.Header{{Name: headerReplayed, Value: "true"}}, answer.Headers...)
	length := int64(len(answer.Body))
	head := &message.ResponseHead{ID: r.req.ID, Status: answer.Status, Headers: headers, Length: length}
	if err := send(r.callerCtx, r.peer, head); err != nil {
		return err
	}
	if err := sendData(r.job, answer.Body, 0); err != nil {
		return err
	}
	r.sent = length
	r.replayed = true
	return nil
}

// headerReplayed is the header of an answer that was recorded during an earlier run with
// the same key.
const headerReplayed = "Gentiantrail-Replayed"

// releaseTimeout is the maximum wait for a released claim to become durable.
const releaseTimeout = 500 * time.Millisecond

// record records the outcome of a claimed run. A run whose outcome is unknown stays in
// progress. If the request never ran, record releases the key and waits, for at most
// releaseTimeout, until the release is durable, so that the caller's next attempt at
// another agent finds the key free.
func (a *Agent) record(r *run, err *apierr.Error) {
	if !r.claimed {
		return
	}
	switch {
	case r.buffer.complete:
		a.opts.Claims.Record(r.token, claims.Outcome{Ran: true, Answer: r.buffer.answer()})
	case neverRan(r, err):
		a.opts.Claims.Record(r.token, claims.Outcome{})
		ctx, cancel := context.WithTimeout(a.baseCtx, releaseTimeout)
		defer cancel()
		_ = a.opts.Claims.Flush(ctx)
	}
}

// neverRan reports whether a claimed request is known not to have run at the target.
func neverRan(r *run, err *apierr.Error) bool {
	if phase(r.phase.Load()) != phaseStarted {
		return true
	}
	return err != nil && err.Answer().Outcome == apierr.OutcomeNotRun
}
