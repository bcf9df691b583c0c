package callers

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency               = 10 * time.Minute
	latencySignificantDigits = 3
)

// Summary counts results and contains latency percentiles of complete answers.
type Summary struct {
	// Sent is the number of results.
	Sent int
	// Count is the number of results by verdict.
	Count map[Verdict]int
	// Kinds is the number of results by error kind.
	Kinds map[string]int
	// P50, P95 and P99 are percentiles of the time to the complete answer.
	P50, P95, P99 time.Duration
	// FirstP50, FirstP95 and FirstP99 are percentiles of the time to the first byte of
	// the answer's body.
	FirstP50, FirstP95, FirstP99 time.Duration
}

// Summarize returns the summary of results.
func Summarize(results []Result) Summary {
	s := Summary{Sent: len(results), Count: map[Verdict]int{}, Kinds: map[string]int{}}
	total, first := newHistogram(), newHistogram()
	for _, r := range results {
		s.Count[r.Verdict]++
		if r.Kind != "" {
			s.Kinds[r.Kind]++
		}
		if r.Verdict == Complete {
			_ = total.RecordValue(min(r.Duration, maxLatency).Microseconds())
			_ = first.RecordValue(min(r.FirstByte, maxLatency).Microseconds())
		}
	}
	s.P50, s.P95, s.P99 = percentiles(total)
	s.FirstP50, s.FirstP95, s.FirstP99 = percentiles(first)
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits)
}

func percentiles(h *hdrhistogram.Histogram) (p50, p95, p99 time.Duration) {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return at(50), at(95), at(99)
}

// Share returns the fraction of sent requests with verdict v, from 0 to 1.
func (s Summary) Share(v Verdict) float64 {
	if s.Sent == 0 {
		return 0
	}
	return float64(s.Count[v]) / float64(s.Sent)
}

// String returns the summary in one line.
func (s Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "sent=%d", s.Sent)
	for _, v := range Verdicts {
		if s.Count[v] > 0 {
			fmt.Fprintf(&b, " %s=%d", v, s.Count[v])
		}
	}
	fmt.Fprintf(&b, " p50=%s p95=%s p99=%s", s.P50, s.P95, s.P99)
	kinds := make([]string, 0, len(s.Kinds))
	for kind, n := range s.Kinds {
		kinds = append(kinds, fmt.Sprintf("%s:%d", kind, n))
	}
	slices.Sort(kinds)
	if len(kinds) > 0 {
		fmt.Fprintf(&b, " kinds=%s", strings.Join(kinds, ","))
	}
	return b.String()
}
