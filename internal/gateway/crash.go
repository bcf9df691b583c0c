package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/quarantine"
	"github.com/gentiantrail/gentiantrail/internal/upstream"
)

// crashCheckTimeout bounds the check whether a target has ended. One that has refuses a
// connection at once.
const crashCheckTimeout = 150 * time.Millisecond

// errQuarantined cancels an attempt whose request has a part that targets crash on.
var errQuarantined = errors.New("targets crash on a part of the prompt")

// screenPrompt refuses a request with a part that targets crash on, and one with a part that
// another request is being tried with.
func screenPrompt(g *Gateway, x *exchange) *apierr.Error {
	if len(x.sharedParts) == 0 {
		return nil
	}
	g.mu.Lock()
	verdict, wait := g.quarantine.Admit(g.now(), x.sharedParts)
	g.mu.Unlock()
	if verdict == quarantine.Allowed || verdict == quarantine.Trial {
		x.trial = verdict == quarantine.Trial
		return nil
	}
	return g.quarantineError(verdict, wait)
}

// returnTrial lets another request be tried in place of one that reached no target.
func (g *Gateway) returnTrial(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.ReturnTrial(x.sharedParts)
}

// checkQuarantine refuses a request that was admitted before a part of its prompt was
// quarantined.
func (g *Gateway) checkQuarantine(x *exchange) *apierr.Error {
	if len(x.sharedParts) == 0 {
		return nil
	}
	g.mu.Lock()
	wait, refused := g.quarantine.Refuses(g.now(), x.sharedParts)
	g.mu.Unlock()
	if !refused {
		return nil
	}
	return g.quarantineError(quarantine.Quarantined, wait)
}

// quarantineError returns the error of a request that may be sent again after wait.
func (g *Gateway) quarantineError(verdict quarantine.Verdict, wait time.Duration) *apierr.Error {
	g.count.quarantined.Inc(1)
	err := apierr.New(apierr.KindQuarantined, verdict.String())
	err.RetryAfter = wait
	return err
}

// recordAnswer records a successful answer, or a stream that has gone on for answeredAfter.
func (a *attempt) recordAnswer() {
	if a.answered || a.began == 0 || len(a.x.sharedParts) == 0 {
		return
	}
	a.answered = true
	a.g.mu.Lock()
	a.g.quarantine.RecordAnswer(a.began, a.x.sharedParts)
	decisions := a.g.quarantine.TakeDecisions()
	a.g.mu.Unlock()
	a.g.logPartDecisions(decisions)
}

// trackUnanswered lets the attempt be cancelled if a part of the request's prompt is
// quarantined, until untrackUnanswered is called.
func (a *attempt) trackUnanswered() {
	if len(a.x.sharedParts) == 0 {
		return
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.g.unanswered[a] = struct{}{}
}

// untrackUnanswered ends that. It is called when the first event of a stream is passed on to
// the caller, and at the end of the attempt.
func (a *attempt) untrackUnanswered() {
	if len(a.x.sharedParts) == 0 {
		return
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	delete(a.g.unanswered, a)
}

// recordComplete records an answer that was read to its end. An answer without a length also
// looks complete if its target ended while writing it.
func (a *attempt) recordComplete(answer *upstream.Answer) {
	if answer.EndsWithConnection && a.recordEnd() {
		return
	}
	a.recordAnswer()
}

// recordEnd handles a connection that the target ended, and reports whether the target has
// ended too. If so, and if the request does not count as answered, the parts of its prompt come
// under suspicion.
func (a *attempt) recordEnd() (targetEnded bool) {
	if a.answered {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.x.ctx), crashCheckTimeout)
	defer cancel()
	if !upstream.Refuses(ctx, a.target.Address) {
		return false
	}
	a.g.logCrash(a)
	if len(a.x.sharedParts) == 0 {
		return true
	}
	a.g.mu.Lock()
	a.g.quarantine.RecordCrash(a.g.now(), placement.TargetKey(a.target.ID), a.x.sharedParts, a.answerBegun)
	decisions := a.g.applyEvidence()
	a.g.mu.Unlock()
	a.g.logPartDecisions(decisions)
	return true
}

// mergeEvidence adds the evidence of another gateway.
func (g *Gateway) mergeEvidence(evidence []quarantine.Evidence) {
	if len(evidence) == 0 {
		return
	}
	g.mu.Lock()
	g.quarantine.Merge(g.now(), evidence)
	decisions := g.applyEvidence()
	g.mu.Unlock()
	g.logPartDecisions(decisions)
}

// applyEvidence cancels the attempts that are quarantined by now, has new evidence sent to the
// other gateways at once, and returns the decisions for the log. g.mu must be held.
func (g *Gateway) applyEvidence() []quarantine.Decision {
	if g.quarantine.TakeChanged() {
		select {
		case g.evidenceChanged <- struct{}{}:
		default: // a message is pending already
		}
	}
	for a := range g.unanswered {
		if _, refused := g.quarantine.Refuses(g.now(), a.x.sharedParts); refused {
			a.cancel(errQuarantined)
		}
	}
	return g.quarantine.TakeDecisions()
}
