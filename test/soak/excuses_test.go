//go:build soak

package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/platform/platformtest"
)

// Guards against a check that excuses lost requests by faults that did not concern them.
func TestExcuses(t *testing.T) {
	const s = time.Second
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	run := func(from, until time.Duration) []platformtest.Run {
		return []platformtest.Run{{Target: "i-1-0", At: at(from), Ended: at(until)}}
	}
	for _, c := range []struct {
		name        string
		sent, ended time.Duration
		runs        []platformtest.Run
		sigterm     time.Duration
		disturbed   string
		from, until time.Duration
		want        string
	}{
		{name: "cut at once", ended: s / 10, runs: run(0, s/10), sigterm: -s},
		{name: "cut in a stop", ended: 2 * s, runs: run(0, 2*s), sigterm: -s},
		{name: "at work at the end", sent: 3 * s, ended: 5300 * time.Millisecond, runs: run(3*s, 5300*time.Millisecond), want: "at work at the end of the stop"},
		{name: "sent too late", sent: 3100 * time.Millisecond, ended: 5300 * time.Millisecond, runs: run(3100*time.Millisecond, 5300*time.Millisecond)},
		{name: "cut before the last sixth", sent: 2 * s, ended: 4900 * time.Millisecond, runs: run(2*s, 5100*time.Millisecond)},
		{name: "work ended before the last sixth", sent: 2 * s, ended: 5100 * time.Millisecond, runs: run(2*s, 4900*time.Millisecond)},
		{name: "timeout", ended: 4 * s, runs: run(0, 4*s), sigterm: -s, want: "timeout"},
		{name: "own target disturbed", ended: s, runs: run(0, s), sigterm: -s, disturbed: "i-1", from: s / 2, until: s / 2, want: "target disturbed"},
		{name: "other target disturbed", ended: s, runs: run(0, s), sigterm: -s, disturbed: "i-2", from: 0, until: s},
		{name: "target disturbed before the run", ended: s, runs: run(s/2, s), sigterm: -s, disturbed: "i-1", until: s / 4},
		{name: "gateway frozen", ended: s, runs: run(0, s), sigterm: -s, disturbed: "gw-1", from: s / 2, until: s, want: "gateway killed or frozen"},
		{name: "unread", ended: s / 10, sigterm: -s, want: "unread"},
		{name: "unanswered in a stop", ended: s, sigterm: -s},
		{name: "unanswered without a stop", ended: s, sigterm: -10 * s, want: "no run and no stop"},
	} {
		g := &gatewayProcess{name: "gw-1", sigterms: []time.Time{at(c.sigterm)}}
		tb := &testbed{disturbed: map[string][]span{c.disturbed: {{from: at(c.from), until: at(c.until)}}}}
		k := &call{gateway: g, sent: at(c.sent), ended: at(c.ended), runs: c.runs}
		assert.Equal(t, tb.excuse(k, g.sinceSignal(k.ended) >= 0), c.want, c.name)
	}
}
