package gateway

import (
	"strings"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/priority"
	"github.com/gentiantrail/gentiantrail/internal/quarantine"
	"github.com/gentiantrail/gentiantrail/internal/retry"
)

// logRequest writes the log line of a finished exchange, the only one if no attempt
// failed, and records the exchange in the metrics.
func (g *Gateway) logRequest(x *exchange, err *apierr.Error) {
	kind := apierr.KindNone
	if err != nil {
		kind = err.Kind
	}
	took := time.Since(x.arrived)
	g.requestMetrics.Record(kind, took)
	line := g.opts.Logger.Info().Str("event", "request").Str("request", x.id).
		Str("kind", kind.String()).Str("outcome", kind.Answer().Outcome.String()).Int("status", x.status).
		Str("service", x.service).Str("target", x.target).Int("attempts", x.attempts).
		Int64("took_ms", took.Milliseconds())
	if x.route != nil {
		line = line.Str("route", x.route.Name)
	}
	if x.leveled {
		line = line.Str("priority", priority.LevelName(x.level))
	}
	if x.view.index != nil {
		line = line.Int64("config_version", x.view.index.Config.Version)
	}
	if x.organisation != nil {
		line = line.Str("organisation", x.organisation.Name)
	}
	if x.hasEvent {
		line = line.Int64("last_event", x.lastEvent).Int64("first_event_ms", x.firstEvent.Milliseconds()).
			Int64("longest_gap_ms", x.longestGap.Milliseconds())
	}
	if kind == apierr.KindQuarantined {
		line = line.Str("fingerprint", x.fingerprint()).Str("parts", strings.Join(x.sharedParts, ","))
	}
	if stop := g.timeSinceSignal(); stop > 0 {
		line = line.Int64("stop_ms", stop.Milliseconds())
	}
	if err != nil {
		line = line.Str("detail", err.Error())
	}
	line.Msg("")
}

// logStopping writes the log line of a stop that begins, with the longest time that may have passed until the
// signal was noticed, apart from delays that are not detected as pauses of the process, and the times that are
// left until requests are refused and until the stop ends.
func (g *Gateway) logStopping() {
	times := g.stopTimes.Load()
	g.opts.Logger.Info().Str("event", "stopping").Int64("requests", g.inFlight.Load()).
		Int64("signal_age_ms", times.noticed.Sub(times.signalled).Milliseconds()).
		Int64("refuses_in_ms", max(0, admissionTime-g.timeSinceSignal()).Milliseconds()).
		Int64("ends_in_ms", max(0, times.timeToEnd()).Milliseconds()).Msg("")
}

// logAttempt writes the log line of a failed attempt with the inputs that decided its
// target and the parts of its prompt that other requests may have too, and the request's
// fingerprint unless it has certainly not run.
func (g *Gateway) logAttempt(a *attempt, err *apierr.Error) {
	x, c := a.x, a.choice
	line := g.opts.Logger.Info().Str("event", "attempt-failed").Str("request", x.id).Str("target", c.Target.ID).
		Int("attempt", x.attempts).Int("load", c.Load).Int("slots", c.Target.Slots).
		Int64("report_age_ms", c.ReportAge.Milliseconds()).Str("kind", err.Kind.String()).
		Bool("answer_begun", a.answerBegun).Str("parts", strings.Join(x.sharedParts, ","))
	if err.Answer().Outcome != apierr.OutcomeNotRun {
		line = line.Str("fingerprint", x.fingerprint())
	}
	line.Str("detail", err.Error()).Msg("")
}

// logCrash writes the log line of a target that ended under a request that does not count as
// answered.
func (g *Gateway) logCrash(a *attempt) {
	g.count.crashes.Inc(1)
	g.opts.Logger.Warn().Str("event", "target-crashed").Str("request", a.x.id).Str("target", a.target.ID).
		Bool("answer_begun", a.answerBegun).Str("fingerprint", a.x.fingerprint()).
		Str("parts", strings.Join(a.x.sharedParts, ",")).Msg("")
}

// logQuarantineDecisions writes a log line for each change of what is believed of the parts of
// prompts and of requests.
func (g *Gateway) logQuarantineDecisions(decisions []quarantine.Decision) {
	for _, d := range decisions {
		g.opts.Logger.Warn().Str("event", "belief").Str("topic", "quarantine").Str("subject", d.Subject).
			Str("outcome", string(d.Outcome)).Int("crashes", d.Crashes).Msg("")
	}
}

// logResume writes the log line of a stream that is about to resume at another target.
func (g *Gateway) logResume(x *exchange, err *apierr.Error) {
	g.opts.Logger.Info().Str("event", "stream-resumed").Str("request", x.id).Str("target", x.target).
		Int64("last_event", x.lastEvent).Str("avoided_group", x.avoidGroup).Str("detail", err.Error()).Msg("")
}

// logHedge writes the log line of a change of the request's hedge: "started", "goes-on" (its answer is relayed,
// and the first attempt is given up), "not-needed" (the first attempt has gone on), "failed" (the first one is
// waited for), "alone" (the first attempt has failed, and the hedge is waited for) or "ended" (its caller has left
// or its time is up).
func (r *run) logHedge(outcome string, err *apierr.Error) {
	x := r.x
	r.g.count.hedges[outcome].Inc(1)
	line := r.g.opts.Logger.Info().Str("event", "hedge").Str("request", x.id).Str("outcome", outcome).
		Str("first", r.current.target.ID).Str("target", r.hedge.target.ID).Bool("first_answer_begun", r.current.answerBegun).
		Int64("first_age_ms", (r.g.now()-r.current.sent).Milliseconds()).Int64("age_ms", (r.g.now() - r.hedge.sent).Milliseconds())
	if x.hasEvent {
		line = line.Int64("last_event", x.lastEvent).Int64("last_event_ms_ago", time.Since(x.lastEventAt).Milliseconds())
	}
	if err != nil {
		line = line.Str("detail", err.Error())
	}
	line.Msg("")
}

// logNoHedge writes the log line of a request that makes no progress and can't be sent to a second target, once
// until it makes progress.
func (r *run) logNoHedge(reason string) {
	if r.refusedHedge {
		return
	}
	r.refusedHedge = true
	r.g.count.hedges[hedgeRefused].Inc(1)
	r.g.opts.Logger.Info().Str("event", "hedge").Str("request", r.x.id).Str("outcome", hedgeRefused).Str("reason", reason).
		Str("first", r.current.target.ID).Int64("first_age_ms", (r.g.now() - r.current.sent).Milliseconds()).Msg("")
}

// logRepeat writes the log line of a decision on a repeat, with what the service's retry budget counted
// before it and the time since the process's start.
func (g *Gateway) logRepeat(x *exchange, status retry.FleetStatus, granted bool, age time.Duration) {
	outcome := "granted"
	if !granted {
		outcome = "denied"
	}
	g.opts.Logger.Info().Str("event", "repeat").Str("request", x.id).Str("service", x.service).Str("outcome", outcome).
		Float64("requests", status.Requests).Float64("repeats", status.Repeats).Float64("allowed", status.Allowed).
		Float64("earned", status.Earned).Bool("window_known", status.WindowKnown).
		Int("gateways", g.view.Load().shares.gateways).Int64("age_ms", age.Milliseconds()).Msg("")
}

// logSilence writes the log line of a target that is silent although it has requests.
func (g *Gateway) logSilence(target string, unheard time.Duration) {
	g.opts.Logger.Info().Str("event", "belief").Str("topic", "targets").Str("subject", target).
		Str("outcome", "silent").Int64("unheard_ms", unheard.Milliseconds()).Msg("")
}
