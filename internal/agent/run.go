package agent

import (
	"context"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/admission"
	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/claims"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/target"
)

// minFinalFrameTime is the least time in which the final frame of a run has to be queued on
// the link; one that ends earlier than its deadline has the time until then.
const minFinalFrameTime = time.Second

// stage is one step of a run; a non-nil error ends the run and is sent to the entry.
type stage func(a *Agent, r *run) *apierr.Error

// stages lists the steps of a run in order.
var stages = []stage{claim, begin, call, relayAnswer}

// run is the execution of an admitted job; its goroutine owns it.
type run struct {
	*job
	admittedAt time.Time
	// claimed is true once the key has been claimed with token; the outcome must be recorded.
	claimed bool
	token   claims.Token
	// runBefore is the time from which the claim of a key may be forgotten; the request must
	// start earlier.
	runBefore time.Time
	// replayed is true once the claim stage has sent a recorded answer.
	replayed bool
	resp     *target.Response
	buffer   answerBuffer
	sent     int64
	// endSent is true once the final frame has been sent.
	endSent bool
}

// runJob runs a job's stages, records the outcome and reports the result.
func (a *Agent) runJob(j *job) {
	r := &run{job: j, admittedAt: time.Now()}
	var err *apierr.Error
	for _, s := range stages {
		if err = s(a, r); err != nil || r.replayed {
			break
		}
	}
	if r.resp != nil {
		r.resp.Close()
	}
	a.checkTargetEnd(r, err)
	a.record(r, err)
	a.end(r, err)
}

// begin marks the job as started: from then on it cannot be withdrawn. A job that was
// withdrawn, is past its deadline or has an expired claim ends here.
func begin(_ *Agent, r *run) *apierr.Error {
	now := time.Now()
	switch {
	case now.After(r.deadline) && r.tryWithdraw():
		return apierr.New(apierr.KindDeadlineUnreachable, "the deadline passed before the request started")
	case r.claimed && !now.Before(r.runBefore) && r.tryWithdraw():
		return apierr.New(apierr.KindClaimUnavailable, "the key's window may have passed")
	case !r.tryStart():
		return apierr.New(apierr.KindWithdrawn, "")
	default:
		return nil
	}
}

// end sends the final frame, unless it has been sent, and reports the result to the control
// goroutine.
func (a *Agent) end(r *run, err *apierr.Error) {
	notRun := err != nil && err.Answer().Outcome == apierr.OutcomeNotRun
	took := time.Since(r.admittedAt)
	if !r.endSent {
		a.sendEnd(r, err)
	}
	a.logEnd(r, err, took)
	a.post(jobFinished{
		job:    r.job,
		notRun: notRun,
		result: admission.Result{
			ServiceTime: took,
			Work:        float64(max(r.sent, 1)),
			OK:          err == nil,
			Cancelled:   r.replayed || notRun || (err != nil && causedByCaller(err.Kind)),
		},
	})
}

// causedByCaller reports whether a failure is due to the caller or the link to it and so
// says nothing about the target.
func causedByCaller(k apierr.Kind) bool {
	return k == apierr.KindCancelled || k == apierr.KindLinkLost
}

func (a *Agent) sendEnd(r *run, err *apierr.Error) {
	end := &message.ResponseEnd{ID: r.req.ID, Length: r.sent, Load: *a.load.Load()}
	if err != nil {
		end = failureFrame(r.req.ID, err, *a.load.Load())
	}
	ctx, cancel := context.WithTimeout(a.baseCtx, max(time.Until(r.deadline), minFinalFrameTime))
	defer cancel()
	_ = send(ctx, r.peer, end)
}

func (a *Agent) logEnd(r *run, err *apierr.Error, took time.Duration) {
	kind := apierr.KindNone
	if err != nil {
		kind = err.Kind
	}
	a.metrics.Record(kind, took)
	line := a.opts.Logger.Info().Str("event", "ran").Str("request", r.req.RequestID).
		Str("organisation", r.req.Organisation).Str("service", r.req.Service).
		Str("kind", kind.String()).Dur("took", took).Int64("bytes", r.sent)
	if err != nil {
		line = line.Str("detail", err.Error())
	}
	line.Msg("")
}
