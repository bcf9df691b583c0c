package gateway

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/placement"
)

// hedgeShare is the fraction of the route's objective after which an idempotent request is sent to a
// second target too.
const hedgeShare = 0.6

// Outcomes of hedges in the log and the metrics. The first attempt has failed if the hedge is alone. The request
// has ended if its caller has left or its time is up.
const (
	hedgeStarted   = "started"
	hedgeRefused   = "refused"
	hedgeGoesOn    = "goes-on"
	hedgeNotNeeded = "not-needed"
	hedgeFailed    = "failed"
	hedgeAlone     = "alone"
	hedgeEnded     = "ended"
)

var hedgeOutcomes = []string{hedgeStarted, hedgeRefused, hedgeGoesOn, hedgeNotNeeded, hedgeFailed, hedgeAlone, hedgeEnded}

// run serves a request with one attempt at a time, and with a second one, the hedge, while the first makes
// no progress. Neither is ended for the other before that has gone on: a stream with its next event, another
// request with its whole answer.
type run struct {
	g *Gateway
	x *exchange
	// current is the attempt that the request waits for, and hedge the second one, or nil.
	current, hedge *attempt
	// check fires when the current attempt has made no progress for too long. It is stopped while there is
	// a hedge, and in requests that can't have one.
	check *time.Timer
	// needsStall is true while the current attempt's own silence does not show that it makes no progress,
	// since its answer has not begun.
	needsStall bool
	// resumed is the number of attempts that were made since the response's only one had ended.
	resumed int
	// refusedHedge is true once the log has a line on the lack of a hedge since the last progress.
	refusedHedge bool
}

// follow relays the answer of an attempt, or of others that are made while it lasts. After an error, again is
// true if another target may be tried; last is the attempt that ended last.
func (g *Gateway) follow(x *exchange, first *attempt) (err *apierr.Error, again bool, last *attempt) {
	r := &run{g: g, x: x, current: first, check: time.NewTimer(time.Hour)}
	defer r.check.Stop()
	r.await()
	for {
		var from *attempt
		var s step
		select {
		case s = <-r.current.steps:
			from = r.current
		case s = <-r.hedgeSteps():
			from = r.hedge
		case <-r.check.C:
			r.considerHedge()
			continue
		}
		if end := r.handle(from, s); end != nil {
			return end.err, end.again, from
		}
	}
}

// hedgeSteps returns the channel of the hedge's steps; nil if there is none.
func (r *run) hedgeSteps() <-chan step {
	if r.hedge == nil {
		return nil
	}
	return r.hedge.steps
}

// handle handles a step of one of the attempts. It returns the ending of the request, or nil.
func (r *run) handle(a *attempt, s step) *ending {
	end := a.handle(s)
	if end == nil {
		r.recordProgress(a, s)
		return nil
	}
	other := r.other(a)
	a.release()
	switch {
	case other == nil:
		return r.resume(a, end)
	case end.final:
		r.logHedge(hedgeEnded, end.err)
		other.giveUp(placement.Inconclusive)
		return end
	case end.err == nil:
		r.logHedge(r.outcome(a, hedgeGoesOn, hedgeNotNeeded), nil)
		other.giveUp(r.resultOfOther(a))
		r.x.setTarget(a.target.ID)
		return end
	}
	r.logHedge(r.outcome(a, hedgeFailed, hedgeAlone), end.err)
	r.keep(other)
	return nil
}

// outcome returns the first outcome if the hedge has decided it, and the second one for the first attempt.
func (r *run) outcome(decider *attempt, ofHedge, ofFirst string) string {
	if decider == r.hedge {
		return ofHedge
	}
	return ofFirst
}

// other returns the attempt beside a, or nil.
func (r *run) other(a *attempt) *attempt {
	if a == r.current {
		return r.hedge
	}
	return r.current
}

// resultOfOther returns the result of the attempt beside one whose answer is relayed. A hedge tells nothing
// about its target if it is not needed.
func (r *run) resultOfOther(winner *attempt) placement.Result {
	if winner == r.hedge && r.x.route.Repeat == fleet.Idempotent {
		return placement.Failed // slow
	}
	return placement.Inconclusive
}

// recordProgress handles a step after which its attempt goes on.
func (r *run) recordProgress(a *attempt, s step) {
	switch {
	case r.hedge == nil:
		r.await()
	case s.event == nil || s.event.Comment:
		return
	default:
		r.settle(a)
	}
	if s.event != nil {
		r.refusedHedge = false
		r.endStall(a)
	}
}

// endStall lets the request use the group of an attempt again that goes on after a stall.
func (r *run) endStall(a *attempt) {
	if a.stallRecorded {
		a.stallRecorded, r.x.avoidGroup = false, ""
	}
}

// settle ends the attempt beside one that goes on.
func (r *run) settle(a *attempt) {
	r.logHedge(r.outcome(a, hedgeGoesOn, hedgeNotNeeded), nil)
	loser := r.other(a)
	if loser == r.current {
		r.x.markTried(loser.target.ID)
	}
	loser.giveUp(placement.Inconclusive)
	r.keep(a)
}

// keep makes an attempt the only one.
func (r *run) keep(a *attempt) {
	r.current, r.hedge = a, nil
	r.x.setTarget(a.target.ID)
	r.await()
}

// await sets the check for the wait for the next sign of progress of the only attempt.
func (r *run) await() {
	a, route := r.current, r.x.route
	r.needsStall = false
	switch {
	case route.Repeat == fleet.Idempotent && route.Objective > 0 && a.answer == nil:
		r.rearm(time.Duration(hedgeShare*float64(route.Objective)) - (r.g.now() - a.sent))
	case route.Repeat != fleet.Resumable:
		r.check.Stop()
	case a.answer == nil:
		r.needsStall = true
		r.rearm(0)
	case a.contentOf(a.answer) != contentEvents:
		r.check.Stop()
	case !a.active:
		r.rearm(initialStallTimeout - (r.g.now() - a.headAt))
	default:
		r.rearm(a.nextStallTimeout - time.Since(a.lastRead))
	}
}

// rearm sets the check to d from now, or to the next poll if that is over, if the request may have a hedge.
func (r *run) rearm(d time.Duration) {
	x := r.x
	if !x.route.Repeat.Repeatable() || x.attemptsUsed() || x.headSent && !x.hasEvent {
		r.check.Stop()
		return
	}
	if d <= 0 {
		d = stallPollInterval
	}
	r.check.Reset(d)
}

// considerHedge starts a hedge if the current attempt makes no progress and another target can be had.
// Otherwise it checks again later.
func (r *run) considerHedge() {
	if r.isLate() {
		r.startHedge()
	}
	if r.hedge == nil {
		r.rearm(0)
	}
}

// isLate reports whether the current attempt makes no progress, and another target may go on with the
// request.
func (r *run) isLate() bool {
	a := r.current
	if r.x.route.Repeat == fleet.Idempotent {
		r.g.mu.Lock()
		defer r.g.mu.Unlock()
		return r.g.balancer.HasOtherTarget(r.g.now(), r.x.service, r.x.excluded())
	}
	stalled, alternative := a.stallState()
	// The checks of an answer that has begun come after its own stall timeout, so that they do not depend on
	// the group's other streams.
	return alternative && (stalled || !r.needsStall)
}

// startHedge sends the request to a second target, if the limits of repeats allow it and one is chosen.
func (r *run) startHedge() {
	x, a := r.x, r.current
	if _, refused := r.g.quarantineWait(x); refused {
		r.logNoHedge("quarantine")
		return
	}
	if x.route.Repeat == fleet.Resumable && !a.stallRecorded {
		a.stallRecorded = true
		a.recordStall()
	}
	if !r.g.budgetAllows(x) {
		r.logNoHedge("budget")
		return
	}
	choice, refusal := r.g.choose(x)
	if refusal != placement.NotRefused {
		r.logNoHedge(refusal.String())
		return
	}
	if !a.takeAnother() {
		r.g.recordResult(choice.Target.ID, placement.Inconclusive) // not sent
		return
	}
	r.g.count.repeats.Inc(1)
	r.hedge = r.g.startAttempt(x, choice)
	r.logHedge(hedgeStarted, nil)
}

// resume goes on with a response whose only attempt has ended, at another target. It returns the ending of
// the request, or nil if there is another attempt.
func (r *run) resume(a *attempt, end *ending) *ending {
	x := r.x
	if end.err == nil || end.final || !x.headSent {
		return end
	}
	if !end.again || x.route.Repeat != fleet.Resumable || !x.hasEvent || r.resumed >= maxTries {
		return end
	}
	if r.g.checkQuarantine(x) != nil || !a.takeAnother() {
		return end
	}
	choice, refusal := r.g.choose(x)
	if refusal != placement.NotRefused {
		return end
	}
	r.resumed++
	r.g.count.resumes.Inc(1)
	r.g.logResume(x, end.err)
	r.current = r.g.startAttempt(x, choice)
	r.await()
	return nil
}
