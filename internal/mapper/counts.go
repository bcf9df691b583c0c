package mapper

import (
	"context"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// shiftThreshold is the share of the choices that move to other experts, beyond what
	// chance explains, from which the demand counts as shifted.
	shiftThreshold = 0.2
	// minShiftSample is the least size of a sample, in choices per expert of the engine: a
	// smaller sample represents only a few requests.
	minShiftSample = 1
)

// countHistory contains the readings of an engine's counts within demandWindow, starting at
// the last shift of the demand.
type countHistory struct {
	readings []countReading
}

// countReading is one reading of the engine's cumulative counts, by layer and expert.
type countReading struct {
	at     time.Time
	counts []int64
}

// add adds a reading and reports whether it shows that the demand has shifted. A count that
// decreased shows that the engine was restarted; the earlier readings are then discarded.
func (h *countHistory) add(now time.Time, counts []int64) (shifted bool) {
	if n := len(h.readings); n > 0 && countersReset(h.readings[n-1].counts, counts) {
		h.readings = nil
	}
	h.readings = append(h.readings, countReading{at: now, counts: counts})
	for len(h.readings) > 2 && now.Sub(h.readings[1].at) >= demandWindow {
		h.readings = h.readings[1:]
	}
	n := len(h.readings)
	if n < 3 || !demandsDiffer(h.countsBetween(n-2, n-1), h.countsBetween(0, n-2)) {
		return false
	}
	h.readings = h.readings[n-2:]
	return true
}

// demandsDiffer reports whether two samples of choices come from different demands.
func demandsDiffer(a, b []int64) bool {
	sumA, sumB := sum(a), sum(b)
	minSample := float64(minShiftSample * len(a))
	if sumA < minSample || sumB < minSample {
		return false
	}
	roots := 0.0
	for i := range a {
		roots += math.Sqrt(float64(a[i]+b[i]) / (sumA + sumB))
	}
	// The expected distance of two samples of sizes n and m of one distribution p, from the
	// normal approximation: sum of sqrt(p) * sqrt((1/n + 1/m) / (2 pi)).
	chance := roots * math.Sqrt((1/sumA+1/sumB)/(2*math.Pi))
	return distance(a, b) >= shiftThreshold+chance
}

// distance returns the total variation distance of two distributions of demand: the share
// of the demand that goes to other experts in b than in a. It is 1 if their lengths differ.
func distance[N int64 | float64](a, b []N) float64 {
	if len(a) != len(b) {
		return 1
	}
	sumA, sumB := max(sum(a), 1), max(sum(b), 1)
	d := 0.0
	for i := range a {
		d += math.Abs(float64(a[i])/sumA - float64(b[i])/sumB)
	}
	return d / 2
}

func sum[N int64 | float64](demand []N) float64 {
	var total N
	for _, v := range demand {
		total += v
	}
	return float64(total)
}

// countersReset reports whether a count decreased, or the number of counts changed, between
// two readings.
func countersReset(before, after []int64) bool {
	if len(before) != len(after) {
		return true
	}
	for i := range before {
		if after[i] < before[i] {
			return true
		}
	}
	return false
}

// delta returns how often each expert was chosen between the first and the last reading.
func (h *countHistory) delta() []int64 {
	if len(h.readings) == 0 {
		return nil
	}
	return h.countsBetween(0, len(h.readings)-1)
}

// countsBetween returns how often each expert was chosen between two readings.
func (h *countHistory) countsBetween(from, to int) []int64 {
	oldest, newest := h.readings[from].counts, h.readings[to].counts
	d := make([]int64, len(newest))
	for i := range newest {
		d[i] = newest[i] - oldest[i]
	}
	return d
}

// quantise encodes each count in one byte: the square root of its ratio to the largest
// count, scaled to 255, which keeps small counts distinguishable. It also returns the
// largest count, at least 1, or 0 if there are no counts.
func quantise(counts []int64) ([]byte, float64) {
	if len(counts) == 0 {
		return nil, 0
	}
	largest := float64(max(1, slices.Max(counts)))
	q := make([]byte, len(counts))
	for i, c := range counts {
		q[i] = byte(math.Round(255 * math.Sqrt(float64(c)/largest)))
	}
	return q, largest
}

// dequantise reverses quantise.
func dequantise(q []byte, largest float64) []float64 {
	load := make([]float64, len(q))
	for i, b := range q {
		share := float64(b) / 255
		load[i] = share * share * largest
	}
	return load
}

// readCounts reads the local engine's counts and reports whether the demand has shifted.
func (m *Mapper) readCounts(ctx context.Context) (shifted bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	counts, err := m.opts.Engine.Counts(ctx)
	if err != nil {
		m.opts.Logger.Debug().Str("event", "counts-unread").Err(err).Msg("")
		return false
	}
	return m.counts.add(time.Now(), counts)
}

// expertsDigest returns a digest of the experts of a rank. It does not depend on their
// order within a layer.
func expertsDigest(experts [][]uint16) uint64 {
	d := xxhash.New()
	var b [2]byte
	for _, layer := range experts {
		sorted := slices.Clone(layer)
		slices.Sort(sorted)
		for _, e := range append(sorted, 0xffff) {
			binary.LittleEndian.PutUint16(b[:], e)
			_, _ = d.Write(b[:])
		}
	}
	return d.Sum64()
}
