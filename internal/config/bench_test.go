package config

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFleet simulates followers in 7 availability zones on a fake clock, with one
// change every 45 s (1,900 a day), and reports calls to the platform and traffic. The
// largest fleet has 350 entries and 602 agents.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{{1, 1}, {2, 5}, {4, 10}, {12, 24}, {50, 86}} {
		b.Run(fmt.Sprintf("daemons=%d", 7*(size.entries+size.agents)), func(b *testing.B) {
			benchmarkFleet(b, size.entries, size.agents)
		})
	}
}

// benchmarkFleet runs a fleet with the given numbers of entries and agents per availability
// zone.
func benchmarkFleet(b *testing.B, entries, agents int) {
	for range b.N {
		s := newSim(1, 7, entries, agents, newRealFollower)
		s.after(time.Second, func() { s.publish(0) })
		s.runUntil(10 * time.Second)
		callsAtStart, bytesAtStart := s.platformCalls, s.bytesSent
		var slowest time.Duration
		for n := range 2 {
			s.publish(2 + 2*n)
			from := s.now
			for s.hasStaleNode() && s.now-from < activationBound {
				s.runUntil(s.now + 10*time.Millisecond)
			}
			slowest = max(slowest, s.now-from)
			s.runUntil(from + 45*time.Second)
		}
		if len(s.violations) > 0 {
			b.Fatal(s.violations)
		}
		seconds := (s.now - 10*time.Second).Seconds()
		b.ReportMetric(float64(callsAtStart), "start-calls")
		b.ReportMetric(float64(s.platformCalls-callsAtStart)/seconds, "calls/s")
		b.ReportMetric(float64(s.bytesSent-bytesAtStart)/seconds/float64(len(s.nodes)), "B/s/daemon")
		b.ReportMetric(slowest.Seconds()*1000, "ms-to-all")
		busiest := 0
		for _, n := range s.nodes {
			busiest = max(busiest, n.platformCalls)
		}
		b.ReportMetric(float64(busiest)/s.now.Seconds(), "calls/s/busiest")
	}
}

// hasStaleNode reports whether a live node lacks the newest revision.
func (s *sim) hasStaleNode() bool {
	for _, n := range s.nodes {
		if n.up && n.f.Revision() < s.newest {
			return true
		}
	}
	return false
}

// BenchmarkMerge merges a folder of 100 files with 800 organisations.
func BenchmarkMerge(b *testing.B) {
	var files []File
	for i := range 100 {
		text := "organisations:\n"
		for j := range 8 {
			n := i*8 + j
			text += fmt.Sprintf("- name: o%d\n  key_digests: [a%063x]\n  weight: 2\n", n, n)
		}
		files = append(files, File{Name: fmt.Sprintf("%03d.yaml", i), Content: []byte(text)})
	}
	b.ReportAllocs()
	for range b.N {
		if _, problems := Merge(files); len(problems) > 0 {
			b.Fatal(problems)
		}
	}
}
