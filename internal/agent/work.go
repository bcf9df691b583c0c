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

// stage is one step of a job's way; a non-nil error ends the job with its answer.
type stage func(a *Agent, r *run) *apierr.Error

// stages is the way of an admitted job.
var stages = []stage{claim, begin, call, relayAnswer}

// run is a job in its goroutine.
type run struct {
	*job
	began time.Time
	// claimed tells that token is held and the outcome must be recorded.
	claimed bool
	token   claims.Token
	// runBefore is when a claimed key may be forgotten; a run must begin earlier.
	runBefore time.Time
	// replayed tells that the claim stage found a recorded answer and sent it.
	replayed bool
	resp     *target.Response
	kept     keptAnswer
	sent     int64
	// ended tells that the final frame has been sent.
	ended bool
}

// work takes a job through its stages and reports its end.
func (a *Agent) work(j *job) {
	r := &run{job: j, began: time.Now()}
	var err *apierr.Error
	for _, s := range stages {
		if err = s(a, r); err != nil || r.replayed {
			break
		}
	}
	if r.resp != nil {
		r.resp.Close()
	}
	a.record(r, err)
	a.end(r, err)
}

// begin passes the point of no return; a withdrawn job ends here.
func begin(_ *Agent, r *run) *apierr.Error {
	now := time.Now()
	switch {
	case now.After(r.deadline) && r.withdraw():
		return apierr.New(apierr.KindDeadlineUnreachable, "the deadline passed before the request started")
	case r.claimed && !now.Before(r.runBefore) && r.withdraw():
		return apierr.New(apierr.KindClaimUnavailable, "the key's window may have passed")
	case !r.start():
		return apierr.New(apierr.KindWithdrawn, "")
	default:
		return nil
	}
}

// end sends the final frame and reports the result to the control goroutine.
func (a *Agent) end(r *run, err *apierr.Error) {
	notRun := err != nil && err.Answer().Outcome == apierr.OutcomeNotRun
	took := time.Since(r.began)
	if !r.ended {
		a.sendEnd(r, err)
	}
	a.logEnd(r, err, took)
	a.post(finished{
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

// causedByCaller reports whether a failure says nothing about the target.
func causedByCaller(k apierr.Kind) bool {
	return k == apierr.KindCancelled || k == apierr.KindLinkLost
}

func (a *Agent) sendEnd(r *run, err *apierr.Error) {
	end := &message.ResponseEnd{ID: r.req.ID, Length: r.sent, Load: *a.load.Load()}
	if err != nil {
		end = refusal(r.req.ID, err, *a.load.Load())
	}
	ctx, cancel := context.WithTimeout(a.parent, time.Second)
	defer cancel()
	_ = send(ctx, r.peer, end)
}

func (a *Agent) logEnd(r *run, err *apierr.Error, took time.Duration) {
	kind := apierr.KindNone
	if err != nil {
		kind = err.Kind
	}
	a.ends.Record(kind, took)
	line := a.opts.Logger.Info().Str("event", "ran").Str("request", r.req.Trace).
		Str("organisation", r.req.Organisation).Str("service", r.req.Service).
		Str("kind", kind.String()).Dur("took", took).Int64("bytes", r.sent)
	if err != nil {
		line = line.Str("detail", err.Error())
	}
	line.Msg("")
}
