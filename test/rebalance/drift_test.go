// Package rebalance_test measures the planner of internal/rebalance while the popularity
// of experts changes and reports of it arrive late.
package rebalance_test

import (
	"math"
	"math/rand/v2"

	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

// logStdDev is the standard deviation of the logarithm of an expert's popularity.
const logStdDev = 0.8

// drift is a kind of change of popularity; next returns the true popularity of an interval
// from that of the interval before.
type drift struct {
	name string
	next func(rng *rand.Rand, interval int, p rebalance.Popularity) rebalance.Popularity
}

// drifts are the simulated kinds of change.
var drifts = []drift{
	{"slow drift", slowDrift},
	{"sudden shift", suddenShift},
	{"adversarial flip", adversarialFlip},
}

func randomPopularity(rng *rand.Rand, s rebalance.Shape) rebalance.Popularity {
	p := rebalance.Popularity{Experts: s.Experts, Load: make([]float64, s.Layers*s.Experts)}
	for i := range p.Load {
		p.Load[i] = math.Exp(logStdDev * rng.NormFloat64())
	}
	return p
}

// slowDrift changes the logarithm of each popularity by a mean-reverting random walk whose
// standard deviation stays logStdDev.
func slowDrift(rng *rand.Rand, _ int, p rebalance.Popularity) rebalance.Popularity {
	const correlation = 0.995
	noise := logStdDev * math.Sqrt(1-correlation*correlation)
	next := rebalance.Popularity{Experts: p.Experts, Load: make([]float64, len(p.Load))}
	for i, v := range p.Load {
		next.Load[i] = math.Exp(correlation*math.Log(v) + noise*rng.NormFloat64())
	}
	return next
}

// suddenShift is a slow drift in which, every 30 intervals, each layer also gets a new random
// popularity with probability 1/3.
func suddenShift(rng *rand.Rand, interval int, p rebalance.Popularity) rebalance.Popularity {
	next := slowDrift(rng, interval, p)
	if interval%30 != 0 {
		return next
	}
	layers := len(p.Load) / p.Experts
	for l := range layers {
		if rng.IntN(3) != 0 {
			continue
		}
		load := next.Layer(l)
		for e := range load {
			load[e] = math.Exp(logStdDev * rng.NormFloat64())
		}
	}
	return next
}

// adversarialFlip is a slow drift in which, every reportLag+1 intervals, the popularity of
// each layer's experts is also reversed, so that a map planned for the last report takes
// effect too late.
func adversarialFlip(rng *rand.Rand, interval int, p rebalance.Popularity) rebalance.Popularity {
	next := slowDrift(rng, interval, p)
	if interval%(reportLag+1) != 0 {
		return next
	}
	for l := range len(p.Load) / p.Experts {
		load := next.Layer(l)
		for i, j := 0, len(load)-1; i < j; i, j = i+1, j-1 {
			load[i], load[j] = load[j], load[i]
		}
	}
	return next
}
