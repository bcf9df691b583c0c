// Package answertime learns how long the answers of each route take.
package answertime

import (
	"math"
	"time"
)

const (
	// span is the time of a generation of durations. The last two generations count.
	span = 30 * time.Second
	// quantile is the part of the durations that the usual one is not exceeded by.
	quantile = 0.95
	// bucketsPerDouble is the number of buckets between a duration and its double, so that the usual
	// duration is exact to a tenth.
	bucketsPerDouble = 8
	// buckets is the number of buckets; the last one ends at about 4.7 hours.
	buckets = 24 * bucketsPerDouble
)

// histogram counts durations by their logarithm, from one millisecond on.
type histogram struct {
	counts [buckets]uint32
	total  int
}

// Route contains the durations of a route's recent answers. It reads no clock and is not safe for concurrent
// use. The zero value has none.
type Route struct {
	// began is the time at which the current generation began.
	began             time.Duration
	current, previous histogram
}

// Record records an answer that ended at a time, and took a duration from the arrival of its request on.
func (r *Route) Record(now, took time.Duration) {
	r.advance(now)
	r.current.counts[bucketOf(took)]++
	r.current.total++
}

// Usual returns a duration that few of the recent answers have exceeded. It returns false if there were
// none.
func (r *Route) Usual(now time.Duration) (time.Duration, bool) {
	r.advance(now)
	total := r.current.total + r.previous.total
	if total == 0 {
		return 0, false
	}
	rest := int(math.Ceil(quantile * float64(total)))
	for b := range buckets {
		if rest -= int(r.current.counts[b] + r.previous.counts[b]); rest <= 0 {
			return endOf(b), true
		}
	}
	return endOf(buckets - 1), true
}

// advance drops the durations of generations that are over.
func (r *Route) advance(now time.Duration) {
	switch age := now - r.began; {
	case age >= 2*span:
		r.current, r.previous = histogram{}, histogram{}
		r.began = now
	case age >= span:
		r.current, r.previous = histogram{}, r.current
		r.began += span
	}
}

// bucketOf returns the bucket of a duration.
func bucketOf(d time.Duration) int {
	ms := max(1, float64(d)/float64(time.Millisecond))
	return min(buckets-1, int(math.Log2(ms)*bucketsPerDouble))
}

// endOf returns the duration up to which those of a bucket are.
func endOf(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket+1)/bucketsPerDouble) * float64(time.Millisecond))
}
