package gateway

import (
	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/observe"
)

// counters contains the gateway's metrics other than those of finished requests.
type counters struct {
	attempts, repeats, resumes, stalls tally.Counter
	overBudget, peerErrors, refused    tally.Counter
	storeFailures                      tally.Counter
	quarantined, crashes               tally.Counter
	recordFailures, pauses             tally.Counter
	// invalidStatements counts header fields about a target's state that can't be decoded.
	invalidStatements tally.Counter
	firstEvent        tally.Histogram
	// hedges counts the changes of requests that are sent to a second target, by outcome.
	hedges map[string]tally.Counter
	// callersCutOff counts the callers that were cut off, by reason.
	callersCutOff map[string]tally.Counter
	// callerBytes is the number of bytes held for callers.
	callerBytes tally.Gauge
	// readAges contains the time since the last answer of the store to a list or a watch of
	// each watched topic, in seconds.
	readAges [fleet.TopicGateways]tally.Gauge
}

func newCounters(s tally.Scope) counters {
	c := counters{
		attempts:          s.Counter("attempts"),
		repeats:           s.Counter("repeats"),
		resumes:           s.Counter("stream_resumes"),
		stalls:            s.Counter("stream_stalls"),
		overBudget:        s.Counter("repeats_over_budget"),
		peerErrors:        s.Counter("peer_errors"),
		refused:           s.Counter("attempts_refused"),
		storeFailures:     s.Counter("store_failures"),
		quarantined:       s.Counter("requests_quarantined"),
		crashes:           s.Counter("target_crashes"),
		recordFailures:    s.Counter("quarantine_record_failures"),
		pauses:            s.Counter("process_pauses"),
		invalidStatements: s.Counter("invalid_target_statements"),
		firstEvent:        s.Histogram("first_event", observe.LatencyBuckets),
		hedges:            make(map[string]tally.Counter),
		callersCutOff:     make(map[string]tally.Counter),
		callerBytes:       s.Gauge("caller_bytes"),
	}
	for _, outcome := range hedgeOutcomes {
		c.hedges[outcome] = s.Tagged(map[string]string{"outcome": outcome}).Counter("hedges")
	}
	for _, reason := range cutReasons {
		c.callersCutOff[reason] = s.Tagged(map[string]string{"reason": reason}).Counter("callers_cut_off")
	}
	for t := range fleet.TopicGateways {
		c.readAges[t] = s.Tagged(map[string]string{"topic": t.String()}).Gauge("store_read_age_seconds")
	}
	return c
}
