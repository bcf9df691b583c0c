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
	// shiftDistance is the part of the choices that go to other experts than before, beyond
	// what chance explains, from which the demand counts as shifted.
	shiftDistance = 0.2
	// shiftSample is the least sample, in choices for each expert of the engine: a smaller
	// one stands for a few requests only.
	shiftSample = 1
)

// countWindowed keeps the last readings of an engine's counts, from the last shift of
// the demand on.
type countWindowed struct {
	readings []countReading
}

type countReading struct {
	at     time.Time
	counts []int64
}

// add takes in a reading and reports whether it shows that the demand has shifted. A
// reading that fell shows that the engine started anew.
func (w *countWindowed) add(now time.Time, counts []int64) (shifted bool) {
	if n := len(w.readings); n > 0 && fell(w.readings[n-1].counts, counts) {
		w.readings = nil
	}
	w.readings = append(w.readings, countReading{at: now, counts: counts})
	for len(w.readings) > 2 && now.Sub(w.readings[1].at) >= countWindow {
		w.readings = w.readings[1:]
	}
	n := len(w.readings)
	if n < 3 || !differ(w.between(n-2, n-1), w.between(0, n-2)) {
		return false
	}
	w.readings = w.readings[n-2:]
	return true
}

// differ reports whether two samples of choices come from different demands.
func differ(a, b []int64) bool {
	sumA, sumB := sum(a), sum(b)
	least := float64(shiftSample * len(a))
	if sumA < least || sumB < least {
		return false
	}
	roots := 0.0
	for i := range a {
		roots += math.Sqrt(float64(a[i]+b[i]) / (sumA + sumB))
	}
	// The mean distance of two samples of sizes n and m of one distribution p, from the
	// normal approximation: sum of sqrt(p) * sqrt((1/n + 1/m) / (2 pi)).
	chance := roots * math.Sqrt((1/sumA+1/sumB)/(2*math.Pi))
	return distance(a, b) >= shiftDistance+chance
}

// distance returns the part of a demand that goes to other experts than in another one:
// the total variation distance of two distributions.
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

func fell(before, after []int64) bool {
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

// delta returns how often each expert was chosen within the window.
func (w *countWindowed) delta() []int64 {
	if len(w.readings) == 0 {
		return nil
	}
	return w.between(0, len(w.readings)-1)
}

// between returns how often each expert was chosen between two readings.
func (w *countWindowed) between(from, to int) []int64 {
	oldest, newest := w.readings[from].counts, w.readings[to].counts
	d := make([]int64, len(newest))
	for i := range newest {
		d[i] = newest[i] - oldest[i]
	}
	return d
}

// quantise writes counts as one byte each: the root of their share of the largest,
// which keeps small ones apart too. It returns the largest as well.
func quantise(counts []int64) ([]byte, float64) {
	if len(counts) == 0 {
		return nil, 0
	}
	most := float64(max(1, slices.Max(counts)))
	q := make([]byte, len(counts))
	for i, c := range counts {
		q[i] = byte(math.Round(255 * math.Sqrt(float64(c)/most)))
	}
	return q, most
}

// restore reverses quantise.
func restore(q []byte, most float64) []float64 {
	load := make([]float64, len(q))
	for i, b := range q {
		share := float64(b) / 255
		load[i] = share * share * most
	}
	return load
}

// readCounts reads the own engine's counts and reports whether they show a shift.
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

// digestOf identifies the experts of a rank, whatever their order within a layer.
func digestOf(experts [][]uint16) uint64 {
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
