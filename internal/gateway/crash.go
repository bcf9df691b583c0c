package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/quarantine"
	"github.com/gentiantrail/gentiantrail/internal/upstream"
)

// crashCheckTimeout bounds the check whether a target has ended. One that has refuses a
// connection at once.
const crashCheckTimeout = 150 * time.Millisecond

// maxPendingEndChecks bounds the attempts whose targets are to be checked later.
const maxPendingEndChecks = 128

// endCheckDelays are the times between the checks of a target: one that crashes on a request does so soon
// after it has begun to run it, and is away for more than a second.
var endCheckDelays = [...]time.Duration{400 * time.Millisecond, 700 * time.Millisecond}

// errQuarantined cancels an attempt whose request targets crash on.
var errQuarantined = errors.New("targets crash on the request or a part of its prompt")

// screen refuses a request that targets crash on, or on a part of its prompt, and one for which
// another request is being tried.
func screen(g *Gateway, x *exchange) *apierr.Error {
	if !g.suspecting.Load() {
		return nil
	}
	subjects := x.subjects()
	g.mu.Lock()
	verdict, wait := g.quarantine.Admit(g.now(), subjects)
	g.mu.Unlock()
	switch verdict {
	case quarantine.Allowed:
		return nil
	case quarantine.Trial:
		x.trial = true
		g.opts.Logger.Info().Str("event", "trial").Str("request", x.id).Str("fingerprint", x.fingerprint()).Msg("")
		return nil
	default:
		return g.quarantineError(verdict, wait)
	}
}

// returnTrial lets another request be tried in place of one that reached no target.
func (g *Gateway) returnTrial(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.ReturnTrial(x.subjects())
}

// checkQuarantine refuses a request that was admitted before it, or a part of its prompt, was
// quarantined.
func (g *Gateway) checkQuarantine(x *exchange) *apierr.Error {
	wait, refused := g.quarantineWait(x)
	if !refused {
		return nil
	}
	return g.quarantineError(quarantine.Quarantined, wait)
}

// quarantineWait returns whether the request is quarantined, and until when.
func (g *Gateway) quarantineWait(x *exchange) (wait time.Duration, refused bool) {
	if !g.suspecting.Load() {
		return 0, false
	}
	subjects := x.subjects()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Refuses(g.now(), subjects)
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
	if a.answered || a.began == 0 {
		return
	}
	a.answered = true
	subjects := a.x.sharedParts
	if a.g.suspecting.Load() {
		subjects = a.x.subjects()
	}
	a.recordSound(a.x.localKeys(a.g.answeredRequests.Seed), subjects)
}

// recordRejection records an answer by which the target rejects the request. It shows that the
// request is sound, but not that the target has looked at the parts of its prompt.
func (a *attempt) recordRejection() {
	a.answered, a.began = true, a.g.now()
	keys := a.x.localKeys(a.g.answeredRequests.Seed)
	keys.ownPart = 0
	var subjects []string
	if a.g.suspecting.Load() {
		subjects = []string{a.x.fingerprint()}
	}
	a.recordSound(keys, subjects)
}

// recordSound records an answer that began at a.began, to a request with the local keys, and what
// it speaks for.
func (a *attempt) recordSound(keys localKeys, subjects []string) {
	a.g.mu.Lock()
	a.g.answeredRequests.record(a.began, keys)
	a.g.quarantine.RecordAnswer(a.began, subjects)
	decisions := a.g.quarantine.TakeDecisions()
	a.g.mu.Unlock()
	a.g.logQuarantineDecisions(decisions)
	for _, d := range decisions {
		if d.Released {
			a.g.records.remove(d.Subject)
		}
	}
}

// trackUnanswered lets the attempt be cancelled if the request is quarantined, until
// untrackUnanswered is called.
func (a *attempt) trackUnanswered() {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.g.unanswered[a] = struct{}{}
}

// untrackUnanswered ends that. It is called when the first event of a stream is passed on to
// the caller, and at the end of the attempt.
func (a *attempt) untrackUnanswered() {
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

// recordEnd handles a connection that the target ended, and reports whether the target is known to
// have ended too. A target that does not answer is checked again.
func (a *attempt) recordEnd() (targetEnded bool) {
	if len(a.x.live) > 1 {
		a.checkEndedLater() // the check may take a while, and the other attempt may have events
		return false
	}
	result := a.checkEnded()
	if result == upstream.Unanswered {
		a.checkEndedLater()
	}
	return result == upstream.Refused
}

// checkEnded connects to the target to find out whether it has ended. If so, and if the request does not
// count as answered, the request and the parts of its prompt come under suspicion.
func (a *attempt) checkEnded() upstream.ProbeResult {
	if a.answered {
		return upstream.Connected
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.x.ctx), crashCheckTimeout)
	defer cancel()
	result := upstream.Probe(ctx, a.target.Address)
	if result == upstream.Refused {
		a.g.logCrash(a)
		a.g.recordCrash(a.x, a.target, a.answerBegun)
	}
	return result
}

// recordGivenUp has the target of an attempt that this gateway has ended checked a short time later: it
// may still crash on the request.
func (a *attempt) recordGivenUp() {
	a.givenUp = true
	a.checkEndedLater()
}

// checkEndedLater checks the target after a while, and again if that leaves open whether it ends.
func (a *attempt) checkEndedLater() {
	if a.answered || a.laterChecks >= len(endCheckDelays) {
		return
	}
	if a.g.pendingEndChecks.Add(1) > maxPendingEndChecks {
		a.g.pendingEndChecks.Add(-1)
		return
	}
	delay := endCheckDelays[a.laterChecks]
	a.laterChecks++
	time.AfterFunc(delay, func() {
		a.g.pendingEndChecks.Add(-1)
		result := upstream.Connected
		if !a.g.client.HasOpenIdle(a.target.Address) {
			result = a.checkEnded()
		}
		if result == upstream.Unanswered || result == upstream.Connected && a.givenUp {
			a.checkEndedLater()
		}
	})
}

// recordCrash records that a target ended under a request.
func (g *Gateway) recordCrash(x *exchange, target placement.Target, answerBegun bool) {
	keys := x.localKeys(g.answeredRequests.Seed)
	subjects := x.subjects()
	g.mu.Lock()
	if at, ok := g.answeredRequests.time(keys.request); ok {
		g.quarantine.RecordAnswer(at, []string{x.fingerprint()})
	}
	if at, ok := g.answeredRequests.time(keys.ownPart); ok && x.ownPart != "" {
		g.quarantine.RecordAnswer(at, []string{x.ownPart})
	}
	g.quarantine.RecordCrash(g.now(), crashKey(target), subjects, answerBegun)
	decisions := g.applyEvidence()
	g.mu.Unlock()
	g.logQuarantineDecisions(decisions)
	g.records.saveSoon()
}

// crashKey returns a short key of one run of a target, which may start again under its id.
func crashKey(t placement.Target) uint32 {
	if t.Lifetime == 0 {
		return placement.TargetKey(t.ID)
	}
	return placement.TargetKey(t.ID + "/" + strconv.FormatInt(t.Lifetime, 10))
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
	g.logQuarantineDecisions(decisions)
}

// applyEvidence cancels the attempts that are quarantined by now, has new evidence sent to the
// other gateways at once, and returns the decisions for the log. g.mu must be held.
func (g *Gateway) applyEvidence() []quarantine.Decision {
	g.suspecting.Store(g.quarantine.Suspects())
	if g.quarantine.TakeChanged() {
		select {
		case g.evidenceChanged <- struct{}{}:
		default: // a message is pending already
		}
	}
	if g.quarantine.TakeJudged() {
		g.cancelQuarantined()
	}
	return g.quarantine.TakeDecisions()
}

// cancelQuarantined cancels the attempts that are quarantined by now. g.mu must be held.
func (g *Gateway) cancelQuarantined() {
	for a := range g.unanswered {
		if _, refused := g.quarantine.Refuses(g.now(), a.x.subjects()); refused {
			a.cancel(errQuarantined)
		}
	}
}
